/// Cost of one scheduling decision with full queues, and memory of jobs. Prints JSON, one object a
/// size. Workers and the table answer at once; only `scheduler::decide` is timed.
#include "rules/rules_text.hpp"
#include "scheduling/scheduler.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <malloc.h>

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <deque>
#include <random>

ABSL_FLAG(std::uint32_t, jobs_per_accelerator, 2, "jobs submitted for each accelerator");
ABSL_FLAG(std::uint32_t, decisions, 2'000, "ends of jobs that are timed");

namespace
{

using namespace poplarstile;
using scheduling::event;
using scheduling::job_spec;
using workers::task_state;

constexpr std::uint32_t workers_per_rack = 8;
constexpr base::milliseconds step{1};

struct cost_figures {
    std::vector<double> decisions_us{};
    double bytes_per_running_job = 0;
    double bytes_per_queued_job = 0;
    std::size_t running = 0;
    std::size_t queued = 0;
};

std::vector<scheduling::worker_description> workers_with(std::uint32_t accelerators)
{
    std::vector<scheduling::worker_description> workers;
    for (std::uint32_t at = 0; at < std::max(accelerators / 8, 1U); ++at) {
        const auto name = fmt::format("w{:05}", at);
        workers.push_back(
            {name, name, fmt::format("r{:04}", at / workers_per_rack), at % workers_per_rack, 8});
    }
    return workers;
}

std::shared_ptr<const rules::ruleset> rules_for(std::uint32_t accelerators)
{
    // A quarter of the hardware is guaranteed to each of two workspaces.
    const auto count = std::max(accelerators / 4 / 16, 1U);
    const auto text = fmt::format("workspace a guarantee {} of 2x8 in centro  # asked by: a\n"
                                  "workspace b guarantee {} of 2x8 in centro  # asked by: b\n"
                                  "workspace c share 1                        # asked by: c\n",
                                  count, count);
    return std::make_shared<rules::ruleset>(rules::parse_rules(text).value());
}

std::size_t heap_in_use()
{
    return mallinfo2().uordblks;
}

/// Answers every order as a worker would that does all at once.
class instant_workers
{
public:
    instant_workers(std::uint32_t accelerators)
        : workers_{workers_with(accelerators)}, core_{{.failure_domain = "centro"}, workers_}
    {
        feed(scheduling::rules_changed{rules_for(accelerators)});
        feed(scheduling::lease_gained{65'536, "lease", 1});
        feed(scheduling::jobs_listed{});
    }

    void submit(job_spec spec)
    {
        feed(scheduling::job_submitted{{.spec = std::move(spec), .version = 1}});
    }

    /// Ends a running gang; false when none runs.
    bool end_one(std::mt19937& random)
    {
        if (running_.empty()) {
            return false;
        }
        const auto at = std::uniform_int_distribution<std::size_t>{0, running_.size() - 1}(random);
        const auto tasks = running_[at];
        running_[at] = running_.back();
        running_.pop_back();
        for (const auto& task : tasks) {
            feed(answer(task, "release", task_state::completed));
        }
        return true;
    }

    void tick()
    {
        feed(scheduling::time_passed{});
    }

    std::vector<double> timings_us{};

    [[nodiscard]] scheduling::scheduler& core()
    {
        return core_;
    }

private:
    static event answer(const std::string& task, const std::string& order, task_state state)
    {
        return scheduling::task_answered{
            task, order, {workers::task_answer::kind::accepted, state, "", {}}};
    }

    void feed(event happened)
    {
        waiting_.push_back(std::move(happened));
        while (!waiting_.empty()) {
            auto next = std::move(waiting_.front());
            waiting_.pop_front();
            now_ += step;
            const auto before = std::chrono::steady_clock::now();
            auto actions = core_.decide(std::move(next), now_);
            const std::chrono::duration<double, std::micro> took =
                std::chrono::steady_clock::now() - before;
            timings_us.push_back(took.count());
            for (auto& action : actions) {
                std::visit([this](auto& one) { carry_out(one); }, action);
            }
        }
    }

    void carry_out(scheduling::renew_worker& action)
    {
        waiting_.push_back(scheduling::worker_reported{
            action.worker, action.round, {workers::lease_answer::kind::lost, 0, {}}});
        if (!started_.contains(action.worker)) {
            started_.insert(action.worker);
            waiting_.back() = scheduling::worker_reported{
                action.worker, action.round, {workers::lease_answer::kind::renewed, 0, {}}};
        }
    }
    void carry_out(scheduling::hold_task& action)
    {
        waiting_.push_back(answer(action.call.task, "hold", task_state::held));
    }
    void carry_out(scheduling::order_task& action)
    {
        const bool release = action.order == "release";
        if (release) {
            auto& gang = gangs_[action.task.substr(0, action.task.rfind('.'))];
            gang.push_back(action.task);
            if (gang.size() ==
                core_.find_job(action.task.substr(0, action.task.find('.')))->spec.shape.members) {
                running_.push_back(std::move(gang));
                gangs_.erase(action.task.substr(0, action.task.rfind('.')));
            }
        }
        waiting_.push_back(
            answer(action.task, action.order, release ? task_state::running : task_state::stopped));
    }
    void carry_out(scheduling::write_job& action)
    {
        waiting_.push_back(scheduling::job_written{
            action.job, action.transaction.operation, {table::commit_state::committed, 2, {}}});
    }
    template <class Other>
    void carry_out(Other& /*action*/)
    {
    }

    std::vector<scheduling::worker_description> workers_;
    scheduling::scheduler core_;
    std::deque<event> waiting_{};
    std::set<std::string> started_{};
    std::map<std::string, std::vector<std::string>> gangs_{};
    std::vector<std::vector<std::string>> running_{};
    base::time_point now_{base::milliseconds{1'000'000}};
};

job_spec draw_job(std::mt19937& random, std::uint64_t number)
{
    static const std::vector<rules::shape> shapes{{1, 1}, {1, 1}, {1, 2}, {1, 4},
                                                  {1, 8}, {2, 8}, {4, 8}};
    static const std::vector<std::string> workspaces{"a", "b", "c"};
    job_spec spec;
    spec.id = fmt::format("job{}", number);
    spec.workspace = workspaces[random() % workspaces.size()];
    spec.shape = shapes[random() % shapes.size()];
    spec.checkpointable = random() % 4 != 0;
    spec.payload = base::json_text{nlohmann::json{{"run_ms", 60'000}}};
    return spec;
}

cost_figures measure(std::uint32_t accelerators)
{
    std::mt19937 random{20261204};
    instant_workers cluster{accelerators};
    const auto before = heap_in_use();
    std::uint64_t number = 0;
    while (number < std::uint64_t{accelerators} * absl::GetFlag(FLAGS_jobs_per_accelerator)) {
        cluster.submit(draw_job(random, number++));
    }
    const auto after = heap_in_use();
    cost_figures figures;
    const auto counters = cluster.core().counters();
    figures.running = counters.running;
    figures.queued = counters.queued;
    figures.bytes_per_queued_job = static_cast<double>(after - before) /
                                   static_cast<double>(std::max<std::uint64_t>(number, 1));
    cluster.timings_us.clear();
    for (std::uint32_t at = 0; at < absl::GetFlag(FLAGS_decisions); ++at) {
        if (!cluster.end_one(random)) {
            break;
        }
        cluster.submit(draw_job(random, number++));
        if (at % 50 == 0) {
            cluster.tick();
        }
    }
    figures.decisions_us = std::move(cluster.timings_us);
    return figures;
}

double quantile(std::vector<double>& sorted, double share)
{
    return sorted.empty()
               ? 0.0
               : sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))];
}

} // namespace

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    for (const std::uint32_t accelerators : {48U, 1'000U, 13'000U}) {
        auto figures = measure(accelerators);
        std::ranges::sort(figures.decisions_us);
        fmt::print("{{\"accelerators\":{},\"running\":{},\"queued\":{},\"decisions\":{},"
                   "\"p50_us\":{:.1f},\"p99_us\":{:.1f},\"max_us\":{:.1f},"
                   "\"bytes_per_job\":{:.0f}}}\n",
                   accelerators, figures.running, figures.queued, figures.decisions_us.size(),
                   quantile(figures.decisions_us, 0.5), quantile(figures.decisions_us, 0.99),
                   quantile(figures.decisions_us, 1.0), figures.bytes_per_queued_job);
        std::fflush(stdout);
    }
    return 0;
}
