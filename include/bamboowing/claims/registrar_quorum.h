/// @file
/// Which registrars decide about a job, and the text of a view in the key-value service.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bamboowing/base/types.h"
#include "bamboowing/message/registrar_view.h"

namespace bamboowing {

/// Number of registrars of a job, if a view has as many members. Two members would be no better than one: both would
/// have to answer.
inline constexpr std::size_t kRegistrars = 3;

/// The registrars of a job in one set of members: those that rank first by a rendezvous hash of job and address.
std::vector<std::string> ChooseRegistrars(std::string_view job_id, span<const std::string> members);

/// The sets of registrars of a job, of each of which a majority must grant a claim: one for the members and, during a
/// change, one for the previous members, which comes last.
std::vector<std::vector<std::string>> RegistrarSets(std::string_view job_id, const registrar_view& view);

/// Number of registrars that are a majority of @p count.
constexpr std::size_t MajorityOf(std::size_t count) { return count / 2 + 1; }

/// Key of the view in the key-value service, below the prefix that the process adds to all keys.
inline constexpr std::string_view kRegistrarViewKey = "claims/view";

/// JSON text of a view.
std::string FormatRegistrarView(const registrar_view& view);

/// Reads a view; nullopt if the text is not one, has no member or names an address at which no entry can be reached.
std::optional<registrar_view> ParseRegistrarView(std::string_view text);

}  // namespace bamboowing
