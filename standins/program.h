/// @file
/// Functions that the main programs of all stand-ins share.
#pragma once

#include <cxxopts.hpp>
#include <functional>
#include <string>

namespace bamboowing::standin {

/// Prints "ready PORT" on standard output and waits for SIGTERM or SIGINT. BlockStopSignals() must have been called
/// before any thread was started.
void PrintReadyAndWait(int port);

/// Blocks SIGTERM and SIGINT in the calling thread and those it starts, so that PrintReadyAndWait() receives them.
void BlockStopSignals();

/// Adds --port and --help, parses, and calls @p run with the result. Returns the exit code: that of @p run,
/// 0 after --help, or 2 for a usage error.
int RunProgram(cxxopts::Options& options, int argc, char** argv,
               const std::function<int(const cxxopts::ParseResult&)>& run);

/// The loopback address with the port from --port: "127.0.0.1:PORT".
std::string ListenAddress(const cxxopts::ParseResult& parsed);

}  // namespace bamboowing::standin
