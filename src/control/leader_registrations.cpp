#include "control/leader.hpp"

#include "base/event_line.hpp"

#include <algorithm>
#include <set>
#include <utility>

/// Applies the registrations of workers, and ends the incarnations of workers that start again.
namespace poplarstile::control
{
namespace
{

constexpr base::event_logger log{"workers"};
constexpr base::milliseconds directory_retry{150};
/// Short enough that a quiet feed confirms capacities before they are too old to rely on.
constexpr base::milliseconds directory_wait{1'000};
/// A start relies on a capacity only while it was read less than this time ago.
constexpr base::milliseconds longest_capacity_age{2'800};
/// Heartbeats that a worker misses before its registration expires.
constexpr int heartbeats_until_expiry = 3;
/// Heartbeats come that much early or late.
constexpr base::milliseconds heartbeat_margin{400};

} // namespace

void leader::read_workers()
{
    ports_.directory->read_all(
        [this, sent = ports_.time->now(), alive = alive_](const fleet::directory_reply& reply) {
            if (!*alive) {
                return;
            }
            if (reply.outcome != store::call_outcome::done) {
                directory_served_since_.reset();
                ports_.time->after(directory_retry, [this, alive] {
                    if (*alive) {
                        read_workers();
                    }
                });
                return;
            }
            note_directory_served();
            std::set<std::string> listed;
            for (const auto& change : reply.changes) {
                listed.insert(change.worker);
                apply_worker_change(change);
            }
            for (auto& [id, worker] : workers_) {
                if (worker->listed && !listed.contains(id)) {
                    apply_worker_change({id, std::nullopt, {}, 0});
                }
            }
            directory_version_ = std::max(directory_version_, reply.version);
            registrations_seen_at_ = sent;
            if (!workers_read_) {
                workers_read_ = true;
                begin_work();
            } else {
                follow_workers();
            }
        });
}

void leader::follow_workers()
{
    ports_.directory->follow(
        directory_version_, directory_wait,
        [this, sent = ports_.time->now(), alive = alive_](const fleet::directory_reply& reply) {
            if (!*alive) {
                return;
            }
            if (reply.outcome == store::call_outcome::expired) {
                log.warning("worker_history_gone", {{"after", directory_version_}});
                read_workers();
                return;
            }
            if (reply.outcome != store::call_outcome::done) {
                directory_served_since_.reset();
                ports_.time->after(directory_retry, [this, alive] {
                    if (*alive) {
                        follow_workers();
                    }
                });
                return;
            }
            note_directory_served();
            for (const auto& change : reply.changes) {
                apply_worker_change(change);
                note_registration_written(change.worker);
            }
            directory_version_ = std::max(directory_version_, reply.version);
            note_registrations(sent, reply);
            follow_workers();
        });
}

void leader::note_directory_served()
{
    if (!directory_served_since_) {
        directory_served_since_ = ports_.time->now();
    }
}

bool leader::directory_served_for(base::milliseconds span) const
{
    return directory_served_since_ && ports_.time->now() - *directory_served_since_ >= span;
}

void leader::note_registrations(base::time_point sent, const fleet::directory_reply& reply)
{
    // A reply without changes has waited at the store, which had none up to the end of that time.
    const bool waited = reply.changes.empty() && ports_.time->now() - sent >= directory_wait;
    registrations_seen_at_ = waited ? sent + directory_wait : sent;
}

void leader::note_registration_written(const std::string& id)
{
    const auto found = workers_.find(id);
    if (found != workers_.end() && found->second->listed) {
        // Earlier changes have been applied already.
        found->second->written_after = registrations_seen_at_;
    }
}

bool leader::is_removed_before_expiry(const worker_state& worker) const
{
    // An outage of the store may end registrations at once.
    const auto& written = worker.written_after;
    const bool served = written && directory_served_since_ && *directory_served_since_ <= *written;
    const auto shortest = heartbeats_until_expiry * options_.worker_heartbeat - heartbeat_margin;
    return served && ports_.time->now() - *written < shortest;
}

bool leader::is_capacity_known(const worker_state& worker) const
{
    const auto catalog = ports_.catalog();
    const auto* const service = catalog ? catalog->service_named(worker.facts.service) : nullptr;
    const bool enforced = service != nullptr && service->enforces_capacity;
    return enforced || ports_.time->now() - registrations_seen_at_ <= longest_capacity_age;
}

void leader::apply_worker_change(const fleet::worker_change& change)
{
    if (change.facts) {
        apply_worker_facts(change);
        return;
    }
    if (!change.fault.empty()) {
        ++counters_.unreadable_workers;
        log.warning("registration_unusable", {{"worker", change.worker}, {"fault", change.fault}});
    }
    const auto found = workers_.find(change.worker);
    if (found == workers_.end() || !found->second->listed) {
        return;
    }
    auto& worker = *found->second;
    worker.listed = false;
    worker.unlisted_at = ports_.time->now();
    worker.departure = {};
    // One that can't be used was overwritten, perhaps by somebody else than the worker.
    worker.departure.removed_before_expiry =
        change.fault.empty() && is_removed_before_expiry(worker);
    log.info("worker_unlisted", {{"worker", change.worker},
                                 {"life", worker.facts.life.started_at},
                                 {"draining", worker.facts.draining},
                                 {"may_have_expired", !worker.departure.removed_before_expiry},
                                 {"runs", worker.runs.size()}});
}

void leader::apply_worker_facts(const fleet::worker_change& change)
{
    auto& entry = workers_[change.worker];
    const bool first_registration = !entry;
    if (first_registration) {
        entry = std::make_unique<worker_state>();
    }
    auto& worker = *entry;
    const auto& facts = *change.facts;
    const bool other_incarnation =
        !first_registration && worker.facts.life.started_at != facts.life.started_at;
    const bool outdated = other_incarnation && worker.facts.life.started_at > facts.life.started_at;
    if (outdated) {
        // The registration of an earlier incarnation, read after a later one has answered.
        return;
    }
    if (other_incarnation) {
        end_incarnation(worker, run_evidence::registered_anew);
    }
    const bool starts_draining = facts.draining && !worker.facts.draining;
    worker.displaced = worker.displaced && worker.facts.address == facts.address;
    worker.facts = facts;
    worker.registered_at = ports_.time->now();
    worker.listed = true;
    if (first_registration || other_incarnation || starts_draining) {
        log.info("worker_listed", {{"worker", change.worker},
                                   {"life", facts.life.started_at},
                                   {"service", facts.service},
                                   {"rack", facts.rack},
                                   {"draining", facts.draining}});
    }
    if (active_) {
        schedule_plan();
    }
}

void leader::end_incarnation(worker_state& worker, run_evidence evidence)
{
    log.warning("worker_life_over", {{"worker", worker.facts.life.worker},
                                     {"life", worker.facts.life.started_at},
                                     {"cause", name_of(evidence)},
                                     {"draining", worker.facts.draining},
                                     {"runs", worker.runs.size()}});
    const auto crashed = take_crashed_runs(worker);
    std::vector<std::string> ended_tasks;
    for (auto& [task, run] : worker.runs) {
        const bool may_begin_later = has_departed(run) && !belongs_to_current_incarnation(run);
        if (may_begin_later) {
            // The order to start may have reached the new incarnation or may still reach it; the
            // resources stay reserved until the run is forbidden there.
            run.order = order_state::sent;
            run.stopping = run.stopping == stop_reason::none ? stop_reason::moved : run.stopping;
            run.stop_acknowledged = false;
        } else {
            ended_tasks.push_back(task);
        }
    }
    for (const auto& task : ended_tasks) {
        end_run(worker, task, batch::run_end::lost, {}, evidence);
    }
    worker.clock = {};
    worker.acknowledged = 0;
    worker.newest_clock = 0;
    worker.newest_list_ms = 0;
    worker.incarnation_uncertain = false;
    worker.last_received_end = 0;
    worker.unstored_ends.clear();
    worker.deferred_ends.clear();
    worker.unknown_jobs.clear();
    worker.unknown.clear();
    worker.fenced = false;
    worker.unanswered_polls = 0;
    worker.displaced = false;
    worker.greatest_lease = 0;
    worker.incarnation_changed_at = ports_.time->now();
    worker.failed_jobs.clear();
    record_crashes(crashed, worker.facts.life.worker);
}

} // namespace poplarstile::control
