# bamboowing_embed(LIBRARY VARIABLE FILE): gives the library LIBRARY the text of FILE as the constant VARIABLE of the
# namespace bamboowing::embedded, declared `extern const std::string_view`. The text is read when CMake configures, and
# a change of the file configures again.
function(bamboowing_embed library variable file)
  set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS ${file})
  file(READ ${file} text)
  set(generated ${PROJECT_BINARY_DIR}/embedded/${variable}.cc)
  file(CONFIGURE OUTPUT ${generated} @ONLY CONTENT [[
#include <string_view>
namespace bamboowing::embedded {
extern const std::string_view @variable@;
const std::string_view @variable@ = R"EMBEDDED_TEXT(@text@)EMBEDDED_TEXT";
}  // namespace bamboowing::embedded
]])
  target_sources(bw_${library} PRIVATE ${generated})
endfunction()
