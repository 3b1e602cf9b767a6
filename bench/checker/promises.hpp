#pragma once

#include "bench/checker/history.hpp"

#include <string>
#include <vector>

/// Judges a history against what the system promises. Pure: no clock, no input or output.
namespace poplarstile::bench::checker
{

enum class promise {
    /// A completed answer belongs to the request that it answers.
    own_answer,
    /// Each request gets an answer, unless the VM that it was sent to was killed.
    whole_answer,
    /// Work of a class that is not idempotent runs at most once.
    at_most_once,
    /// What a caller was told was not run (or was rejected) did not run.
    not_run_is_true,
    /// The members of a gang run all at once.
    whole_gang,
    /// A graceful shutdown cuts off no request in flight.
    graceful_shutdown,
    /// A leaving VM gets no new work.
    nothing_to_leaving_vm,
    /// An accepted rule is in force on every live VM.
    rule_in_force,
    /// The rules version of a VM never goes back.
    rule_never_reverts,
    /// A job that fits a free guaranteed shape of its workspace starts, whoever uses the place.
    guarantee_reclaimable,
};

[[nodiscard]] std::string_view name_of(promise kept);

/// Times allowed by the promises, in microseconds.
struct promise_bounds {
    /// A gang may run in part for at most the lease time: a member that is cut off can't be
    /// stopped before its lease runs out.
    wall_us partial_gang = 3'000'000;
    /// Time in which the leaving of a VM becomes known.
    wall_us leaving_known = 3'000'000;
    /// Time in which an accepted rule comes into force.
    wall_us rule_in_force = 10'000'000;
    /// Time in which a guaranteed shape is reclaimed and its job started.
    wall_us reclaim = 10'000'000;
    /// A request on a killed VM is excused when it was in flight this long before the kill.
    wall_us killed_before = 60'000'000;
};

/// One broken promise and what shows it.
struct violation {
    promise broken = promise::own_answer;
    /// Id of the request, job, VM or marker.
    std::string subject{};
    std::string evidence{};
};

/// Every violation in the history, grouped by promise in the order of the enumeration.
[[nodiscard]] std::vector<violation> check(const history& seen, const promise_bounds& bounds);

/// Number of violations of one promise.
[[nodiscard]] std::size_t count_of(const std::vector<violation>& found, promise broken);

/// Longest time from the acceptance of the rule change until a VM that was not killed or drained
/// stated the version, in microseconds; -1 when some VM never did, or no change was accepted.
[[nodiscard]] wall_us time_until_in_force(const history& seen);

} // namespace poplarstile::bench::checker
