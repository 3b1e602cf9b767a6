#pragma once

#include "soak/soak_callers.hpp"
#include "soak/soak_run.hpp"
#include "soak/soak_site.hpp"

/// Holds what callers, workers and the store saw of a run against the promises. Each function adds
/// what is broken to `result.violations`; the faults have ended before.
namespace poplarstile::soak
{

/// After a fault or a start every VM takes calls again within this time.
inline constexpr base::milliseconds ready_bound{12'000};

void append(std::vector<std::string>& all, const std::vector<std::string>& more);

/// Asks for the owed jobs, at each VM in turn, until all have ended or the bound is over.
/// `more` is added to the bound.
void await_ends(soak_site& site, caller_crowd& callers, run_result& result,
                base::milliseconds more = base::milliseconds{0});

/// How long the workers take for the work of all owed jobs whose end nobody has seen, if half of
/// their capacity is used: callers that overload a site have to be given it.
[[nodiscard]] base::milliseconds time_for_open_work(const soak_site& site,
                                                    const caller_crowd& callers);

/// Every accepted job is known at a VM that answers from the store, until its time may be over.
void judge_known(soak_site& site, caller_crowd& callers, run_result& result);

/// The rows of ended jobs stay for their time and are gone soon after, and then the jobs are not
/// known at a VM that answers from the store.
void judge_removal(soak_site& site, caller_crowd& callers, run_result& result);

/// What the workers saw agrees with what callers were told.
void judge_workers(const nlohmann::json& report, const caller_crowd& callers, run_result& result);

} // namespace poplarstile::soak
