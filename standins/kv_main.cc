#include <iostream>

#include "standins/kv_server.h"
#include "standins/program.h"

namespace {

int Run(const cxxopts::ParseResult& parsed) {
  bamboowing::standin::kv_options settings;
  settings.address = bamboowing::standin::ListenAddress(parsed);
  settings.reads_per_second = parsed["reads-per-second"].as<double>();
  settings.writes_per_second = parsed["writes-per-second"].as<double>();
  bamboowing::failure error;
  const std::unique_ptr<bamboowing::standin::kv_server> server = bamboowing::standin::kv_server::Open(settings, error);
  if (!server) {
    std::cerr << error.reason << std::endl;
    return 1;
  }
  bamboowing::standin::PrintReadyAndWait(server->port());
  server->Close();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("standin_kv", "Stand-in for the platform's key-value service");
  options.add_options()("reads-per-second", "rate limit of reads; 0 for none",
                        cxxopts::value<double>()->default_value("0"));
  options.add_options()("writes-per-second", "rate limit of writes; 0 for none",
                        cxxopts::value<double>()->default_value("0"));
  return bamboowing::standin::RunProgram(options, argc, argv, Run);
}
