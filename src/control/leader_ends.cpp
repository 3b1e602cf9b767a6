#include "control/leader.hpp"

#include "base/event_line.hpp"
#include "store/row_keys.hpp"

#include <optional>
#include <utility>

/// Stores the ends of jobs, and removes the rows of ended jobs when their time is over.
namespace poplarstile::control
{
namespace
{

using store::cancel_suffix;

constexpr base::event_logger log{"leader"};
/// Added to the retention promised to callers, to cover clock differences and delays.
constexpr base::milliseconds retention_slack{10'000};
/// An end that the store applies later than this after it was sent is stored again with a new time.
constexpr base::milliseconds max_apply_delay{2'000};
/// Rows of one part that are removed in one tick.
constexpr std::size_t max_rows_removed_at_once = 20;

} // namespace

void leader::close_job(const std::string& id, job_entry& entry)
{
    entry.closing = true;
    const auto& accepted = entry.state.accepted();
    const auto part = entry.part;
    const batch::finished_job finished{
        entry.state.status(), accepted.policy.queue, accepted.workspace, {}};
    store::journal_entry written;
    written.writes.push_back(end_write(part, id, finished));
    written.writes.push_back({runs_row(part, id), store::row_removal{}});
    if (entry.cancel_parts.contains(part)) {
        const auto row = jobs_row(part, id + std::string{cancel_suffix});
        written.writes.push_back({row, store::row_removal{}});
    }
    written.on_durable = [this, id, part, finished] { publish_end(part, id, finished); };
    parts_.at(part).journal->add(std::move(written));
}

void leader::publish_end(std::size_t part, const std::string& id, batch::finished_job finished)
{
    const auto found = jobs_.find(id);
    if (found == jobs_.end()) {
        return;
    }
    auto& entry = found->second;
    // Only once the end is durable: a successor that finds the job open must find the cancel row
    // as well.
    for (const auto cancel_part : entry.cancel_parts) {
        if (cancel_part != part) {
            remove_cancel(id, cancel_part);
        }
    }
    const bool late = applied_late(part);
    finished.ended_at = store_clock_->newest();
    log.info("job_ended", {{"job", id},
                           {"status", batch::name_of(finished.status)},
                           {"queue", finished.queue},
                           {"age_ms", ports_.time->unix_ms() - entry.state.accepted().accepted_ms},
                           {"objective_ms", entry.state.objective().count()},
                           {"store_part", options_.parts.name(part)},
                           {"ended_store_ms", base::to_stored_ms(finished.ended_at)},
                           {"applied_late", late}});
    report_span(leader_span::job_until_end, age_of(entry.state));
    publish_status(id, entry, finished.status);
    jobs_.erase(found);
    add_ended_job(part, id, finished);
    if (late) {
        store_end_time(part, id, finished);
    }
}

store::journal_write leader::end_write(std::size_t part, const std::string& id,
                                       batch::finished_job finished) const
{
    return {jobs_row(part, id), [this, finished = std::move(finished)] {
                auto stamped = finished;
                stamped.ended_at = store_clock_->estimate(ports_.time->now());
                return batch::encode(stamped);
            }};
}

bool leader::applied_late(std::size_t part) const
{
    const auto sent = store_clock_->estimate(parts_.at(part).journal->confirmed_at());
    const auto now = store_clock_->newest();
    return sent && now && *now - *sent > max_apply_delay;
}

void leader::add_ended_job(std::size_t part, const std::string& id, batch::finished_job finished)
{
    const auto now = store_clock_->newest();
    if (finished.ended_at && now && *finished.ended_at > *now + retention_slack) {
        // Not a time of this clock.
        finished.ended_at.reset();
    }
    const bool added = ended_.add({id, part, finished.ended_at});
    if (!added && ended_.part_of(id) != part) {
        drop_duplicate(part, id);
    } else if (added && !finished.ended_at) {
        store_end_time(part, id, finished);
    }
    for (const auto cancel_part : early_cancels_.take(id)) {
        remove_cancel(id, cancel_part);
    }
}

void leader::store_end_time(std::size_t part, const std::string& id,
                            const batch::finished_job& finished)
{
    ++counters_.end_times_stored_anew;
    store::journal_entry written;
    written.writes.push_back(end_write(part, id, finished));
    written.on_durable = [this, id, part] {
        const auto ended_at = store_clock_->newest();
        log.warning("end_time_stored_anew", {{"job", id},
                                             {"store_part", options_.parts.name(part)},
                                             {"ended_store_ms", base::to_stored_ms(ended_at)},
                                             {"epoch", epoch_}});
        ended_.set_end(id, ended_at);
    };
    parts_.at(part).journal->add(std::move(written));
}

void leader::remove_expired_row(const ended_job& expired)
{
    auto& journal = *parts_.at(expired.part).journal;
    const auto now = store_clock_->newest();
    journal.add(
        {{{jobs_row(expired.part, expired.id), store::row_removal{}}}, [this, expired, now] {
             ++counters_.expired_rows_removed;
             log.info("job_row_removed", {{"job", expired.id},
                                          {"cause", "expired"},
                                          {"store_part", options_.parts.name(expired.part)},
                                          {"ended_store_ms", base::to_stored_ms(expired.at)},
                                          {"store_ms", base::to_stored_ms(now)},
                                          {"epoch", epoch_}});
         }});
}

void leader::remove_expired_jobs()
{
    const auto now = store_clock_->newest();
    // What has not been seen yet may be a second row of an ended job, which would then be taken for
    // a new job.
    if (!now || !all_rows_seen()) {
        return;
    }
    const auto limit = *now - (options_.status_retention + retention_slack);
    for (std::size_t part = 0; part < parts_.size(); ++part) {
        // A part that does not answer would only collect removals.
        if (!part_answers(part)) {
            continue;
        }
        for (const auto& expired :
             ended_.take_ended_before(part, limit, max_rows_removed_at_once)) {
            remove_expired_row(expired);
        }
    }
}

} // namespace poplarstile::control
