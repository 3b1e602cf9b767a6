#pragma once

#include "base/result.hpp"
#include "events/hybrid_logical_clock.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

/// What happened where, when and why: the rows of the operators' time line.
namespace poplarstile::events
{

/// What the place that saw something says of it.
struct observation {
    /// The part of the process, such as `lease` or `membership`.
    std::string part{};
    /// What happened, such as `taken_over`.
    std::string kind{};
    /// The request, job, gang, worker, rule or VM that it happened to.
    std::string subject{};
    /// The subject or event that brought it about; may be empty.
    std::string cause{};
    /// For people; never a secret or a caller's body.
    std::string detail{};
};

/// An observation with its place in its process (`seq`) and among all processes (`hlc`).
struct event {
    std::uint64_t seq{};
    hlc_stamp hlc{};
    /// Microseconds since the epoch on the process's own wall clock.
    std::int64_t wall_us{};
    std::string process{};
    std::string part{};
    std::string kind{};
    std::string subject{};
    std::string cause{};
    std::string detail{};

    bool operator==(const event&) const = default;
};

/// The JSON object of docs/REFERENCE.md; `hlc` is an unsigned number of 64 bits.
[[nodiscard]] nlohmann::json to_json_value(const event& value);

/// The event in `value`; `operator_argument_invalid` names the member that is missing or wrong.
[[nodiscard]] base::result<event> event_from_json(const nlohmann::json& value);

/// The events of several processes in one order: by `hlc`, then process, then `seq`.
/// An event that is in the input twice (same process, `hlc` and `seq`) comes out once.
[[nodiscard]] std::vector<event> merge_time_line(std::vector<event> events);

} // namespace poplarstile::events
