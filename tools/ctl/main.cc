#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <exception>
#include <iostream>
#include <random>
#include <thread>

#include "bamboowing/base/clock.h"
#include "ctl/command.h"

namespace bamboowing::ctl {
namespace {

std::map<std::string, std::string> ReadEnvironment() {
  std::map<std::string, std::string> variables;
  for (char** variable = environ; *variable != nullptr; ++variable) {
    const std::string text(*variable);
    const std::size_t equals = text.find('=');
    if (equals != std::string::npos) {
      variables[text.substr(0, equals)] = text.substr(equals + 1);
    }
  }
  return variables;
}

std::string RandomId() {
  std::random_device source;
  char text[40];
  std::snprintf(text, sizeof text, "ctl-%08x%08x%08x", source(), source(), source());
  return text;
}

exit_code Run(int argc, char** argv) {
  tool_environment env(std::cout, std::cerr, std::cin);
  env.out_is_terminal = isatty(STDOUT_FILENO) != 0;
  env.err_is_terminal = isatty(STDERR_FILENO) != 0;
  env.variables = ReadEnvironment();
  env.connect = [](std::string_view address, failure& error) { return http_client::Open(address, error); };
  env.now = [] { return Now(); };
  env.sleep = [](duration length) { std::this_thread::sleep_for(length); };
  env.random_id = RandomId;
  const exit_code code = RunTool(std::vector<std::string>(argv + 1, argv + argc), env);
  std::cout.flush();
  return code;
}

}  // namespace
}  // namespace bamboowing::ctl

int main(int argc, char** argv) {
  try {
    return static_cast<int>(bamboowing::ctl::Run(argc, argv));
  } catch (const std::exception& exception) {
    std::fprintf(stderr, "error: %s\n", exception.what());
    return static_cast<int>(bamboowing::ctl::exit_code::kInternal);
  }
}
