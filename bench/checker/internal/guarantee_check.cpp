#include "bench/checker/internal/guarantee_check.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <map>

namespace poplarstile::bench::checker::internal
{
namespace
{

/// When the workers first and last had anything of a job, and when its first member started.
struct job_span {
    wall_us from = std::numeric_limits<wall_us>::max();
    wall_us until = 0;
    wall_us started = 0;
};

using job_spans = std::map<std::string_view, job_span>;

job_spans spans_of(const history& seen)
{
    job_spans spans;
    for (const auto& task : seen.tasks) {
        auto& span = spans[task.job];
        span.from = std::min(span.from, task.held != 0 ? task.held : task.released);
        span.until = std::max(span.until, task.ended == 0 ? seen.observed_until : task.ended);
        const bool earlier = span.started == 0 || task.released < span.started;
        if (task.released != 0 && earlier) {
            span.started = task.released;
        }
    }
    return spans;
}

bool fits(const job_note& job, const guarantee& promised)
{
    return job.workspace == promised.workspace && job.domain == promised.domain &&
           job.members <= promised.members && job.accelerators <= promised.accelerators;
}

/// Whole guaranteed shapes that a job of any size may take up.
std::uint32_t shapes_needed(const job_note& job, const guarantee& promised)
{
    const auto total = job.members * job.accelerators;
    const auto one = promised.members * promised.accelerators;
    return (total + one - 1) / one;
}

/// Shapes that other jobs of the workspace may have taken up at any time from `from` to `until`.
std::uint32_t shapes_used(const history& seen, const job_spans& spans, const guarantee& promised,
                          const job_note& but, wall_us from, wall_us until)
{
    std::uint32_t used = 0;
    for (const auto& other : seen.jobs) {
        const auto span = spans.find(other.job);
        const bool same_place = other.workspace == promised.workspace &&
                                other.domain == promised.domain && other.job != but.job;
        if (!same_place || span == spans.end()) {
            continue;
        }
        if (span->second.from < until && span->second.until > from) {
            used += shapes_needed(other, promised);
        }
    }
    return used;
}

bool was_expected_to_start(const history& seen, const job_note& job, wall_us due)
{
    return !job.job.empty() && !job.cancelled && job.state != "rejected" &&
           due <= seen.observed_until;
}

} // namespace

void check_guarantees(const history& seen, const promise_bounds& bounds,
                      std::vector<violation>& found)
{
    const auto spans = spans_of(seen);
    for (const auto& job : seen.jobs) {
        const auto due = job.submitted + bounds.reclaim;
        const auto span = spans.find(job.job);
        const auto started = span == spans.end() ? 0 : span->second.started;
        const bool in_time = started != 0 && started <= due;
        if (in_time || !was_expected_to_start(seen, job, due)) {
            continue;
        }
        for (const auto& promised : seen.guarantees) {
            if (!fits(job, promised)) {
                continue;
            }
            const auto used = shapes_used(seen, spans, promised, job, job.submitted, due);
            if (used < promised.count) {
                found.push_back(
                    {promise::guarantee_reclaimable, job.job,
                     fmt::format("{}x{} of {} in {} fits a guarantee of {} shapes, of "
                                 "which at most {} were used, and did not start "
                                 "within {} ms",
                                 job.members, job.accelerators, job.workspace, job.domain,
                                 promised.count, used, bounds.reclaim / 1'000)});
                break;
            }
        }
    }
}

} // namespace poplarstile::bench::checker::internal
