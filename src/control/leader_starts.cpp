#include "control/leader.hpp"

#include "base/event_line.hpp"

#include <algorithm>
#include <utility>

/// Starts of runs at workers, and the retries of orders that were not answered.
namespace poplarstile::control
{
namespace
{

constexpr base::event_logger log{"orders"};
/// A start that has surely not been answered is sent again after this interval, up to
/// max_start_sends sends in total.
constexpr base::milliseconds start_retry{50};
constexpr std::uint32_t max_start_sends = 4;

} // namespace

std::size_t leader::adopt_placed(job_entry& entry)
{
    std::size_t adopted = 0;
    const auto& occurrences = entry.state.occurrences();
    for (std::uint32_t occurrence = 0; occurrence < occurrences.size(); ++occurrence) {
        const auto& steps = occurrences.at(occurrence).steps;
        for (std::uint32_t step = 0; step < steps.size(); ++step) {
            const auto& tasks = steps.at(step).tasks;
            for (std::uint32_t index = 0; index < tasks.size(); ++index) {
                if (tasks.at(index).phase == batch::task_phase::placed) {
                    adopt(entry, {occurrence, step, index});
                    ++adopted;
                }
            }
        }
    }
    return adopted;
}

void leader::adopt(job_entry& entry, const batch::task_ref& ref)
{
    const auto& task = entry.state.task(ref);
    const auto& id = entry.state.id();
    auto& slot = workers_[task.worker.worker];
    if (slot && slot->facts.life.started_at > task.worker.started_at) {
        // Its incarnation is over; whether the worker had drained before is not known.
        record_crash({id, ref, task.run, {}}, task.worker.worker);
    }
    if (!slot) {
        slot = std::make_unique<worker_state>();
        slot->facts.life = task.worker;
        slot->facts.address = task.address;
        slot->listed = false;
        slot->unlisted_at = began_;
    }
    live_run run;
    run.job = entry.state.id();
    run.ref = ref;
    run.run = task.run;
    run.need = entry.state.spec_of(ref.step).need;
    run.order = order_state::sent;
    run.adopted = true;
    run.checkpoint = task.checkpoint;
    run.planned_at = began_;
    run.sent_at = began_;
    run.saved_at = began_;
    slot->runs.insert_or_assign(
        batch::to_text({entry.state.id(), ref.occurrence, ref.step, ref.index}), std::move(run));
}

live_run* leader::find_run(const run_key& key)
{
    const auto worker = workers_.find(key.worker);
    if (worker == workers_.end()) {
        return nullptr;
    }
    const auto run = worker->second->runs.find(key.task);
    return run == worker->second->runs.end() ? nullptr : &run->second;
}

void leader::send_start(const run_key& key)
{
    auto* const run = find_run(key);
    const auto entry = run == nullptr ? jobs_.end() : jobs_.find(run->job);
    if (run == nullptr || entry == jobs_.end()) {
        return;
    }
    auto& worker = *workers_.at(key.worker);
    if (run->stopping != stop_reason::none && run->order == order_state::unsent) {
        // Stopped before the start was sent: the worker does not run it and never will.
        end_run(worker, key.task, batch::run_end::lost, {}, run_evidence::stopped_before_sent);
        return;
    }
    if (run->order == order_state::unsent && !may_send_start(worker, key.task, *run)) {
        end_run(worker, key.task, batch::run_end::lost, {},
                run_evidence::capacity_gone_before_sent);
        return;
    }
    if (run->order == order_state::unsent && is_domain_drained(worker)) {
        end_run(worker, key.task, batch::run_end::lost, {},
                run_evidence::domain_drained_before_sent);
        return;
    }
    const auto now = ports_.time->now();
    run->order = order_state::sent;
    run->sent_at = now;
    ++run->starts_under_way;
    ++run->sends;
    ++counters_.starts;
    fleet::start_order order;
    order.to = {worker.facts.life, worker.facts.address};
    order.task = {run->job, run->ref.occurrence, run->ref.step, run->ref.index};
    order.run = run->run;
    order.payload = entry->second.state.accepted().spec.payload;
    order.lease_until = run->lease_until;
    order.token = epoch_;
    order.checkpoint = run->start_checkpoint;
    log.keep("start_sent", {{"job", run->job},
                            {"task", key.task},
                            {"run", run->run},
                            {"worker", key.worker},
                            {"epoch", epoch_},
                            {"resumes", !order.checkpoint.empty()},
                            {"planned_ms_ago", base::milliseconds_between(run->planned_at, now)},
                            {"try", run->sends}});
    const auto sent =
        std::make_shared<start_sending>(start_sending{{now, worker.facts.life.started_at}, {}});
    order.may_leave = [this, alive = alive_, key, number = run->run, sent] {
        return *alive && may_start_leave(key, number, *sent);
    };
    ports_.orders->start(std::move(order), [this, alive = alive_, key, number = run->run,
                                            sent](const fleet::order_reply& reply) {
        if (*alive) {
            receive_start(key, number, *sent, reply);
        }
    });
}

void leader::receive_start(const run_key& key, std::uint32_t number, start_sending& sent,
                           const fleet::order_reply& reply)
{
    constexpr std::int64_t never = -1;
    const auto now = ports_.time->now();
    const auto found = workers_.find(key.worker);
    if (reply.outcome != fleet::order_outcome::unanswered &&
        reply.outcome != fleet::order_outcome::not_sent) {
        pacing_.record(now, base::milliseconds{base::milliseconds_between(sent.at, now)});
    }
    if (found != workers_.end() && reply.worker_ms &&
        reply.outcome != fleet::order_outcome::other_life) {
        record_clock(*found->second, sent, *reply.worker_ms, now);
    }
    auto* const run = find_run(key);
    if (run == nullptr || run->run != number) {
        return;
    }
    auto& worker = *found->second;
    run->starts_under_way -= run->starts_under_way > 0 ? 1 : 0;
    if (reply.outcome != fleet::order_outcome::not_sent) {
        note_departure(*run, sent, sent.at);
    }
    // Of an earlier one, the reply says nothing of what another sending begins in the current one.
    const bool same_incarnation = worker.facts.life.started_at == sent.incarnation;
    if (reply.outcome != fleet::order_outcome::accepted) {
        log.warning(
            "start_not_taken",
            {{"job", run->job},
             {"task", key.task},
             {"run", number},
             {"worker", key.worker},
             {"outcome", fleet::name_of(reply.outcome)},
             {"status", reply.status},
             {"has_clock", reply.worker_ms.has_value()},
             {"same_incarnation", same_incarnation},
             {"refused", reply.connection_refused},
             {"left_after_ms",
              sent.departed_at ? base::milliseconds_between(sent.at, *sent.departed_at) : never},
             {"sent_ms_ago", base::milliseconds_between(sent.at, now)},
             {"try", run->sends}});
    }
    switch (reply.outcome) {
    case fleet::order_outcome::accepted:
        if (run->order == order_state::sent && same_incarnation) {
            run->order = order_state::accepted;
            run->accepted_at = now;
            run->taken_by_later_incarnation =
                reply.worker_ms && is_of_later_incarnation(worker, sent, *reply.worker_ms);
            plan_held_back_work();
        }
        if (run->stopping != stop_reason::none && !run->stop_under_way) {
            send_stop(worker, *run);
        }
        return;
    case fleet::order_outcome::unanswered:
        // retry_orders sends it again.
        return;
    case fleet::order_outcome::not_sent:
        receive_unsent_start(worker, key, *run, sent, reply);
        return;
    case fleet::order_outcome::fenced:
        confirm_leases();
        return;
    case fleet::order_outcome::outdated:
        // The run has ended or was stopped at the worker; the list of ends shows which.
        if (same_incarnation) {
            run->order = order_state::accepted;
            run->accepted_at = sent.at;
        }
        worker.urgent_poll = true;
        return;
    case fleet::order_outcome::other_life:
        // Whoever answered, it was not the worker, which gets nothing else until it answers a poll.
        if (same_incarnation && sent.at >= worker.answered_at) {
            note_address_taken(worker);
            note_unreached(worker, sent.at, now);
        }
        break;
    default:
        break;
    }
    if (run->order == order_state::accepted) {
        // The worker has taken an earlier send of this start.
        return;
    }
    if (reply.outcome == fleet::order_outcome::unavailable) {
        worker.failed_jobs[run->job] = now;
        worker.done_since_failure = 0;
    }
    if (run->sends > 1) {
        // The worker may still act on an earlier send of this start.
        stop_run(worker, *run, stop_reason::moved);
        return;
    }
    if (reply.outcome == fleet::order_outcome::other_life) {
        expect_late_start(worker, *run);
    }
    end_run(worker, key.task, batch::run_end::lost, {}, run_evidence::start_rejected);
}

void leader::retry_orders(worker_state& worker)
{
    const auto now = ports_.time->now();
    std::vector<run_key> unanswered_starts;
    for (auto& [task, run] : worker.runs) {
        const auto retry_after = run.starts_under_way > 0 ? pacing_.retry_after() : start_retry;
        const bool unanswered =
            run.order == order_state::sent && !run.adopted && now - run.sent_at >= retry_after;
        if (unanswered && run.stopping == stop_reason::none) {
            const bool may_retry =
                run.sends < max_start_sends && !worker.facts.draining && !is_domain_drained(worker);
            if (may_retry && may_send_start(worker, task, run)) {
                unanswered_starts.push_back({worker.facts.life.worker, task});
            } else {
                stop_run(worker, run, stop_reason::moved);
            }
        }
        const bool stop_retry_due = run.stopping != stop_reason::none && !run.stop_acknowledged &&
                                    run.order != order_state::unsent &&
                                    now - run.stop_sent_at >= stop_retry_after(run);
        if (stop_retry_due) {
            send_stop(worker, run);
        }
    }
    for (const auto& key : unanswered_starts) {
        send_start(key);
    }
}

} // namespace poplarstile::control
