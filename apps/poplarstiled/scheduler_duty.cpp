#include "scheduler_duty.hpp"

#include "base/log.hpp"
#include "placement/settings_hardware.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace poplarstile::daemon
{
namespace
{

constexpr std::size_t ring_capacity = 16'384;
constexpr base::milliseconds tick_interval{50};
/// A longer gap between two things that the duty does means that the process was paused.
constexpr base::milliseconds pause_threshold{1'000};
constexpr base::milliseconds order_timeout{1'000};
constexpr std::string_view part = "scheduler";
constexpr base::logger log{"scheduler"};

lease::lease_options lease_options_of(const node& owner)
{
    const auto& settings = owner.settings;
    return {settings.vm.id, owner.run_id, settings.vm.failure_domain,
            settings.times.scheduler_renewal, settings.times.scheduler_timeout};
}

scheduling::scheduler_options scheduler_options_of(const node& owner)
{
    scheduling::scheduler_options options;
    options.failure_domain = owner.settings.vm.failure_domain;
    options.run_id = owner.settings.vm.id + "-" + owner.run_id;
    options.worker_heartbeat = owner.settings.times.worker_heartbeat;
    options.worker_lease = owner.settings.times.worker_lease;
    const bool packs = owner.settings.policy_objective == settings::objective::fragmentation;
    options.order = ordering::policy_for(packs ? ordering::objective::fragmentation
                                               : ordering::objective::completion_time);
    return options;
}

std::vector<scheduling::worker_description> workers_of(const settings::vm_settings& settings)
{
    std::vector<scheduling::worker_description> workers;
    for (const auto& worker : settings.workers) {
        workers.push_back(
            {worker.id, worker.address, worker.rack, worker.position, worker.accelerators});
    }
    return workers;
}

} // namespace

scheduler_duty::scheduler_duty(node& owner)
    : node_{owner}, lease_{lease_options_of(owner)}, hardware_{placement::hardware_of(
                                                         owner.settings)},
      scheduler_{scheduler_options_of(owner), workers_of(owner.settings)}, duty_{ring_capacity,
                                                                                 tick_interval}
{
}

void scheduler_duty::start()
{
    duty_.start([this](message&& happened) { handle(std::move(happened)); }, [this] { on_tick(); });
}

void scheduler_duty::stop()
{
    duty_.stop();
}

void scheduler_duty::submitted(scheduling::stored_job job)
{
    (void)duty_.try_post(scheduling::event{scheduling::job_submitted{std::move(job)}});
}

void scheduler_duty::cancelled(std::string job)
{
    (void)duty_.try_post(scheduling::event{scheduling::cancel_requested{std::move(job)}});
}

void scheduler_duty::rules_changed(std::shared_ptr<const rules::ruleset> rules)
{
    duty_.post(scheduling::event{scheduling::rules_changed{std::move(rules)}});
}

void scheduler_duty::leave()
{
    duty_.post(lease::event{lease::leaving{}});
}

rules::shape scheduler_duty::nearest_possible_shape(const rules::shape& wanted) const
{
    for (auto shape = wanted; shape.members > 0; --shape.members) {
        if (hardware_.can_hold(shape)) {
            return shape;
        }
    }
    return {0, 0};
}

nlohmann::json scheduler_duty::fragmentation() const
{
    const auto view = node_.scheduler.get();
    nlohmann::json by_shape = nlohmann::json::array();
    for (const auto& entry : view->room.shapes) {
        by_shape.push_back({{"shape", scheduling::to_string(entry.shape)},
                            {"free", entry.free},
                            {"reclaimable", entry.reclaimable}});
    }
    const auto& largest = view->room.largest_free;
    return {{"free_accelerators", view->room.free_accelerators},
            {"largest_free_shape",
             largest.total() == 0 ? std::string{} : scheduling::to_string(largest)},
            {"unusable_share", view->room.unusable_share},
            {"by_shape", by_shape}};
}

void scheduler_duty::vm_gone(std::string vm)
{
    (void)duty_.try_post(lease::event{lease::vm_gone{std::move(vm)}});
}

void scheduler_duty::notice_pause()
{
    const auto now = base::now();
    const auto gap = now - std::exchange(ticked_at_, now);
    if (gap > pause_threshold && lease_.held()) {
        log.warning("Paused while holding the lease; it is confirmed before anything else.");
        carry_out(lease_.decide(lease::event{lease::paused{}}, now));
    }
}

void scheduler_duty::release_held_back()
{
    for (auto& event : std::exchange(held_back_, {})) {
        carry_out(scheduler_.decide(std::move(event), base::now()));
    }
}

void scheduler_duty::handle(message happened)
{
    notice_pause();
    if (auto* const about_lease = std::get_if<lease::event>(&happened)) {
        carry_out(lease_.decide(*about_lease, base::now()));
        if (lease_.confirmed()) {
            release_held_back();
        }
    } else if (!lease_.confirmed()) {
        held_back_.push_back(std::move(std::get<scheduling::event>(happened)));
    } else {
        carry_out(scheduler_.decide(std::move(std::get<scheduling::event>(happened)), base::now()));
    }
}

void scheduler_duty::on_tick()
{
    handle(lease::event{lease::time_passed{}});
    handle(scheduling::event{scheduling::time_passed{}});
    publish();
}

void scheduler_duty::publish()
{
    scheduler_view view;
    view.holder = lease_.holder();
    view.epoch = lease_.epoch();
    view.is_self = lease_.held();
    view.active = lease_.held() && scheduler_.active();
    if (view.is_self) {
        view.counters = scheduler_.counters();
        view.jobs = scheduler_.jobs();
        view.workers = scheduler_.workers();
        view.room = scheduler_.room();
    }
    node_.scheduler.set(std::move(view));
}

void scheduler_duty::carry_out(lease::actions actions)
{
    for (auto& action : actions) {
        std::visit([this](auto& one) { carry_out_one(one); }, action);
    }
}

void scheduler_duty::carry_out(scheduling::actions actions)
{
    for (auto& action : actions) {
        std::visit([this](auto& one) { carry_out_one(one); }, action);
    }
}

void scheduler_duty::carry_out_one(lease::read_rows& action)
{
    // The heartbeat is read after the lease, so that a heartbeat older than its lease is not seen.
    node_.table->read(action.lease_key, [this,
                                         heartbeat_key = action.heartbeat_key](auto lease_row) {
        if (!lease_row.has_value()) {
            duty_.post(lease::event{lease::rows_read{}});
            return;
        }
        node_.table->read(
            heartbeat_key, [this, row = std::move(lease_row).value()](auto heartbeat_row) mutable {
                if (!heartbeat_row.has_value()) {
                    duty_.post(lease::event{lease::rows_read{}});
                    return;
                }
                duty_.post(lease::event{
                    lease::rows_read{true, std::move(row), std::move(heartbeat_row).value()}});
            });
    });
}

void scheduler_duty::carry_out_one(lease::write_rows& action)
{
    node_.table->transact(action.transaction, [this](table::commit_result result) {
        duty_.post(lease::event{lease::write_answered{std::move(result)}});
    });
}

void scheduler_duty::carry_out_one(lease::gained& action)
{
    log.info("Took the scheduler lease of {}, token {}.", node_.settings.vm.failure_domain,
             action.token);
    node_.note(part, "lease.gained", "scheduler/" + node_.settings.vm.failure_domain, "",
               fmt::format("token {}", action.token));
    carry_out(scheduler_.decide(
        scheduling::lease_gained{action.token, action.lease_key, action.lease_version},
        base::now()));
}

void scheduler_duty::carry_out_one(lease::lost& action)
{
    log.warning("Gave up the scheduler lease: {}.", action.reason);
    node_.note(part, "lease.lost", "scheduler/" + node_.settings.vm.failure_domain, "",
               action.reason);
    carry_out(scheduler_.decide(scheduling::lease_lost{}, base::now()));
}

void scheduler_duty::carry_out_one(scheduling::scan_jobs& /*action*/)
{
    const auto prefix = scheduling::live_job_prefix(node_.settings.vm.failure_domain);
    node_.table->scan(prefix, [this, prefix](auto rows) {
        if (!rows.has_value()) {
            return;
        }
        scheduling::jobs_listed listed;
        for (const auto& row : rows.value()) {
            auto job = scheduling::read_job(row);
            if (job.has_value()) {
                listed.jobs.push_back(std::move(job).value());
            } else {
                log.error("A job row can't be read: {}.", base::describe(job.error()));
                listed.unreadable.push_back(row.key.substr(prefix.size()));
            }
        }
        duty_.post(scheduling::event{std::move(listed)});
    });
}

void scheduler_duty::carry_out_one(scheduling::renew_worker& action)
{
    const auto& times = node_.settings.times;
    node_.workers->renew(
        action.address, action.worker, node_.settings.vm.failure_domain, action.token,
        times.worker_lease, times.worker_lease / 3,
        [this, worker = action.worker, round = action.round](workers::lease_answer answer) {
            duty_.post(
                scheduling::event{scheduling::worker_reported{worker, round, std::move(answer)}});
        });
}

void scheduler_duty::carry_out_one(scheduling::probe_worker& action)
{
    node_.workers->list(
        action.address, action.worker, order_timeout,
        [this, worker = action.worker, round = action.round](workers::lease_answer answer) {
            duty_.post(
                scheduling::event{scheduling::worker_reported{worker, round, std::move(answer)}});
        });
}

void scheduler_duty::carry_out_one(scheduling::hold_task& action)
{
    node_.workers->hold(action.address, action.call, order_timeout,
                        [this, task = action.call.task](workers::task_answer answer) {
                            duty_.post(scheduling::event{
                                scheduling::task_answered{task, "hold", std::move(answer)}});
                        });
}

void scheduler_duty::carry_out_one(scheduling::order_task& action)
{
    node_.workers->order(
        action.address, action.task, action.order, action.token, order_timeout,
        [this, task = action.task, order = action.order](workers::task_answer answer) {
            duty_.post(
                scheduling::event{scheduling::task_answered{task, order, std::move(answer)}});
        });
}

void scheduler_duty::carry_out_one(scheduling::write_job& action)
{
    node_.table->transact(action.transaction, [this, job = action.job,
                                               operation = action.transaction.operation](
                                                  table::commit_result result) {
        duty_.post(scheduling::event{scheduling::job_written{job, operation, std::move(result)}});
    });
}

void scheduler_duty::carry_out_one(scheduling::step_down& /*action*/)
{
    carry_out(lease_.decide(lease::event{lease::deposed{}}, base::now()));
}

void scheduler_duty::carry_out_one(scheduling::note_event& action)
{
    node_.note(part, std::move(action.kind), std::move(action.subject), std::move(action.cause),
               std::move(action.detail));
}

} // namespace poplarstile::daemon
