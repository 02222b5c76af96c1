# bamboowing_embed(LIBRARY VARIABLE FILE...): compiles the contents of the FILEs into the library LIBRARY, so that a program
# needs no files at run time. They are declared in the namespace bamboowing::embedded as
#   extern const std::pair<std::string_view, std::string_view> VARIABLE[];   // name without directory, text
#   extern const std::size_t VARIABLECount;
# The files are read at configure time; a change of a file triggers a new configure run.
function(bamboowing_embed library variable)
  set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS ${ARGN})
  set(table "")
  foreach(file ${ARGN})
    get_filename_component(name ${file} NAME)
    file(READ ${file} text)
    string(APPEND table "    {\"${name}\", R\"EMBEDDED_TEXT(${text})EMBEDDED_TEXT\"},\n")
  endforeach()
  set(generated ${PROJECT_BINARY_DIR}/embedded/${variable}.cc)
  file(CONFIGURE OUTPUT ${generated} @ONLY CONTENT [[
#include <cstddef>
#include <string_view>
#include <utility>
namespace bamboowing::embedded {
using embedded_file = std::pair<std::string_view, std::string_view>;
extern const embedded_file @variable@[];
extern const std::size_t @variable@Count;
const embedded_file @variable@[] = {
@table@};
const std::size_t @variable@Count = sizeof(@variable@) / sizeof(@variable@[0]);
}  // namespace bamboowing::embedded
]])
  target_sources(bw_${library} PRIVATE ${generated})
endfunction()
