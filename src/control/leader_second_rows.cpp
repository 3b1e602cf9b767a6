#include "control/leader.hpp"

#include "base/event_line.hpp"

#include <utility>

/// Jobs that are stored in two parts, because a reply was lost: only one of the rows may run.
namespace poplarstile::control
{
namespace
{

constexpr base::event_logger log{"leader"};

} // namespace

void leader::record_jobs_outside_home()
{
    if (!all_parts_active()) {
        return;
    }
    for (const auto& [id, entry] : jobs_) {
        if (!entry.recorded && entry.part != options_.parts.home_of(id)) {
            mark_dirty(id);
        }
    }
}

std::set<std::string> leader::jobs_recorded_elsewhere() const
{
    std::set<std::string> jobs;
    for (const auto& [id, worker] : workers_) {
        jobs.insert(worker->unknown_jobs.begin(), worker->unknown_jobs.end());
        for (const auto& [number, job] : worker->deferred_ends) {
            jobs.insert(job);
        }
    }
    return jobs;
}

bool leader::may_place(const job_entry& entry, const std::set<std::string>& elsewhere) const
{
    if (entry.recorded || all_parts_active()) {
        return true;
    }
    const auto& id = entry.state.id();
    // A job goes to another part only while its home part is away and all others are known to be
    // without it, so that a row in the home part is the only one unless a reply was lost.
    return entry.part == options_.parts.home_of(id) && !elsewhere.contains(id);
}

void leader::settle_second_row(batch::submission accepted, std::size_t part)
{
    const auto id = accepted.job;
    const auto& first = jobs_.at(id);
    const bool second_runs = parts_.at(part).unclaimed_records.contains(id);
    const bool first_runs = first.recorded || first.state.placed_tasks() > 0;
    if (first_runs || first.closing || !second_runs) {
        (void)batch::take_record(parts_.at(part).unclaimed_records, id);
        drop_duplicate(part, id);
        return;
    }
    const auto first_part = first.part;
    for (const auto cancel_part : first.cancel_parts) {
        early_cancels_.add(id, cancel_part, ports_.time->now());
    }
    jobs_.erase(id);
    drop_duplicate(first_part, id);
    add_job(std::move(accepted), part);
}

void leader::drop_duplicate(std::size_t part, const std::string& id)
{
    // The same submission was stored in two parts because a reply was lost. It stays one job.
    if (ended_.part_of(id) == part) {
        // A late notification of the job row as it was before the job ended.
        return;
    }
    log.warning("duplicate_dropped", {{"job", id}, {"store_part", options_.parts.name(part)}});
    if (parts_.at(part).journal) {
        // A successor that finds only this row takes it for a new job.
        ended_.hold(id);
        auto writes = record_removals(part, id);
        writes.push_back({jobs_row(part, id), store::row_removal{}});
        parts_.at(part).journal->add({std::move(writes), [this, id, part] {
                                          ended_.release(id);
                                          ++counters_.duplicate_rows_removed;
                                          log.keep("job_row_removed",
                                                   {{"job", id},
                                                    {"cause", "duplicate"},
                                                    {"store_part", options_.parts.name(part)},
                                                    {"epoch", epoch_}});
                                      }});
    }
}

void leader::drop_open_duplicate(const std::string& id, batch::job_status status)
{
    const auto found = jobs_.find(id);
    if (found == jobs_.end() || found->second.closing || found->second.state.placed_tasks() > 0) {
        return;
    }
    const auto part = found->second.part;
    for (const auto cancel_part : found->second.cancel_parts) {
        early_cancels_.add(id, cancel_part, ports_.time->now());
    }
    publish_status(id, found->second, status);
    jobs_.erase(found);
    drop_duplicate(part, id);
}

} // namespace poplarstile::control
