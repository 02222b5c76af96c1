// Rewrites the generated sections of docs/cli.md, docs/errors.md and docs/metrics.md. Run by
// scripts/generate-reference.
#include <cstdio>
#include <fstream>
#include <sstream>

#include "ctl/reference.h"

namespace {

bool Rewrite(const std::string& directory, const std::string& page) {
  const std::string path = directory + "/" + page + ".md";
  std::ifstream in(path);
  std::ostringstream text;
  text << in.rdbuf();
  const std::optional<std::string> changed = bamboowing::ctl::WithReference(text.str(), page);
  if (!changed) {
    std::fprintf(stderr, "error: %s has no markers for '%s'\n", path.c_str(), page.c_str());
    return false;
  }
  std::ofstream out(path, std::ios::trunc);
  out << *changed;
  out.close();
  return static_cast<bool>(out);
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) {
    std::fprintf(stderr, "usage: generate_reference DOCS_DIRECTORY\n");
    return 2;
  }
  bool good = true;
  for (const char* page : {"cli", "errors", "metrics"}) {
    good = Rewrite(argv[1], page) && good;
  }
  return good ? 0 : 1;
}
