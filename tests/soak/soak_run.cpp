#include "soak/soak_run.hpp"

#include "soak/soak_callers.hpp"
#include "soak/soak_faults.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <queue>
#include <set>
#include <thread>
#include <utility>

namespace poplarstile::soak
{
namespace
{

using clock = std::chrono::steady_clock;

/// After the last fault every VM takes calls again within this time.
constexpr base::milliseconds ready_bound{12'000};
/// After that every accepted job ends within this time.
constexpr base::milliseconds finish_bound{14'000};
/// The row of an ended job is gone so long after its retention; the leader waits for 10 s of it.
constexpr base::milliseconds removal_bound{15'000};
constexpr base::milliseconds poll_interval{100};
/// Answer to a question for a job that does not exist.
constexpr const char* unknown_job = "410";

std::atomic<bool> stopping = false;

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
        default:
            act(fault.worker, fault.variant);
            end_later(fault.lasts, [this, worker = fault.worker] { act(worker, "serve"); });
            return;
        }
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

void append(std::vector<std::string>& all, const std::vector<std::string>& more)
{
    all.insert(all.end(), more.begin(), more.end());
}

template <class Condition>
std::vector<std::string> jobs_where(const caller_crowd& callers, const Condition& holds)
{
    std::vector<std::string> found;
    for (const auto& [id, note] : callers.notes()) {
        if (holds(note)) {
            found.push_back(id);
        }
    }
    return found;
}

/// Jobs that have to end: accepted, and nobody wished otherwise.
std::vector<std::string> owed_jobs(const caller_crowd& callers)
{
    return jobs_where(callers, [](const auto& note) { return note.accepted && !note.cancelled; });
}

base::milliseconds since(clock::time_point started)
{
    return std::chrono::duration_cast<base::milliseconds>(clock::now() - started);
}

/// Whether `ask_state` gave a job's state, and no status code.
bool is_state(const std::string& answer)
{
    return !answer.empty() && std::isalpha(static_cast<unsigned char>(answer.front())) != 0;
}

/// Asks for the jobs, at each of the VMs in turn, until `holds` is true of each one's state or the
/// bound is over. The jobs left, with their last states.
template <class Condition>
std::map<std::string, std::string> ask_until(caller_crowd& callers,
                                             const std::vector<std::string>& vms,
                                             std::vector<std::string> jobs, const Condition& holds)
{
    const auto started = clock::now();
    std::map<std::string, std::string> last_state;
    for (std::size_t turn = 0; !jobs.empty() && !stopping && since(started) < finish_bound;
         ++turn) {
        std::erase_if(jobs, [&](const std::string& job) {
            last_state[job] = callers.ask_state(vms.at(turn % vms.size()), job);
            return holds(job, last_state[job]);
        });
        std::this_thread::sleep_for(poll_interval);
    }
    std::erase_if(last_state, [&](const auto& entry) {
        return std::ranges::find(jobs, entry.first) == jobs.end();
    });
    return last_state;
}

/// Whether the workers did all that the job's end takes: its tasks, or the attempts that fail it.
bool could_end(const nlohmann::json& report, const job_note& note)
{
    const auto& job = note.script.job;
    return note.can_be_done()
               ? report.at("done").value(job, std::uint64_t{0}) == note.tasks()
               : report.at("starts").value(job, std::uint64_t{0}) >= max_runs_that_fail;
}

/// Asks for the owed jobs, at each VM in turn, until all have ended or the bound is over.
void await_ends(soak_site& site, caller_crowd& callers, run_result& result)
{
    const auto started = clock::now();
    const auto open =
        ask_until(callers, site.vms(), owed_jobs(callers),
                  [&](const std::string& job, const std::string& state) {
                      const auto& note = callers.notes().at(job);
                      const std::string wanted = note.can_be_done() ? "completed" : "failed";
                      // Its time may be over though no caller happened to see its end.
                      const bool ended = note.final_state.empty() ? could_end(site.report(), note)
                                                                  : note.final_state == wanted;
                      return state == wanted || (state == unknown_job && ended &&
                                                 note.may_be_removed(site.status_retention()));
                  });
    result.settled_after = since(started);
    for (const auto& [job, state] : open) {
        result.violations.push_back(
            fmt::format("{}: accepted, and still {} at the end", job, state));
    }
}

/// A job that was completed had not ended before its last task was done.
void note_last_work(soak_site& site, caller_crowd& callers)
{
    const auto asked = clock::now();
    const auto ages = site.report().at("last_done_ms_ago");
    for (const auto& job : owed_jobs(callers)) {
        if (callers.notes().at(job).can_be_done() && ages.contains(job)) {
            callers.note_open(job, asked - base::milliseconds{ages.at(job).get<std::int64_t>()});
        }
    }
}

/// Starts the VM again: it has seen no end of a job, and answers from the store.
void start_anew(soak_site& site, const std::string& vm, run_result& result)
{
    site.kill_vm(vm);
    site.ensure_vm(vm);
    if (!site.await_ready(ready_bound)) {
        result.violations.push_back(vm + ": takes no calls after its start");
    }
}

/// Every accepted job is known at a VM that answers from the store, until its time may be over.
void judge_known(soak_site& site, caller_crowd& callers, run_result& result)
{
    note_last_work(site, callers);
    const auto& vm = site.vms().front();
    start_anew(site, vm, result);
    const auto unknown = ask_until(
        callers, {vm}, jobs_where(callers, [](const auto& note) { return note.accepted; }),
        [&](const std::string& job, const std::string& state) {
            const auto& note = callers.notes().at(job);
            return is_state(state) || note.may_be_removed(site.status_retention());
        });
    for (const auto& [job, state] : unknown) {
        result.violations.push_back(
            fmt::format("{}: accepted, and {} answers {} at the end", job, vm, state));
    }
}

/// Waits until the rows of the owed jobs are gone. None goes before its time, none stays, and none
/// is known afterwards.
void judge_removal(soak_site& site, caller_crowd& callers, run_result& result)
{
    const auto started = clock::now();
    const auto owed = owed_jobs(callers);
    auto stored = owed;
    while (!stored.empty() && !stopping &&
           since(started) < site.status_retention() + removal_bound) {
        const auto rows = site.report().at("stored_jobs").get<std::set<std::string>>();
        std::erase_if(stored, [&](const std::string& job) {
            if (rows.contains(job)) {
                return false;
            }
            if (!callers.notes().at(job).may_be_removed(site.status_retention())) {
                result.violations.push_back(job + ": its row was removed before its time");
            }
            return true;
        });
        std::this_thread::sleep_for(poll_interval);
    }
    result.removed_after = since(started);
    for (const auto& job : stored) {
        result.violations.push_back(job + ": its row is stored long after its time");
    }
    const auto& vm = site.vms().back();
    start_anew(site, vm, result);
    const auto shown =
        ask_until(callers, {vm}, owed, [](const std::string& /*job*/, const std::string& state) {
            return state == unknown_job;
        });
    for (const auto& [job, state] : shown) {
        result.violations.push_back(
            fmt::format("{}: {} answers {} long after its time", job, vm, state));
    }
}

/// Holds what the workers saw against what the callers were told.
void judge_workers(const nlohmann::json& report, const caller_crowd& callers, run_result& result)
{
    append(result.violations, report.at("violations").get<std::vector<std::string>>());
    const auto starts = report.at("starts").get<std::map<std::string, std::uint64_t>>();
    const auto done = report.at("done").get<std::map<std::string, std::uint64_t>>();
    for (const auto& [job, count] : starts) {
        const auto found = callers.notes().find(job);
        if (found == callers.notes().end()) {
            result.violations.push_back(job + ": started, and nobody handed it in");
        } else if (found->second.refused) {
            result.violations.push_back(job + ": started, though every attempt was refused");
        }
    }
    for (const auto& [job, note] : callers.notes()) {
        const auto found = done.find(job);
        const auto ended = found == done.end() ? 0 : found->second;
        if (note.final_state == "completed" && ended != note.tasks()) {
            result.violations.push_back(fmt::format(
                "{}: shown as completed with {} of {} tasks done", job, ended, note.tasks()));
        }
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
    const auto faults = plan_faults(options.seed, site->vms(), site->workers(), options.span);
    result.faults = faults.size();
    caller_crowd callers{*site, options.seed, options.callers};
    fault_player player{*site, journal};
    player.play(faults, options.span);
    player.heal();
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
    await_ends(*site, callers, result);
    judge_known(*site, callers, result);
    if (options.await_removal) {
        judge_removal(*site, callers, result);
    }
    judge_workers(site->report(), callers, result);
    append(result.violations, callers.violations());
    append(result.violations, site->take_crashed());
    count_jobs(callers, result);
    return result;
}

} // namespace poplarstile::soak
