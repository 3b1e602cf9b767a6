#pragma once

#include "base/time.hpp"
#include "control/worker_state.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

/// Accounting of work that runs have done and that has to be done again, or was of no use. Load
/// pattern: preemption, crashes, drains and cancels at the same time, of which one costs the most.
namespace poplarstile::control
{

/// Why work was lost.
enum class loss_cause : std::uint8_t {
    preempted,
    /// Its worker, or that of a member of its gang, was about to leave.
    evicted,
    /// Another member of its gang ended, or did not start in time.
    gang_aborted,
    /// Its worker crashed, left, or was out of reach until its lease was over.
    worker_lost,
    cancelled,
    /// The run failed, or its job did.
    failed,
    /// Stopped by an earlier leader, or because it was not known whether its start had arrived.
    other,
};

inline constexpr std::size_t loss_cause_count = 7;

/// Name in logs and metrics.
[[nodiscard]] std::string_view name_of(loss_cause cause);

/// Core-seconds (`batch::core_weight`) by `loss_cause`.
using core_seconds_by_cause = std::array<double, loss_cause_count>;

/// A run that has ended.
struct run_ending {
    batch::run_end how = batch::run_end::lost;
    base::time_point at{};
    /// When its worker last answered.
    base::time_point worker_answered_at{};
    /// Its end tells of a checkpoint that was not listed before.
    bool saved_at_end = false;
};

/// Why the work of a run was lost; empty when the run ended `done`.
[[nodiscard]] std::optional<loss_cause> loss_cause_of(const live_run& run, batch::run_end how);

/// Core-seconds since the run was accepted or, when later, since `saved_at`, the time of the newest
/// checkpoint that it can be resumed from. A run that is lost with its worker counts until the
/// worker last answered.
[[nodiscard]] double lost_work_of(const live_run& run, const run_ending& ending,
                                  std::optional<base::time_point> saved_at);

} // namespace poplarstile::control
