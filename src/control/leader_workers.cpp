#include "control/leader.hpp"

#include "base/event_line.hpp"

#include <algorithm>
#include <cstdint>
#include <set>
#include <string>
#include <utility>

/// Polls of workers: which runs are running, which have ended, and until when leases allow runs.
namespace poplarstile::control
{
namespace
{

constexpr base::event_logger log{"workers"};
/// Interval between polls of a worker that does not answer.
constexpr base::milliseconds unanswered_poll_interval{250};
/// The same for a worker without runs, which only waits to be used again.
constexpr base::milliseconds unanswered_idle_poll_interval{1'000};
/// Interval between polls while ends wait to be stored.
constexpr base::milliseconds storing_poll_interval{400};
/// A run whose start was answered is listed by polls sent more than this much later.
constexpr base::milliseconds poll_slack{5};
/// A worker's clock is read again after this time, before what is known of it is so uncertain that
/// a lease would be over when it is granted.
constexpr base::milliseconds max_clock_age{60'000};

} // namespace

bool leader::needs_poll(const worker_state& worker) const
{
    if (worker.facts.address.empty()) {
        return false;
    }
    const auto clock_read = worker.clock.observed_at();
    if (worker.listed && clock_read && ports_.time->now() - *clock_read > max_clock_age) {
        return true;
    }
    const bool unusable = !worker.fenced || worker.unanswered_polls > 0;
    return !worker.runs.empty() || !worker.lost_in_silence.empty() ||
           !worker.unknown_jobs.empty() || !worker.unknown.empty() ||
           worker.last_received_end > worker.acknowledged || (worker.listed && unusable);
}

std::optional<std::int64_t> leader::lease_for(worker_state& worker, base::time_point now) const
{
    const auto authority_at = lease_authority_at();
    if (!worker.clock.known() || !authority_at) {
        return std::nullopt;
    }
    const auto authority = std::chrono::duration_cast<base::milliseconds>(
        *authority_at + options_.lease_horizon - now);
    if (authority <= base::milliseconds{0}) {
        return std::nullopt;
    }
    // The worker must not hold a lease beyond the authority, whatever its clock reads now.
    const auto until = std::min(worker.clock.lease_until(now, options_.longest_lease),
                                worker.clock.earliest_reading(now) + authority.count());
    worker.greatest_lease = std::max(worker.greatest_lease, until);
    return until;
}

void leader::poll_worker(worker_state& worker)
{
    if (lost_) {
        return;
    }
    const auto now = ports_.time->now();
    fleet::look_order order;
    order.to = {worker.facts.life, worker.facts.address};
    order.token = epoch_;
    order.acknowledged = worker.incarnation_uncertain ? 0 : worker.acknowledged;
    // The lease of a worker that does not answer is not renewed, so that its expiry is known.
    if (worker.unanswered_polls == 0) {
        order.lease_until = lease_for(worker, now);
    }
    const bool settled = worker.fenced && worker.unanswered_polls == 0 &&
                         worker.unstored_ends.empty() &&
                         worker.last_received_end == worker.acknowledged && !worker.urgent_poll;
    order.wait = settled ? options_.poll_wait : base::milliseconds{0};
    order.margin = pacing_.poll_margin();
    worker.urgent_poll = false;
    ++worker.polls_in_flight;
    ++counters_.polls;
    ports_.orders->look(order, [this, alive = alive_, id = worker.facts.life.worker,
                                born = worker.facts.life.started_at, sent = now,
                                wait = order.wait](const fleet::look_reply& reply) {
        if (*alive) {
            record_poll_time(sent, wait, reply);
            receive_poll_reply(id, born, sent, reply);
        }
    });
}

void leader::record_poll_time(base::time_point sent, base::milliseconds wait,
                              const fleet::look_reply& reply)
{
    const auto now = ports_.time->now();
    const base::milliseconds took{base::milliseconds_between(sent, now)};
    // A poll that was answered before its wait was over shows no time: when the run ended is not
    // known.
    const bool answered = reply.outcome != fleet::order_outcome::unanswered &&
                          reply.outcome != fleet::order_outcome::not_sent;
    if (answered && took >= wait) {
        pacing_.record(now, took - wait);
    }
}

void leader::receive_poll_reply(const std::string& id, std::uint64_t born, base::time_point sent,
                                const fleet::look_reply& reply)
{
    const auto found = workers_.find(id);
    if (found == workers_.end()) {
        return;
    }
    auto& worker = *found->second;
    worker.polls_in_flight = worker.polls_in_flight > 0 ? worker.polls_in_flight - 1 : 0;
    const auto now = ports_.time->now();
    if (worker.facts.life.started_at != born) {
        return;
    }
    switch (reply.outcome) {
    case fleet::order_outcome::accepted:
        break;
    case fleet::order_outcome::fenced:
        // Another VM leads. The next commit shows which; the worker's reply alone decides nothing.
        log.warning("fenced_by_worker", {{"worker", id}, {"epoch", epoch_}});
        confirm_leases();
        worker.next_poll_at = now + storing_poll_interval;
        return;
    case fleet::order_outcome::other_life:
        note_address_taken(worker);
        count_unanswered_poll(worker, {sent, now, false});
        worker.next_poll_at = now + storing_poll_interval;
        return;
    default:
        if (sent < worker.answered_at) {
            // A later poll was answered meanwhile.
            return;
        }
        if (worker.unanswered_polls == 0) {
            log.warning("worker_silent", {{"worker", id},
                                          {"outcome", fleet::name_of(reply.outcome)},
                                          {"refused", reply.connection_refused},
                                          {"runs", worker.runs.size()}});
        }
        count_unanswered_poll(worker, {sent, now, reply.connection_refused});
        worker.next_poll_at =
            now + (worker.runs.empty() ? unanswered_idle_poll_interval : unanswered_poll_interval);
        return;
    }
    if (reply.born && *reply.born != born) {
        end_incarnation(worker, run_evidence::answered_with_another_start);
        worker.facts.life.started_at = *reply.born;
        return;
    }
    if (worker.unanswered_polls > 0) {
        log.info("worker_answers_again",
                 {{"worker", id}, {"silent_looks", worker.unanswered_polls}});
        worker.unanswered_polls = 0;
    }
    if (reply.worker_ms) {
        worker.clock.observe(*reply.worker_ms, sent, now);
        worker.newest_clock = std::max(worker.newest_clock, *reply.worker_ms);
    }
    worker.incarnation_uncertain = false;
    worker.displaced = false;
    worker.lost_in_silence.clear();
    worker.departure.unanswered_polls = 0;
    worker.departure.connection_refused = false;
    const bool first_answer = !worker.fenced;
    worker.fenced_at = first_answer ? now : worker.fenced_at;
    worker.fenced = true;
    worker.answered_at = now;
    worker.next_poll_at = now;
    process_running(worker, reply);
    settle_unknown(worker, sent, reply);
    process_ends(worker, reply);
    check_missing(worker, sent, reply);
    if (first_answer) {
        schedule_plan();
    }
    const bool settled = worker.unstored_ends.empty() && worker.deferred_ends.empty();
    if (needs_poll(worker) && settled && worker.polls_in_flight == 0) {
        poll_worker(worker);
    }
}

void leader::note_address_taken(worker_state& worker)
{
    // The worker itself may be cut off and run on, so its runs count until their leases are over.
    if (!worker.displaced) {
        log.warning("address_taken",
                    {{"worker", worker.facts.life.worker}, {"runs", worker.runs.size()}});
        worker.displaced = true;
    }
}

void leader::process_running(worker_state& worker, const fleet::look_reply& reply)
{
    const auto now = ports_.time->now();
    const bool overtaken = reply.worker_ms && *reply.worker_ms < worker.newest_list_ms;
    if (!overtaken) {
        worker.unknown_jobs.clear();
    }
    if (reply.worker_ms && reply.complete()) {
        worker.newest_list_ms = std::max(worker.newest_list_ms, *reply.worker_ms);
    }
    for (const auto& running : reply.running) {
        const auto task = batch::to_text(running.task);
        const auto found = worker.runs.find(task);
        if (found == worker.runs.end() || found->second.run != running.run) {
            if (overtaken) {
                // A newer list lacks it, or has shown it already.
                continue;
            }
            const listed_run listed{running.task, running.run};
            auto& shown = worker.unknown.show(listed, need_of(running.task), now);
            if (all_parts_active()) {
                stop_unknown_when_due(worker, listed, shown);
            } else {
                // The run may belong to a part that cannot be read yet.
                worker.unknown_jobs.insert(running.task.job);
            }
            continue;
        }
        worker.unknown.forget({running.task, running.run});
        auto& run = found->second;
        run.adopted = false;
        if (!run.listed) {
            run.listed = true;
            run.first_percent = running.percent;
            run.first_listed_at = now;
        }
        if (run.order != order_state::accepted) {
            run.order = order_state::accepted;
            run.accepted_at = now;
        }
        if (run.percent != running.percent) {
            run.percent = running.percent;
            run.percent_changed_at = now;
        }
        if (!running.checkpoint.empty() && run.checkpoint != running.checkpoint) {
            run.checkpoint = running.checkpoint;
            run.saved_at = now;
            const auto entry = jobs_.find(run.job);
            if (entry != jobs_.end()) {
                entry->second.state.save_checkpoint(run.ref, run.run, running.checkpoint);
                note_checkpoint(entry->second, run.ref);
            }
        }
        if (run.stopping != stop_reason::none && !run.stop_under_way && !run.stop_acknowledged) {
            send_stop(worker, run);
        }
    }
}

std::optional<batch::resources> leader::need_of(const batch::task_id& task) const
{
    const auto found = jobs_.find(task.job);
    const batch::task_ref ref{task.occurrence, task.step, task.index};
    if (found == jobs_.end() || !found->second.state.has(ref)) {
        return std::nullopt;
    }
    return found->second.state.spec_of(ref.step).need;
}

void leader::settle_unknown(worker_state& worker, base::time_point sent,
                            const fleet::look_reply& reply)
{
    const bool any_before = !worker.unknown.empty();
    for (const auto& end : reply.ended) {
        worker.unknown.forget({end.task, end.run});
    }
    worker_list list;
    list.sent = sent;
    list.received = ports_.time->now();
    list.unreadable = reply.unreadable_running;
    list.complete = !reply.more_ends;
    for (const auto& running : reply.running) {
        list.running.insert({running.task, running.run});
    }
    worker.unknown.settle(list);
    // An answer that was overtaken may show runs that have ended since: ask again without a wait.
    const bool overtaken = sent < worker.newest_list_sent;
    worker.newest_list_sent = std::max(worker.newest_list_sent, sent);
    worker.urgent_poll = worker.urgent_poll || (overtaken && !worker.unknown.empty());
    if (any_before && worker.unknown.empty()) {
        schedule_plan();
    }
}

void leader::process_ends(worker_state& worker, const fleet::look_reply& reply)
{
    if (reply.unreadable > 0) {
        // An acknowledgement would drop an end that could not be read.
        return;
    }
    auto ends = reply.ended;
    std::ranges::sort(ends, {}, &fleet::ended_task::number);
    bool any_processed = false;
    for (const auto& end : ends) {
        if (end.number <= worker.last_received_end && !worker.deferred_ends.contains(end.number)) {
            continue;
        }
        worker.last_received_end = std::max(worker.last_received_end, end.number);
        if (!runs_read_of(end.task.job)) {
            worker.deferred_ends.emplace(end.number, end.task.job);
            continue;
        }
        worker.deferred_ends.erase(end.number);
        process_end(worker, end);
        any_processed = true;
    }
    if (!any_processed) {
        return;
    }
    const auto id = worker.facts.life.worker;
    const auto born = worker.facts.life.started_at;
    worker.unstored_ends.insert(worker.last_received_end);
    after_flush_.emplace_back([this, id, born, number = worker.last_received_end] {
        acknowledge_ends(id, born, number);
    });
    schedule_flush();
    schedule_plan();
}

void leader::acknowledge_ends(const std::string& id, std::uint64_t born, std::uint64_t number)
{
    const auto found = workers_.find(id);
    if (found == workers_.end() || found->second->facts.life.started_at != born) {
        return;
    }
    auto& worker = *found->second;
    worker.unstored_ends.erase(number);
    // Acknowledgements are cumulative: earlier ends of a part that is unavailable hold back later
    // ends that are already stored.
    const auto stored = worker.unstored_ends.empty()             ? worker.last_received_end
                        : *worker.unstored_ends.begin() > number ? number
                                                                 : worker.acknowledged;
    const auto known = worker.deferred_ends.empty()
                           ? stored
                           : std::min(stored, worker.deferred_ends.begin()->first - 1);
    worker.acknowledged = std::max(worker.acknowledged, known);
    const bool all_stored = worker.unstored_ends.empty() && worker.deferred_ends.empty();
    if (all_stored && worker.polls_in_flight == 0 && worker.unanswered_polls == 0) {
        poll_worker(worker);
    }
}

void leader::process_end(worker_state& worker, const fleet::ended_task& end)
{
    const auto task = batch::to_text(end.task);
    const auto found = worker.runs.find(task);
    ++counters_.ends.at(static_cast<std::size_t>(end.how));
    if (found == worker.runs.end() || found->second.run != end.run) {
        log_unknown_run(base::log_level::info, "end_of_unknown_run", worker,
                        {end.task, end.run, batch::name_of(end.how)});
        if (end.how == batch::run_end::done) {
            finish_earlier_run(end);
        }
        return;
    }
    const auto job = found->second.job;
    if (end.how == batch::run_end::failed) {
        worker.failed_jobs[job] = ports_.time->now();
        worker.done_since_failure = 0;
    } else if (end.how == batch::run_end::done && ++worker.done_since_failure > 1) {
        worker.failed_jobs.clear();
    }
    end_run(worker, task, end.how, end.checkpoint, run_evidence::listed);
}

void leader::check_missing(worker_state& worker, base::time_point sent,
                           const fleet::look_reply& reply)
{
    if (!reply.complete()) {
        log.warning("poll_incomplete", {{"worker", worker.facts.life.worker},
                                        {"unreadable", reply.unreadable},
                                        {"more_ends", reply.more_ends}});
        return;
    }
    std::set<std::pair<std::string, std::uint32_t>> listed;
    for (const auto& running : reply.running) {
        listed.emplace(batch::to_text(running.task), running.run);
    }
    std::vector<std::string> missing;
    for (const auto& [task, run] : worker.runs) {
        if (listed.contains({task, run.run})) {
            continue;
        }
        const bool should_be_listed =
            run.order == order_state::accepted && run.accepted_at + poll_slack < sent;
        const bool stop_confirmed = run.stop_acknowledged && run.stop_acknowledged_at < sent;
        if (should_be_listed || stop_confirmed || run.adopted) {
            missing.push_back(task);
        }
    }
    for (const auto& task : missing) {
        const auto found = worker.runs.find(task);
        if (found != worker.runs.end()) {
            end_run(worker, task, batch::run_end::lost, {}, run_evidence::not_listed);
        }
    }
}

void leader::confirm_leases()
{
    // The reply to the next commit shows whether another VM has taken the lease.
    for (auto& part : parts_) {
        if (part.journal) {
            part.journal->add({});
        }
    }
}

void leader::update_worker(worker_state& worker)
{
    const auto now = ports_.time->now();
    end_expired_runs(worker);
    settle_silent_losses(worker);
    retry_orders(worker);
    retry_unknown_stops(worker);
    const bool due = now >= worker.next_poll_at;
    const bool unsettled = !worker.unstored_ends.empty() || !worker.deferred_ends.empty();
    const bool stuck = unsettled && now - worker.answered_at >= storing_poll_interval;
    const bool idle = worker.polls_in_flight == 0 && (!unsettled || stuck);
    const bool urgent = worker.urgent_poll && worker.polls_in_flight < 2;
    if (due && needs_poll(worker) && (idle || urgent)) {
        poll_worker(worker);
    }
    // Its lease may hold runs of a part that can't be read yet.
    const bool gone = !worker.listed && worker.runs.empty() && worker.lost_in_silence.empty() &&
                      worker.unknown.empty() && worker.polls_in_flight == 0 &&
                      now >= leases_expired_at(worker);
    if (gone && worker.last_received_end == worker.acknowledged) {
        log.info("worker_forgotten", {{"worker", worker.facts.life.worker}});
        workers_.erase(workers_.find(worker.facts.life.worker));
    }
}

} // namespace poplarstile::control
