#include "control/leader.hpp"

#include "base/event_line.hpp"

#include <algorithm>
#include <utility>

/// Stops of runs at workers, also of runs that only the worker tells of.
namespace poplarstile::control
{
namespace
{

constexpr base::event_logger log{"orders"};
constexpr base::milliseconds stop_retry{300};
/// A stop without an answer is sent again after an interval that doubles up to this many times.
constexpr std::uint32_t max_stop_backoff = 3;
/// A run without a record that goes on for longer than this is logged.
constexpr base::milliseconds lasting_unknown_run{3'000};

} // namespace

base::milliseconds leader::stop_retry_after(const live_run& run) const
{
    if (!run.stop_under_way) {
        return stop_retry;
    }
    return pacing_.retry_after() * (1 << std::min(run.stop_sends, max_stop_backoff));
}

void leader::stop_run(worker_state& worker, live_run& run, stop_reason why)
{
    if (run.stopping != stop_reason::none) {
        return;
    }
    run.stopping = why;
    log.keep("stop_decided", {{"job", run.job},
                              {"step", run.ref.step},
                              {"index", run.ref.index},
                              {"run", run.run},
                              {"worker", worker.facts.life.worker},
                              {"why", name_of(why)},
                              {"percent", run.percent}});
    if (run.order != order_state::unsent) {
        send_stop(worker, run);
    }
}

void leader::send_stop(worker_state& worker, live_run& run)
{
    if (worker.facts.address.empty()) {
        return;
    }
    const auto now = ports_.time->now();
    run.stop_under_way = true;
    run.stop_sends += 1;
    run.stop_sent_at = now;
    ++counters_.stops;
    const run_key key{worker.facts.life.worker,
                      batch::to_text({run.job, run.ref.occurrence, run.ref.step, run.ref.index})};
    fleet::stop_order order{{worker.facts.life, worker.facts.address},
                            {run.job, run.ref.occurrence, run.ref.step, run.ref.index},
                            run.run,
                            epoch_};
    ports_.orders->stop(std::move(order), [this, alive = alive_, key, number = run.run,
                                           sent = order_sending{now, worker.facts.life.started_at}](
                                              const fleet::order_reply& reply) {
        if (!*alive) {
            return;
        }
        auto* const stopped = find_run(key);
        if (stopped == nullptr || stopped->run != number) {
            return;
        }
        auto& target = *workers_.at(key.worker);
        stopped->stop_under_way = false;
        if (target.facts.life.started_at != sent.incarnation) {
            // The later incarnation has not been told to stop the run.
            return;
        }
        if (reply.outcome == fleet::order_outcome::accepted) {
            stopped->stop_acknowledged = true;
            stopped->stop_acknowledged_at = ports_.time->now();
            if (reply.worker_ms) {
                record_clock(target, sent, *reply.worker_ms, ports_.time->now());
            }
            if (stopped->order != order_state::accepted) {
                // If the start never arrived, no end is reported; a poll shows that nothing runs.
                target.urgent_poll = true;
            }
        }
    });
}

void leader::stop_unknown(worker_state& worker, const fleet::running_task& running)
{
    ++counters_.stops;
    log_unknown_run(base::log_level::warning, "unknown_run_stopped", worker,
                    {running.task, running.run, "running"});
    fleet::stop_order order{
        {worker.facts.life, worker.facts.address}, running.task, running.run, epoch_};
    // The run counts until it is gone, and its stop is sent again until then.
    ports_.orders->stop(std::move(order), [](const fleet::order_reply& /*reply*/) {});
}

void leader::stop_unknown_when_due(worker_state& worker, const listed_run& listed,
                                   unknown_run& shown)
{
    const auto now = ports_.time->now();
    const auto interval = stop_retry * (1 << std::min(shown.stop_sends, max_stop_backoff));
    if (shown.stop_sends > 0 && now - shown.stop_sent_at < interval) {
        return;
    }
    ++shown.stop_sends;
    shown.stop_sent_at = now;
    stop_unknown(worker, {listed.task, listed.run, {}, 0});
}

void leader::expect_late_start(worker_state& worker, const live_run& run)
{
    const auto now = ports_.time->now();
    // A start that comes after the lease that it names is rejected.
    const auto until = worker.clock.known() ? worker.clock.surely_passed(run.lease_until)
                                            : now + options_.lease_horizon;
    const listed_run expected{{run.job, run.ref.occurrence, run.ref.step, run.ref.index}, run.run};
    auto& shown = worker.unknown.expect(expected, run.need, now, until);
    worker.urgent_poll = true;
    stop_unknown_when_due(worker, expected, shown);
}

void leader::retry_unknown_stops(worker_state& worker)
{
    const auto now = ports_.time->now();
    for (auto& [listed, shown] : worker.unknown.runs()) {
        if (shown.stop_sends > 0) {
            stop_unknown_when_due(worker, listed, shown);
        }
        const bool may_be_there = now < shown.may_begin_until;
        if (!shown.reported && !may_be_there && now - shown.first_shown_at >= lasting_unknown_run) {
            shown.reported = true;
            log.warning("unknown_run_lasts",
                        {{"job", listed.task.job},
                         {"task", batch::to_text(listed.task)},
                         {"run", listed.run},
                         {"worker", worker.facts.life.worker},
                         {"stops", shown.stop_sends},
                         {"need_known", shown.need.has_value()},
                         {"shown_ms_ago", base::milliseconds_between(shown.shown_at, now)}});
        }
    }
}

void leader::stop_job(job_entry& entry, stop_reason why)
{
    for (auto& [id, worker] : workers_) {
        for (auto& [task, run] : worker->runs) {
            if (run.job == entry.state.id()) {
                stop_run(*worker, run, why);
            }
        }
    }
}

void leader::stop_gang_members(job_entry& entry, const batch::task_ref& ref, std::uint32_t number)
{
    for (auto& [id, worker] : workers_) {
        for (auto& [task, run] : worker->runs) {
            // Members are stopped, not ended here: each reports its own end, and one of these ends
            // may count as an attempt.
            const bool member = run.job == entry.state.id() && run.run == number &&
                                run.ref.occurrence == ref.occurrence && run.ref.step == ref.step;
            if (member) {
                stop_run(*worker, run, stop_reason::gang_broken);
            }
        }
    }
}

} // namespace poplarstile::control
