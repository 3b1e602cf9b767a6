#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

/// The time line as a page to look at.
namespace poplarstile::poplarctl
{

/// One self-contained HTML page of the events of several VMs, which needs no network: a lane a
/// process, time downwards in the order of the hybrid logical clock, arrows from each event to the
/// next of the same subject and from the event that caused another, and filters by job, request,
/// rule, fault and text. `events` is in the form of `GET /v1/events`.
[[nodiscard]] std::string timeline_page(std::vector<nlohmann::json> events);

} // namespace poplarstile::poplarctl
