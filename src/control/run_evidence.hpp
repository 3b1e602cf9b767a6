#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace poplarstile::control
{

/// What shows that a run is over, or never began.
enum class run_evidence : std::uint8_t {
    /// The worker lists the end.
    listed,
    /// The worker's lists lack the run, although it had taken the start or has confirmed a stop.
    not_listed,
    /// The worker has left, and with it all that ran there.
    worker_left,
    /// Every lease that the worker may hold has expired.
    lease_expired,
    /// The worker's registration is that of a later incarnation.
    registered_anew,
    /// The worker answers with another start of its process.
    answered_with_another_start,
    /// The worker has rejected the only start that was sent.
    start_rejected,
    /// The run was given up before its start was sent.
    stopped_before_sent,
    /// The worker's capacity shrank, or was no longer known, before the start was sent.
    capacity_gone_before_sent,
    /// No start of it has left this VM, and none will.
    start_never_left,
    /// The operator had begun to drain the worker's failure domain before the start was sent.
    domain_drained_before_sent,
};

inline constexpr std::size_t run_evidence_count = 11;

/// Name in logs and metrics.
[[nodiscard]] std::string_view name_of(run_evidence evidence);

/// Numbers of runs, by what showed their end.
using run_evidence_counts = std::array<std::uint64_t, run_evidence_count>;

} // namespace poplarstile::control
