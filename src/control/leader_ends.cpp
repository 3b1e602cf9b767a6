#include "control/leader.hpp"

#include "base/event_line.hpp"
#include "store/row_keys.hpp"

#include <algorithm>
#include <iterator>
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
/// Ends of a part that were stored within this time are settled in one commit.
constexpr base::milliseconds settle_delay{5'000};
/// Rows of one part that are removed in one tick.
constexpr std::size_t max_rows_removed_at_once = 20;

} // namespace

void leader::close_job(const std::string& id, job_entry& entry)
{
    entry.closing = true;
    const auto& accepted = entry.state.accepted();
    const auto part = entry.part;
    batch::finished_job finished;
    finished.status = entry.state.status();
    finished.queue = accepted.policy.queue;
    finished.workspace = accepted.workspace;
    finished.ended_at_sending = true;
    store::journal_entry written;
    written.writes.push_back({jobs_row(part, id), [this, finished] {
                                  auto sent = finished;
                                  sent.ended_at = store_clock_->estimate(ports_.time->now());
                                  return batch::encode(sent);
                              }});
    std::ranges::move(record_removals(part, id), std::back_inserter(written.writes));
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
            early_cancels_.add(id, cancel_part, ports_.time->now());
        }
    }
    finished.ended_at = store_clock_->estimate(ports_.time->now());
    log.keep("job_ended", {{"job", id},
                           {"status", batch::name_of(finished.status)},
                           {"queue", finished.queue},
                           {"age_ms", ports_.time->unix_ms() - entry.state.accepted().accepted_ms},
                           {"objective_ms", entry.state.objective().count()},
                           {"store_part", options_.parts.name(part)},
                           {"ended_store_ms", base::to_stored_ms(finished.ended_at)}});
    report_span(leader_span::job_until_end, age_of(entry.state));
    publish_status(id, entry, finished.status);
    jobs_.erase(found);
    add_ended_job(part, id, std::move(finished), end_origin::this_leader);
}

std::optional<base::store_time> leader::reliable_end(const batch::finished_job& finished) const
{
    const auto now = store_clock_->newest();
    const bool of_another_clock =
        finished.ended_at && now && *finished.ended_at > *now + retention_slack;
    return finished.ended_at_sending || of_another_clock ? std::nullopt : finished.ended_at;
}

void leader::add_ended_job(std::size_t part, const std::string& id, batch::finished_job finished,
                           end_origin origin)
{
    const auto ended_at = reliable_end(finished);
    const bool added = ended_.add({id, part, ended_at});
    if (!added && ended_.part_of(id) != part) {
        drop_duplicate(part, id);
    } else if (added && !ended_at) {
        const auto now = ports_.time->now();
        // The row is stored, so the job has ended by now.
        finished.ended_at = store_clock_->estimate(now);
        finished.ended_at_sending = false;
        parts_.at(part).unsettled_ends.push_back({id, std::move(finished), origin, now});
    }
}

void leader::settle_ends()
{
    const auto now = ports_.time->now();
    for (std::size_t part = 0; part < parts_.size(); ++part) {
        auto& unsettled = parts_.at(part).unsettled_ends;
        const bool due = !unsettled.empty() && now - unsettled.front().noted_at >= settle_delay;
        if (!due || !store_clock_->estimate(now)) {
            continue;
        }
        for (auto& end : std::exchange(unsettled, {})) {
            settle_end(part, std::move(end));
        }
    }
}

void leader::settle_end(std::size_t part, unsettled_end end)
{
    auto& settled = end.finished;
    if (!settled.ended_at) {
        settled.ended_at = store_clock_->estimate(ports_.time->now());
    }
    store::journal_entry written;
    written.writes.push_back({jobs_row(part, end.id), batch::encode(settled)});
    // Known here only once it is stored: a row goes after its time has been put, never before.
    written.on_durable = [this, part, id = end.id, origin = end.origin,
                          ended_at = settled.ended_at] {
        ended_.set_end(id, ended_at);
        if (origin == end_origin::earlier_leader) {
            ++counters_.end_times_stored_anew;
            log.warning("end_time_stored_anew", {{"job", id},
                                                 {"store_part", options_.parts.name(part)},
                                                 {"ended_store_ms", base::to_stored_ms(ended_at)},
                                                 {"epoch", epoch_}});
        }
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
             log.keep("job_row_removed", {{"job", expired.id},
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
