#pragma once

#include "store/row_keys.hpp"
#include "support/site_fixture.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// A site under random faults, and the judgement of what callers were promised about their jobs.
namespace poplarstile::tests
{

/// The promises about jobs, judged by the rows of the store, by what the workers did and by what
/// callers were answered. The store's clock is the one that counts.
class retention_model
{
public:
    static constexpr std::size_t vm_count = 3;
    static constexpr base::milliseconds retention{5'000};
    /// A caller repeats a submission for no longer than this.
    static constexpr base::milliseconds repeat_span{3'000};
    /// After the faults every job ends within this.
    static constexpr base::milliseconds settle_bound{60'000};
    /// Rows of ended jobs go within this after their time and after the faults.
    static constexpr base::milliseconds removal_bound{20'000};

    /// Promises that are judged only where a property asks for them.
    struct judged_promises {
        /// Cancels of ended jobs leave no rows.
        bool cancel_rows = false;
        /// A job that is stored in two parts when a leader takes over, or before the leader has
        /// read all parts, runs once.
        bool two_rows_at_takeover = false;
        /// What one VM has shown as a job's end is its end on the others as well, also for a job
        /// that is cancelled while it ends.
        bool same_end_on_all_vms = false;
    };

    explicit retention_model(judged_promises promises) : promises_{promises}
    {
        constexpr batch::resources worker_capacity{32'000, 65'536, 8};
        site_.leading.status_retention = retention;
        site_.leading.cancel_retention = retention;
        site_.submitted = make_job({}, tasks_per_job, small_task);
        site_.store.decide = [this](const std::string& vm, bool write) {
            return fate_of(vm, write);
        };
        for (const auto* const worker : worker_names) {
            site_.workers.add(worker, "r1-1", worker_capacity);
        }
        site_.workers.need = [](const std::string& /*task*/) { return small_task; };
        site_.workers.duration = [](const std::string& task) { return duration_of(task); };
        site_.workers.on_start = [this](const fleet::start_order& order) { judge_start(order); };
        site_.workers.on_acknowledged = [this](const std::string& /*worker*/,
                                               const fleet::ended_task& ended) {
            if (ended.how == batch::run_end::done) {
                acknowledged_.insert(batch::to_text(ended.task));
            }
        };
        for (std::size_t number = 0; number < vm_count; ++number) {
            site_.start(vm_name(number));
        }
        (void)site_.await_leader();
    }

    void submit(std::size_t vm)
    {
        const auto number = jobs_.size();
        job_truth job;
        job.id = fmt::format("{:016x}", number + 1);
        job.sent = site_.time.now();
        jobs_.push_back(std::move(job));
        send_submission(vm, number);
    }

    /// The caller of a recent job repeats its submission.
    void submit_again(std::size_t vm, std::size_t choice)
    {
        const auto number = recent_job(choice);
        if (number) {
            send_submission(vm, *number);
        }
    }

    /// An earlier try of a recent submission takes effect late, in another part.
    void store_twice(std::size_t choice, std::size_t part)
    {
        const auto number = recent_job(choice);
        if (!number || !jobs_.at(*number).stored) {
            return;
        }
        const auto& id = jobs_.at(*number).id;
        const store::row_id row{"jobs", site_.parts.name(part % site_.parts.size()), id};
        if (!site_.store.find(row)) {
            auto job = make_job(id, tasks_per_job, small_task);
            job.accepted_ms = site_.time.timers().unix_ms();
            site_.store.put(row, batch::encode(job));
            auto& stored_twice = jobs_.at(*number);
            ++stored_twice.rows;
            const auto epoch = settled_epoch();
            const bool settled = epoch > 0 && epoch == epoch_;
            stored_twice.two_rows_at_takeover = stored_twice.two_rows_at_takeover || !settled;
        }
    }

    /// Cancels a job, if its cancel row is judged also one that has ended.
    void cancel(std::size_t vm, std::size_t choice)
    {
        if (jobs_.empty()) {
            return;
        }
        const auto number = choice % jobs_.size();
        if (promises_.cancel_rows || !jobs_.at(number).ended) {
            jobs_.at(number).cancelled = true;
            call(vm, number, frontend::call_kind::cancel);
        }
    }

    void ask(std::size_t vm, std::size_t choice)
    {
        if (!jobs_.empty()) {
            call(vm, choice % jobs_.size(), frontend::call_kind::show);
        }
    }

    /// The leader loses power and starts again later.
    void kill_leader(base::milliseconds lasts)
    {
        if (const auto* const leader = site_.elected_vm()) {
            stop(leader->name, lasts);
        }
    }
    void kill_vm(std::size_t vm, base::milliseconds lasts)
    {
        stop(vm_name(vm), lasts);
    }

    void lose_part(std::size_t part, base::milliseconds lasts)
    {
        away_.push_back({site_.parts.name(part % site_.parts.size()), site_.time.now() + lasts});
        update_faults();
    }

    /// What the store does to the writes, or the reads, of one VM or of all.
    void fail_calls(std::optional<std::size_t> vm, bool writes, fake_store::fate fate,
                    base::milliseconds lasts)
    {
        faults_.push_back(
            {vm ? vm_name(*vm) : std::string{}, writes, fate, site_.time.now() + lasts});
    }
    void fail_calls_of_leader(bool writes, fake_store::fate fate, base::milliseconds lasts)
    {
        if (const auto* const leader = site_.elected_vm()) {
            faults_.push_back({leader->name, writes, fate, site_.time.now() + lasts});
        }
    }

    /// The leader and the other VMs can't reach each other.
    void cut_off_leader(base::milliseconds lasts)
    {
        if (const auto* const leader = site_.elected_vm()) {
            for (std::size_t number = 0; number < vm_count; ++number) {
                if (vm_name(number) != leader->name) {
                    site_.cut(leader->name, vm_name(number));
                }
            }
            cut_until_ = site_.time.now() + lasts;
        }
    }

    void forget_history()
    {
        site_.store.forget_history();
    }

    void wait(base::milliseconds span)
    {
        const auto until = site_.time.now() + span;
        while (site_.time.now() < until && broken_.empty()) {
            const auto left = std::chrono::ceil<base::milliseconds>(until - site_.time.now());
            site_.time.run_for(std::min(left, check_interval));
            update_faults();
            check_rows();
            ask_in_turn();
        }
    }

    /// Ends all faults, waits until every job has ended and its rows are gone, and judges the rest.
    void finish()
    {
        tell("all faults end");
        faults_.clear();
        away_.clear();
        site_.heal();
        cut_until_.reset();
        for (auto& down : down_) {
            down.until = site_.time.now();
        }
        update_faults();
        wait_while([this] { return site_.leading_vm() == nullptr; }, settle_bound);
        const auto has_open = [this] {
            return std::ranges::any_of(
                jobs_, [](const job_truth& job) { return job.stored && !job.ended; });
        };
        wait_while(has_open, settle_bound);
        for (const auto& job : jobs_) {
            if (job.accepted && !job.ended) {
                report(job.id + " has not ended");
            }
        }
        if (is_broken()) {
            return;
        }
        for (std::size_t number = 0; number < jobs_.size(); ++number) {
            call(number % vm_count, number, frontend::call_kind::show);
        }
        const auto rows_left = [this] { return !left_rows().empty(); };
        wait_while(rows_left, retention + removal_bound);
        for (const auto& row : left_rows()) {
            report(fmt::format("{}/{}/{} was not removed", row.table, row.part, row.key));
        }
        if (is_broken()) {
            return;
        }
        judge_leader();
        judge_runs();
    }

    [[nodiscard]] bool is_broken() const
    {
        return !broken_.empty();
    }
    /// What was answered and stored, and the promise that was broken, in words.
    [[nodiscard]] std::string story() const
    {
        return fmt::format("\n{}\n{}", fmt::join(story_, "\n"), fmt::join(broken_, "\n"));
    }

private:
    static constexpr std::array<const char*, 2> worker_names{"w1", "w2"};
    static constexpr std::uint32_t tasks_per_job = 2;
    static constexpr batch::resources small_task{2'000, 4'000, 1};
    static constexpr base::milliseconds check_interval{50};
    static constexpr base::milliseconds call_timeout{2'000};
    /// Statuses that are not final may be older than the end by this much on another VM.
    static constexpr base::milliseconds view_age_bound{2'000};

    struct job_truth {
        std::string id{};
        base::time_point sent{};
        /// When it was first seen in the store, accepted, and seen to have ended in the store.
        std::optional<base::time_point> stored{};
        std::optional<base::time_point> accepted{};
        std::optional<base::time_point> ended{};
        std::optional<batch::job_status> shown_end{};
        base::time_point shown_at{};
        /// VMs that have shown its end since they were started.
        std::set<std::string> shown_by{};
        bool cancelled = false;
        std::size_t rows = 0;
        /// It was stored in two parts while a leader took over, or had not read all parts.
        bool two_rows_at_takeover = false;
        /// Versions of its row in the parts.
        std::map<std::string, store::row_version> versions{};
    };
    struct store_fault {
        /// Empty for all.
        std::string vm{};
        bool writes = false;
        fake_store::fate fate = fake_store::fate::refuse;
        base::time_point until{};
    };
    struct timed_name {
        std::string name{};
        base::time_point until{};
    };

    static std::string vm_name(std::size_t number)
    {
        return fmt::format("vm{}", number % vm_count + 1);
    }

    static base::milliseconds duration_of(const std::string& task)
    {
        std::int64_t sum = 0;
        for (const auto letter : task) {
            sum += letter;
        }
        return base::milliseconds{200 + 400 * (sum % 8)};
    }

    [[nodiscard]] fake_store::fate fate_of(const std::string& vm, bool write) const
    {
        const auto found = std::ranges::find_if(faults_, [&](const store_fault& fault) {
            return fault.writes == write && (fault.vm.empty() || fault.vm == vm) &&
                   site_.time.now() < fault.until;
        });
        return found == faults_.end() ? fake_store::fate::serve : found->fate;
    }

    [[nodiscard]] bool is_down(const std::string& vm) const
    {
        return std::ranges::find(down_, vm, &timed_name::name) != down_.end();
    }

    void stop(const std::string& vm, base::milliseconds lasts)
    {
        if (!is_down(vm)) {
            tell(vm + " is down");
            site_.stop(vm);
            for (auto& job : jobs_) {
                job.shown_by.erase(vm);
            }
            down_.push_back({vm, site_.time.now() + lasts});
        }
    }

    void update_faults()
    {
        const auto now = site_.time.now();
        const auto over = [now](const auto& fault) { return fault.until <= now; };
        for (const auto& down : down_) {
            if (over(down)) {
                tell(down.name + " starts");
                site_.start(down.name);
            }
        }
        std::erase_if(down_, over);
        std::erase_if(faults_, over);
        std::erase_if(away_, over);
        site_.store.away_parts.clear();
        for (const auto& part : away_) {
            site_.store.away_parts.insert(part.name);
        }
        if (cut_until_ && *cut_until_ <= now) {
            site_.heal();
            cut_until_.reset();
        }
    }

    [[nodiscard]] std::optional<std::size_t> recent_job(std::size_t choice) const
    {
        std::vector<std::size_t> recent;
        for (std::size_t number = 0; number < jobs_.size(); ++number) {
            if (site_.time.now() - jobs_.at(number).sent <= repeat_span) {
                recent.push_back(number);
            }
        }
        return recent.empty() ? std::nullopt : std::optional{recent.at(choice % recent.size())};
    }

    void send_submission(std::size_t vm, std::size_t number)
    {
        call(vm, number, frontend::call_kind::submit);
    }

    void call(std::size_t vm, std::size_t number, frontend::call_kind kind)
    {
        const auto name = vm_name(vm);
        if (is_down(name)) {
            return;
        }
        frontend::caller_call made;
        made.kind = kind;
        made.host = "host.example";
        made.path = "/queue/" + jobs_.at(number).id;
        made.key = "key";
        made.timeout = call_timeout;
        made.body = "body";
        site_.at(name).frontend->handle(
            made, [this, number, name, sent = site_.time.now()](const auto& answer) {
                judge_answer(jobs_.at(number), name, sent, answer);
            });
    }

    void judge_answer(job_truth& job, const std::string& vm, base::time_point sent,
                      const frontend::caller_answer& answer)
    {
        const auto now = site_.time.now();
        tell_answer(job, vm, answer);
        if (std::holds_alternative<frontend::job_accepted>(answer)) {
            job.accepted = job.accepted.value_or(now);
        } else if (const auto* const shown = std::get_if<frontend::job_shown>(&answer)) {
            judge_status(job, vm, sent, shown->status);
        } else if (std::holds_alternative<frontend::no_such_job>(answer)) {
            const bool accepted_before = job.accepted && *job.accepted <= sent;
            if (accepted_before && !time_is_over(job)) {
                report(fmt::format("{} answered that {} doesn't exist", vm, job.id));
            }
        }
    }

    void judge_status(job_truth& job, const std::string& vm, base::time_point sent,
                      batch::job_status status)
    {
        const auto name = batch::name_of(status);
        if (batch::is_final(status)) {
            const bool judged = promises_.same_end_on_all_vms || !job.cancelled;
            if (judged && job.shown_end && *job.shown_end != status) {
                report(fmt::format("{} showed {} as {} after {}", vm, job.id, name,
                                   batch::name_of(*job.shown_end)));
            }
            if (!job.shown_end) {
                job.shown_end = status;
                job.shown_at = site_.time.now();
            }
            job.shown_by.insert(vm);
            const bool without_cause = status != batch::job_status::completed && !job.cancelled;
            if (without_cause) {
                report(fmt::format("{} showed {} as {} without cause", vm, job.id, name));
            }
            if (status == batch::job_status::completed && done_tasks(job.id) < tasks_per_job) {
                report(fmt::format("{} showed {} as completed too early", vm, job.id));
            }
        } else if (is_surely_over(job, vm, sent)) {
            report(fmt::format("{} showed {} as {} after its end", vm, job.id, name));
        }
    }

    [[nodiscard]] bool is_surely_over(const job_truth& job, const std::string& vm,
                                      base::time_point sent) const
    {
        const bool shown_for_long = job.shown_end && sent > job.shown_at + view_age_bound;
        return job.shown_by.contains(vm) || (promises_.same_end_on_all_vms && shown_for_long);
    }

    void judge_start(const fleet::start_order& order)
    {
        const auto task = batch::to_text(order.task);
        tell(fmt::format("{} starts run {} on {}", task, order.run, order.to.life.worker));
        const auto job = std::ranges::find(jobs_, order.task.job, &job_truth::id);
        if (job == jobs_.end()) {
            report(task + " was started and never submitted");
            return;
        }
        const bool judged = promises_.two_rows_at_takeover || !job->two_rows_at_takeover;
        if (judged && job->shown_end) {
            report(task + " was started after the end of its job was shown");
        } else if (judged && acknowledged_.contains(task)) {
            report(task + " was started after its end was acknowledged");
        } else if (judged && is_running(task)) {
            report(task + " was started while it was running");
        }
    }

    [[nodiscard]] bool is_running(const std::string& task)
    {
        return std::ranges::any_of(worker_names, [&](const char* worker) {
            return site_.workers.at(worker).tasks.contains(task);
        });
    }

    [[nodiscard]] bool time_is_over(const job_truth& job) const
    {
        return job.ended && site_.time.now() > *job.ended + retention;
    }

    void check_rows()
    {
        const auto epoch = settled_epoch();
        const bool settled = std::exchange(epoch_, epoch) == epoch && epoch > 0;
        for (auto& job : jobs_) {
            const auto rows_before = std::exchange(job.rows, 0);
            for (const auto& part : site_.parts.names()) {
                const auto row = site_.store.find({"jobs", part, job.id});
                tell_change(job, part, row);
                job.rows += row ? 1 : 0;
                if (row && !job.ended && end_of(*row)) {
                    job.ended = site_.time.now();
                }
            }
            const bool two_rows = std::max(job.rows, rows_before) > 1;
            job.two_rows_at_takeover = job.two_rows_at_takeover || (two_rows && !settled);
            if (job.rows > 0) {
                job.stored = job.stored.value_or(site_.time.now());
            } else if (job.accepted && !time_is_over(job)) {
                report(fmt::format("the row of {} was removed {}", job.id,
                                   job.ended ? "before its time" : "before its end"));
            }
        }
    }

    /// The epoch of the leader if there is just one and it has read all parts; else 0.
    [[nodiscard]] std::uint64_t settled_epoch()
    {
        std::vector<const control::leader*> leaders;
        for (std::size_t number = 0; number < vm_count; ++number) {
            const auto name = vm_name(number);
            const auto* const leader =
                is_down(name) ? nullptr : site_.at(name).node->local_leader();
            if (leader == nullptr) {
                continue;
            }
            leaders.push_back(leader);
            if (epochs_told_.insert(leader->epoch()).second) {
                tell(name + " is elected");
            }
        }
        const bool settled =
            leaders.size() == 1 && leaders.front()->active() && leaders.front()->all_parts_loaded();
        return settled ? leaders.front()->epoch() : 0;
    }

    /// Tells when a row of a job comes, ends and goes.
    void tell_change(job_truth& job, const std::string& part, const std::optional<store::row>& row)
    {
        auto& version = job.versions[part];
        const auto now_stored = row ? row->version : 0;
        if (version != now_stored) {
            const auto end = row ? end_of(*row) : std::nullopt;
            const std::string_view open = row ? "stored" : "gone";
            tell(fmt::format("{} in {}: {}", job.id, part, end ? batch::name_of(*end) : open));
            version = now_stored;
        }
    }

    /// The status in the row of an ended job.
    [[nodiscard]] static std::optional<batch::job_status> end_of(const store::row& row)
    {
        const auto decoded = batch::decode_job_row(row.value);
        const auto* const ended =
            decoded.has_value() ? std::get_if<batch::finished_job>(&decoded.value()) : nullptr;
        return ended == nullptr ? std::nullopt : std::optional{ended->status};
    }

    /// Asks one VM for one job every now and then.
    void ask_in_turn()
    {
        constexpr std::size_t checks_between = 6;
        if (++checks_ % checks_between == 0) {
            const auto turn = checks_ / checks_between;
            ask(turn, turn / vm_count);
        }
    }

    template <class Condition>
    void wait_while(const Condition& holds, base::milliseconds span)
    {
        const auto until = site_.time.now() + span;
        while (holds() && site_.time.now() < until && broken_.empty()) {
            wait(check_interval);
        }
    }

    [[nodiscard]] std::vector<store::row_id> left_rows() const
    {
        std::vector<store::row_id> left;
        for (const auto* const table : {"jobs", "runs"}) {
            for (auto& row : site_.store.all(table)) {
                const bool is_cancel = row.id.key.ends_with(store::cancel_suffix);
                if (promises_.cancel_rows || !is_cancel) {
                    left.push_back(std::move(row.id));
                }
            }
        }
        return left;
    }

    /// What the leader keeps of jobs that are gone.
    void judge_leader()
    {
        const auto is_clean = [this] {
            const auto* const leader = site_.leading_vm();
            return leader != nullptr && leader->node->local_leader()->stored_ends() == 0 &&
                   leader->node->local_leader()->open_jobs() == 0;
        };
        wait_while([&is_clean] { return !is_clean(); }, settle_bound);
        if (!is_clean()) {
            report("nobody leads, or the leader still knows a job that is gone");
        }
    }

    void judge_runs()
    {
        for (const auto& job : jobs_) {
            if (job.accepted && !job.cancelled && done_tasks(job.id) < tasks_per_job) {
                report(job.id + " did not run to its end");
            }
        }
    }

    [[nodiscard]] std::size_t done_tasks(const std::string& job) const
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(site_.workers.done(), [&](const auto& entry) {
                const auto task = batch::parse_task_id(entry.first);
                return task && task->job == job;
            }));
    }

    void tell(std::string_view event)
    {
        story_.push_back(fmt::format("{} {}", site_.time.now_ms(), event));
    }
    void tell_answer(const job_truth& job, const std::string& vm,
                     const frontend::caller_answer& answer)
    {
        const auto* const shown = std::get_if<frontend::job_shown>(&answer);
        std::string_view what = "answered otherwise";
        if (shown != nullptr) {
            what = batch::name_of(shown->status);
        } else if (std::holds_alternative<frontend::job_accepted>(answer)) {
            what = "accepted";
        } else if (std::holds_alternative<frontend::cancel_accepted>(answer)) {
            what = "cancel accepted";
        } else if (std::holds_alternative<frontend::no_such_job>(answer)) {
            what = "no such job";
        }
        tell(fmt::format("{} {}: {}", vm, job.id, what));
    }
    void report(std::string_view broken)
    {
        broken_.push_back(fmt::format("at {} ms: {}", site_.time.now_ms(), broken));
    }

    judged_promises promises_;
    site_fixture site_{};
    std::vector<job_truth> jobs_{};
    std::vector<store_fault> faults_{};
    /// Parts that are away and VMs that are down, until when.
    std::vector<timed_name> away_{};
    std::vector<timed_name> down_{};
    std::optional<base::time_point> cut_until_{};
    std::set<std::string> acknowledged_{};
    /// Epoch of the settled leader at the last check; 0 for none.
    std::uint64_t epoch_ = 0;
    std::set<std::uint64_t> epochs_told_{};
    std::size_t checks_ = 0;
    std::vector<std::string> story_{};
    std::vector<std::string> broken_{};
};

} // namespace poplarstile::tests
