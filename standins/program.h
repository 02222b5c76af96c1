/// @file
/// What the programs of all stand-ins have in common.
#pragma once

#include <cxxopts.hpp>
#include <functional>
#include <string>

namespace bamboowing::standin {

/// Prints "ready PORT" on standard output and waits for SIGTERM or SIGINT. BlockStopSignals() must have been called
/// before any thread was started.
void PrintReadyAndWait(int port);

/// Keeps the signals that stop the program for PrintReadyAndWait().
void BlockStopSignals();

/// Adds --port and --help, parses, and calls @p run with the result. Returns the exit code: 0, or 2 for unknown
/// options.
int RunProgram(cxxopts::Options& options, int argc, char** argv,
               const std::function<int(const cxxopts::ParseResult&)>& run);

/// The address on the loopback interface from --port.
std::string ListenAddress(const cxxopts::ParseResult& parsed);

}  // namespace bamboowing::standin
