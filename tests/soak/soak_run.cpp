#include "soak/soak_run.hpp"

#include "soak/soak_callers.hpp"
#include "soak/soak_crowds.hpp"
#include "soak/soak_faults.hpp"
#include "soak/soak_judge.hpp"
#include "soak/soak_waiting.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <memory>
#include <queue>
#include <set>
#include <thread>
#include <utility>

namespace poplarstile::soak
{
namespace
{

using clock = std::chrono::steady_clock;

std::atomic<bool> stopping = false;

/// Each crashes several workers.
constexpr std::size_t most_deadly_jobs = 3;
constexpr int whole_percent = 100;
/// Nothing starts in a drained domain later than this: the bound in the VMs' settings, and what a
/// disturbed store adds at most.
constexpr base::milliseconds disturbed_drain_bound = drain_bound + base::milliseconds{6'000};
/// After a worker has drained, until another life of it serves.
constexpr base::milliseconds time_until_back{2'000};
/// For which callers go on after the faults, so that waiting work is seen beside new work.
constexpr base::milliseconds calm_span{9'000};

/// Begins and ends faults on time. Those that take a while have threads of their own.
class fault_player
{
public:
    fault_player(soak_site& site, std::ofstream& journal) : site_{site}, journal_{journal} {}

    ~fault_player()
    {
        join();
    }
    fault_player(const fault_player&) = delete;
    fault_player& operator=(const fault_player&) = delete;

    void play(const std::vector<planned_fault>& faults, base::milliseconds span)
    {
        const auto started = clock::now();
        for (const auto& fault : faults) {
            run_ends_until(started + fault.at);
            if (stopping) {
                return;
            }
            begin(fault);
        }
        run_ends_until(started + span);
    }

    /// Ends every fault and brings back what is gone.
    void heal()
    {
        join();
        site_.heal_links();
        site_.control_site("/control/store", {{"vm", "*"}, {"fate", "serve"}});
        site_.control_site("/control/parts", {{"away", nlohmann::json::array()}});
        for (const auto& worker : site_.workers()) {
            site_.control_site("/control/worker", {{"worker", worker}, {"action", "serve"}});
            act(worker, "reach_store");
            set_capacity(worker, whole_percent);
        }
        for (const auto& domain : site_.domains()) {
            restore(domain);
        }
        for (const auto& worker : gone_workers_) {
            site_.control_site("/control/worker", {{"worker", worker}, {"action", "come_back"}});
        }
        for (const auto& vm : site_.vms()) {
            site_.signal_vm(vm, SIGCONT);
            site_.ensure_vm(vm);
        }
    }

    [[nodiscard]] const std::vector<std::string>& violations() const
    {
        return violations_;
    }

private:
    struct due_end {
        clock::time_point at;
        std::function<void()> action;
        bool operator>(const due_end& other) const
        {
            return at > other.at;
        }
    };

    void join()
    {
        for (auto& thread : threads_) {
            thread.join();
        }
        threads_.clear();
    }

    void end_later(base::milliseconds delay, std::function<void()> action)
    {
        ends_.push({clock::now() + delay, std::move(action)});
    }

    void run_ends_until(clock::time_point until)
    {
        while (!ends_.empty() && ends_.top().at <= until) {
            std::this_thread::sleep_until(ends_.top().at);
            const auto action = ends_.top().action;
            ends_.pop();
            action();
        }
        std::this_thread::sleep_until(until);
        for (const auto& vm : site_.take_crashed()) {
            violations_.push_back(vm + ": ended by itself");
            site_.ensure_vm(vm);
        }
    }

    std::string resolve(const std::string& vm)
    {
        if (vm != leading_vm) {
            return vm;
        }
        const auto leader = site_.report().value("leader", std::string{});
        return leader.empty() ? site_.vms().front() : leader;
    }

    /// One fault at a time acts on a VM's process.
    bool take_process(const std::string& vm)
    {
        const std::lock_guard lock{mutex_};
        return busy_.insert(vm).second;
    }
    void free_process(const std::string& vm)
    {
        const std::lock_guard lock{mutex_};
        busy_.erase(vm);
    }

    void begin(const planned_fault& fault)
    {
        const auto vm = resolve(fault.vm);
        journal_ << describe(fault) << " (" << vm << ")" << std::endl;
        switch (fault.kind) {
        case fault_kind::vm_killed:
            kill({vm}, fault.lasts);
            return;
        case fault_kind::power_lost:
            kill(site_.vms(), fault.lasts);
            return;
        case fault_kind::vm_paused:
            pause(vm, fault.lasts);
            return;
        case fault_kind::vm_terminated:
            threads_.emplace_back([this, vm] { restart(vm); });
            return;
        case fault_kind::rolling_restart:
            threads_.emplace_back([this] {
                for (const auto& each : site_.vms()) {
                    restart(each);
                }
            });
            return;
        case fault_kind::settings_changed:
            site_.rewrite_settings(vm, 2'000 + fault.delay.count());
            site_.signal_vm(vm, SIGHUP);
            return;
        case fault_kind::store_link:
            break_link(vm, "store", fault);
            return;
        case fault_kind::worker_link:
            break_link(vm, fault.worker, fault);
            return;
        case fault_kind::peer_link:
            break_link("peers", vm == every_vm ? vm : "peer-" + vm, fault);
            return;
        case fault_kind::caller_link:
            break_link("callers", vm, fault);
            return;
        default:
            begin_outside(fault, vm);
            return;
        }
    }

    /// Faults of the store and of workers.
    void begin_outside(const planned_fault& fault, const std::string& vm)
    {
        switch (fault.kind) {
        case fault_kind::store_calls:
            site_.control_site("/control/store", {{"vm", vm}, {"fate", fault.variant}});
            end_later(fault.lasts, [this, vm] {
                site_.control_site("/control/store", {{"vm", vm}, {"fate", "serve"}});
            });
            return;
        case fault_kind::registrations_lapsed:
            site_.control_site("/control/store", {{"vm", vm}, {"fate", fault.variant}});
            cut_off(site_.workers(), fault.lasts);
            end_later(fault.lasts, [this, vm] {
                site_.control_site("/control/store", {{"vm", vm}, {"fate", "serve"}});
            });
            return;
        case fault_kind::worker_cut_off:
            cut_off({fault.worker}, fault.lasts);
            return;
        case fault_kind::worker_serving_out:
            serve_out(fault);
            return;
        case fault_kind::worker_reborn_apart:
            bear_again_apart(fault);
            return;
        case fault_kind::store_part:
            site_.control_site("/control/parts", {{"away", {fault.variant}}});
            end_later(fault.lasts, [this] {
                site_.control_site("/control/parts", {{"away", nlohmann::json::array()}});
            });
            return;
        case fault_kind::store_history:
            site_.control_site("/control/history", nlohmann::json::object());
            return;
        case fault_kind::worker_reborn:
            act(fault.worker, "come_back");
            return;
        case fault_kind::worker_crashed:
            lose_worker(fault, "crash");
            return;
        case fault_kind::worker_drained:
            lose_worker(fault, "drain");
            return;
        case fault_kind::domain_drained:
            site_.control_site("/control/drain", {{"domain", fault.variant},
                                                  {"drained", true},
                                                  {"bound_ms", disturbed_drain_bound.count()}});
            end_later(fault.lasts, [this, domain = fault.variant] { restore(domain); });
            return;
        case fault_kind::client_crowd:
            // Ends with the last copy of the function that owns it.
            end_later(fault.lasts,
                      [crowd = std::shared_ptr{start_client_crowd(site_, vm, fault.variant)}] {
                          (void)crowd;
                      });
            return;
        case fault_kind::worker_shrunk:
            set_capacity(fault.worker, fault.percent);
            end_later(fault.lasts,
                      [this, worker = fault.worker] { set_capacity(worker, whole_percent); });
            return;
        default:
            act(fault.worker, fault.variant);
            end_later(fault.lasts, [this, worker = fault.worker] { act(worker, "serve"); });
            return;
        }
    }

    void set_capacity(const std::string& worker, int percent)
    {
        site_.control_site("/control/capacity", {{"worker", worker}, {"percent", percent}});
    }

    void restore(const std::string& domain)
    {
        site_.control_site("/control/drain", {{"domain", domain}, {"drained", false}});
    }

    void act(const std::string& worker, const std::string& action)
    {
        site_.control_site("/control/worker", {{"worker", worker}, {"action", action}});
    }

    void lose_worker(const planned_fault& fault, const std::string& action)
    {
        if (!gone_workers_.insert(fault.worker).second) {
            return;
        }
        act(fault.worker, action);
        end_later(fault.lasts + fault.lasts, [this, worker = fault.worker] {
            gone_workers_.erase(worker);
            act(worker, "come_back");
        });
    }

    void serve_out(const planned_fault& fault)
    {
        if (!gone_workers_.insert(fault.worker).second) {
            return;
        }
        site_.control_site(
            "/control/worker",
            {{"worker", fault.worker}, {"action", "drain"}, {"remaining_ms", fault.lasts.count()}});
        end_later(fault.lasts + time_until_back, [this, worker = fault.worker] {
            gone_workers_.erase(worker);
            act(worker, "come_back");
        });
    }

    void bear_again_apart(const planned_fault& fault)
    {
        break_link(std::string{every_vm}, fault.worker, fault);
        cut_off({fault.worker}, fault.lasts);
        end_later(fault.delay, [this, worker = fault.worker] { act(worker, "come_back"); });
    }

    void cut_off(const std::vector<std::string>& workers, base::milliseconds lasts)
    {
        for (const auto& worker : workers) {
            act(worker, "cut_off");
            end_later(lasts, [this, worker] { act(worker, "reach_store"); });
        }
    }

    void kill(const std::vector<std::string>& vms, base::milliseconds down)
    {
        for (const auto& vm : vms) {
            if (!take_process(vm)) {
                continue;
            }
            site_.kill_vm(vm);
            end_later(down, [this, vm] {
                site_.ensure_vm(vm);
                free_process(vm);
            });
        }
    }

    void pause(const std::string& vm, base::milliseconds lasts)
    {
        if (!take_process(vm)) {
            return;
        }
        site_.signal_vm(vm, SIGSTOP);
        end_later(lasts, [this, vm] {
            site_.signal_vm(vm, SIGCONT);
            free_process(vm);
        });
    }

    void restart(const std::string& vm)
    {
        if (!take_process(vm)) {
            return;
        }
        const bool ended_well = site_.terminate_vm(vm);
        site_.ensure_vm(vm);
        free_process(vm);
        if (!ended_well) {
            const std::lock_guard lock{mutex_};
            violations_.push_back(vm + ": did not end well within its grace");
        }
    }

    void break_link(const std::string& source, const std::string& target,
                    const planned_fault& fault)
    {
        site_.set_link(source, target, fault.variant, fault.delay.count());
        end_later(fault.lasts, [this, source, target] { site_.set_link(source, target, "none"); });
    }

    soak_site& site_;
    std::ofstream& journal_;
    std::mutex mutex_;
    std::set<std::string> busy_;
    std::set<std::string> gone_workers_;
    std::priority_queue<due_end, std::vector<due_end>, std::greater<>> ends_;
    std::vector<std::thread> threads_;
    std::vector<std::string> violations_;
};

std::vector<planned_fault> plan(const run_options& options, const soak_site& site)
{
    // Hand-overs, rebirths and drains come beside all other faults for even seeds, and alone for
    // odd ones.
    const bool apart = options.handovers || options.reborn_workers || options.domain_drains;
    const bool alone = apart && options.seed % 2 == 1;
    auto faults = alone ? std::vector<planned_fault>{}
                        : plan_faults(options.seed, site.vms(), site.workers(), options.span);
    if (options.capacity_changes) {
        faults = merge_plans(std::move(faults),
                             plan_capacity_changes(options.seed, site.workers(), options.span));
    }
    if (options.lapsing_registrations) {
        faults =
            merge_plans(std::move(faults),
                        plan_lapsing_registrations(options.seed, site.workers(), options.span));
    }
    if (options.handovers) {
        faults = merge_plans(std::move(faults),
                             plan_handovers(options.seed, site.workers(), options.span));
    }
    if (options.reborn_workers) {
        faults = merge_plans(std::move(faults),
                             plan_rebirths(options.seed, site.workers(), options.span));
    }
    if (options.client_crowds) {
        faults = merge_plans(std::move(faults),
                             plan_client_crowds(options.seed, site.vms(), options.span));
    }
    if (options.domain_drains) {
        faults = merge_plans(std::move(faults),
                             plan_domain_drains(options.seed, site.domains(), options.span));
    }
    return faults;
}

crowd_options crowd_of(const run_options& options)
{
    crowd_options crowd;
    crowd.callers = options.callers;
    crowd.most_deadly_jobs = options.deadly_jobs ? most_deadly_jobs : 0;
    crowd.long_runs = options.lapsing_registrations;
    if (options.handovers) {
        crowd.mix = job_mix::crowded;
    } else if (options.reborn_workers) {
        crowd.mix = job_mix::sparse;
    }
    return crowd;
}

void go_on_calmly(base::milliseconds span)
{
    const auto until = clock::now() + span;
    while (!stopping && clock::now() < until) {
        std::this_thread::sleep_for(base::milliseconds{100});
    }
}

void count_jobs(const caller_crowd& callers, run_result& result)
{
    result.jobs = callers.notes().size();
    for (const auto& [id, note] : callers.notes()) {
        result.accepted += note.accepted ? 1 : 0;
        result.refused += note.refused ? 1 : 0;
    }
}

} // namespace

void request_stop()
{
    stopping = true;
}

bool stop_requested()
{
    return stopping;
}

base::result<run_result> play(const run_options& options)
{
    std::filesystem::remove_all(options.folder);
    std::filesystem::create_directories(options.folder);
    std::ofstream journal{options.folder + "/faults.log"};
    BOOST_OUTCOME_TRY(site, soak_site::start(options.shape, options.folder));
    run_result result;
    const auto faults = plan(options, *site);
    result.faults = faults.size();
    caller_crowd callers{*site, options.seed, crowd_of(options)};
    fault_player player{*site, journal};
    player.play(faults, options.span);
    player.heal();
    waiting_watch waiting{*site, callers};
    callers.calm_down();
    if (options.reborn_workers) {
        go_on_calmly(calm_span);
    }
    callers.stop();
    site->leave_open_connections();
    append(result.violations, player.violations());
    if (stopping) {
        result.violations.emplace_back("stopped before its end");
        return result;
    }
    if (!site->await_ready(ready_bound)) {
        result.violations.emplace_back("not every VM takes calls after the faults");
    }
    if (options.client_crowds) {
        append(result.violations, judge_usage(*site));
    }
    const auto open_work =
        options.handovers ? time_for_open_work(*site, callers) : base::milliseconds{0};
    await_ends(*site, callers, result, open_work);
    append(result.violations, waiting.stop());
    judge_known(*site, callers, result);
    if (options.await_removal) {
        judge_removal(*site, callers, result);
    }
    const auto report = site->report();
    judge_workers(report, callers, result);
    result.starts_beside_drains = report.value("starts_beside_drains", std::size_t{0});
    append(result.violations, callers.violations());
    append(result.violations, site->take_crashed());
    count_jobs(callers, result);
    return result;
}

} // namespace poplarstile::soak
