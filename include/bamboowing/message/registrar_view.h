/// @file
/// The agreed set of entries that decide which entry may start the tasks of a job.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace bamboowing {

/// Numbered set of registrars. The key-value service holds the newest one. A change is in progress while `previous` is
/// not empty: claims then need a majority of the registrars of both sets.
struct registrar_view {
  std::uint64_t number = 0;           ///< grows with each change; 0: no view is known
  std::vector<std::string> members;   ///< addresses ("ip:port") of the entries
  std::vector<std::string> previous;  ///< members before the change in progress
};

}  // namespace bamboowing
