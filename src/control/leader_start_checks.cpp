#include "control/leader.hpp"

#include "base/event_line.hpp"
#include "control/worker_room.hpp"

/// Whether a start may be sent: when it is handed over, and when it leaves. Between the two it may
/// wait for a connection for as long as `fleet::order_timeout`, and its reason may go meanwhile.
namespace poplarstile::control
{
namespace
{

constexpr base::event_logger log{"orders"};
/// A start that waits for a connection for longer than this is checked against the worker's room
/// again, and is logged.
constexpr base::milliseconds notable_wait{100};

} // namespace

bool leader::may_send_start(const worker_state& worker, const std::string& task,
                            const live_run& run) const
{
    const auto room = room_of(worker);
    const bool fits = room.fits(worker.facts.capacity);
    if (fits && is_capacity_known(worker)) {
        return true;
    }
    const auto now = ports_.time->now();
    const auto& capacity = worker.facts.capacity;
    const auto* const cause = !room.known ? "unknown_runs"
                              : fits      ? "registrations_too_old"
                                          : "over_capacity";
    log.warning("start_held_back",
                {{"job", run.job},
                 {"task", task},
                 {"run", run.run},
                 {"worker", worker.facts.life.worker},
                 {"cause", cause},
                 {"cpu_milli", capacity.cpu_milli},
                 {"memory_mb", capacity.memory_mb},
                 {"accelerators", capacity.accelerators},
                 {"used_cpu_milli", room.in_use.cpu_milli},
                 {"used_memory_mb", room.in_use.memory_mb},
                 {"used_accelerators", room.in_use.accelerators},
                 {"capacity_read_ms_ago", base::milliseconds_between(worker.registered_at, now)},
                 {"confirmed_ms_ago", base::milliseconds_between(registrations_seen_at_, now)},
                 {"unknown_runs", room.unknown_runs},
                 {"planned_ms_ago", base::milliseconds_between(run.planned_at, now)},
                 {"sends", run.sends}});
    return false;
}

std::string_view leader::why_obsolete(const run_key& key, std::uint32_t number,
                                      const start_sending& sent)
{
    const auto* const run = find_run(key);
    if (lost_ || handing_back_) {
        return "leader_changes";
    }
    if (run == nullptr || run->run != number) {
        return "run_over";
    }
    if (run->stopping != stop_reason::none) {
        return name_of(run->stopping);
    }
    const auto& worker = *workers_.at(key.worker);
    const auto now = ports_.time->now();
    if (worker.facts.life.started_at != sent.incarnation) {
        return "other_incarnation";
    }
    if (worker.facts.draining) {
        return "draining";
    }
    if (is_domain_drained(worker)) {
        return "domain_drained";
    }
    if (worker.clock.known() && now >= worker.clock.surely_passed(run->lease_until)) {
        return "lease_expired";
    }
    if (now - sent.at > notable_wait && !may_send_start(worker, key.task, *run)) {
        return "capacity";
    }
    return {};
}

void leader::note_departure(live_run& run, start_sending& sent, base::time_point at)
{
    if (sent.departed_at) {
        return;
    }
    sent.departed_at = at;
    run.first_departed_at = run.departed_starts == 0 ? at : run.first_departed_at;
    ++run.departed_starts;
}

bool leader::may_start_leave(const run_key& key, std::uint32_t number, start_sending& sent)
{
    const auto now = ports_.time->now();
    const auto waited_ms = base::milliseconds_between(sent.at, now);
    if (const auto why = why_obsolete(key, number, sent); !why.empty()) {
        log.keep("start_withdrawn", {{"task", key.task},
                                     {"run", number},
                                     {"worker", key.worker},
                                     {"epoch", epoch_},
                                     {"why", why},
                                     {"waited_ms", waited_ms}});
        return false;
    }
    note_departure(*find_run(key), sent, now);
    if (now - sent.at > notable_wait) {
        log.info("start_left_late", {{"task", key.task},
                                     {"run", number},
                                     {"worker", key.worker},
                                     {"epoch", epoch_},
                                     {"waited_ms", waited_ms}});
    }
    return true;
}

void leader::log_unreached(const worker_state& worker, const fleet::order_reply& reply)
{
    if (worker.unanswered_polls == 0) {
        log.warning("worker_unreached", {{"worker", worker.facts.life.worker},
                                         {"refused", reply.connection_refused},
                                         {"runs", worker.runs.size()}});
    }
}

void leader::receive_unsent_start(worker_state& worker, const run_key& key, live_run& run,
                                  const start_sending& sent, const fleet::order_reply& reply)
{
    if (sent.departed_at && run.departed_starts > 0) {
        // It began to leave on a connection that broke before the whole of it was sent.
        --run.departed_starts;
    }
    const auto now = ports_.time->now();
    // A worker that has answered since may refuse some connections only.
    const bool unreached = !reply.withdrawn && sent.at >= worker.answered_at &&
                           sent.incarnation == worker.facts.life.started_at;
    if (unreached) {
        log_unreached(worker, reply);
        // Nobody listens there now; before that a start of another run may have begun.
        note_unreached(worker, now, now);
    }
    const bool never_begins = !has_departed(run) && run.starts_under_way == 0;
    const bool given_up = unreached || reply.withdrawn || run.stopping != stop_reason::none;
    if (never_begins && given_up && !lost_ && !handing_back_) {
        end_run(worker, key.task, batch::run_end::lost, {}, run_evidence::start_never_left);
    }
    // Else retry_orders sends it again, or a successor looks after the run.
}

} // namespace poplarstile::control
