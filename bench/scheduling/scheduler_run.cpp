#include "bench/scheduling/fake_worker.hpp"
#include "bench/scheduling/run_record.hpp"
#include "scheduling/scheduler.hpp"

#include <algorithm>
#include <chrono>
#include <functional>
#include <queue>
#include <unordered_map>

namespace poplarstile::bench::scheduling
{
namespace
{

namespace product = poplarstile::scheduling;
using base::milliseconds;

constexpr milliseconds tick{50};
constexpr milliseconds answer_delay{5};
constexpr milliseconds call_timeout{1'000};
constexpr milliseconds sample_interval{1'000};
constexpr milliseconds failing_worker_delay{200};
constexpr workers::fencing_token token = workers::token_ranks_per_epoch;

class scheduler_run
{
public:
    scheduler_run(const scenario& drawn, const product::scheduler_options& options)
        : drawn_{drawn}, options_{options_for(drawn, options)}, decides_{options_, drawn.workers}
    {
        record_.jobs.resize(drawn.jobs.size());
        for (std::size_t job = 0; job < drawn.jobs.size(); ++job) {
            numbers_[drawn.jobs[job].spec.id] = job;
        }
        for (std::size_t worker = 0; worker < drawn.workers.size(); ++worker) {
            worker_numbers_[drawn.workers[worker].address] = worker;
        }
        fakes_.resize(drawn.workers.size());
    }

    run_record run()
    {
        deliver(product::rules_changed{drawn_.rules});
        deliver(product::lease_gained{token, "lease", 1});
        plan_job_events();
        schedule(tick, [this] { next_tick(); });
        schedule(sample_interval, [this] { next_sample(); });
        while (!queue_.empty() && queue_.top().at < drawn_.ends) {
            const auto next = queue_.top();
            queue_.pop();
            now_ = next.at;
            next.run();
        }
        const auto counters = decides_.counters();
        record_.reclaimed_gangs = counters.reclaimed;
        record_.lost_accelerator_ms = counters.lost_to_reclaim_ms;
        return std::move(record_);
    }

private:
    struct planned {
        milliseconds at{0};
        std::uint64_t number = 0;
        std::function<void()> run{};

        bool operator<(const planned& other) const
        {
            return std::tie(other.at, other.number) < std::tie(at, number);
        }
    };

    static product::scheduler_options options_for(const scenario& drawn,
                                                  product::scheduler_options options)
    {
        options.failure_domain = "centro";
        options.run_id = "bench";
        options.worker_heartbeat = drawn.worker_heartbeat;
        options.worker_lease = drawn.worker_lease;
        options.job_scan = milliseconds{3'600'000};
        return options;
    }

    void schedule(milliseconds at, std::function<void()> run)
    {
        queue_.push({at, ++planned_, std::move(run)});
    }

    void answer(product::event event, milliseconds delay = answer_delay)
    {
        schedule(now_ + delay, [this, event = std::move(event)] { deliver(event); });
    }

    void plan_job_events()
    {
        for (std::size_t job = 0; job < drawn_.jobs.size(); ++job) {
            const auto& one = drawn_.jobs[job];
            schedule(one.arrives, [this, job] {
                product::stored_job stored{.spec = drawn_.jobs[job].spec};
                stored.version = ++version_;
                deliver(product::job_submitted{std::move(stored)});
            });
            if (one.cancelled_at) {
                schedule(*one.cancelled_at,
                         [this, id = one.spec.id] { deliver(product::cancel_requested{id}); });
            }
        }
    }

    void next_tick()
    {
        deliver(product::time_passed{});
        schedule(now_ + tick, [this] { next_tick(); });
    }

    void next_sample()
    {
        occupancy domain;
        for (std::size_t index = 0; index < fakes_.size(); ++index) {
            const auto& worker = drawn_.workers[index];
            fakes_[index].advance(now_);
            domain.workers.push_back({worker.rack, worker.position, reachable(index),
                                      std::vector<bool>(worker.accelerators, false)});
            for (const auto& [id, task] : fakes_[index].tasks()) {
                for (const auto at : task.call.accelerators) {
                    auto taken = domain.workers.back().taken[at];
                    taken = taken || !workers::ended(task.state);
                }
            }
        }
        auto seen = sample_fragmentation(std::move(domain), drawn_.guaranteed_shape());
        seen.at = now_;
        const auto counters = decides_.counters();
        seen.guarantees_short = static_cast<std::uint32_t>(counters.guarantees_unmet);
        seen.queued = counters.queued;
        record_.samples.push_back(seen);
        schedule(now_ + sample_interval, [this] { next_sample(); });
    }

    [[nodiscard]] bool reachable(std::size_t worker) const
    {
        return !drawn_.lost_rack || now_ < drawn_.lost_rack->at ||
               drawn_.workers[worker].rack != drawn_.lost_rack->rack;
    }

    void deliver(const product::event& event)
    {
        const base::time_point time{milliseconds{1'000'000} + now_};
        const auto before = std::chrono::steady_clock::now();
        const auto actions = decides_.decide(event, time);
        const auto spent = std::chrono::steady_clock::now() - before;
        record_.decision_us.push_back(std::chrono::duration<float, std::micro>(spent).count());
        for (const auto& action : actions) {
            std::visit([this](const auto& one) { carry_out(one); }, action);
        }
    }

    void carry_out(const product::scan_jobs& /*action*/)
    {
        answer(product::jobs_listed{});
    }

    template <class Question>
    void answer_report(const Question& action)
    {
        const auto worker = worker_numbers_.at(action.address);
        if (!reachable(worker)) {
            answer(product::worker_reported{action.worker, action.round, {}}, call_timeout);
            return;
        }
        answer(product::worker_reported{action.worker, action.round,
                                        fakes_[worker].renew(options_.worker_lease, now_)});
    }

    void carry_out(const product::renew_worker& action)
    {
        answer_report(action);
    }

    void carry_out(const product::probe_worker& action)
    {
        answer_report(action);
    }

    void carry_out(const product::hold_task& action)
    {
        const auto worker = worker_numbers_.at(action.address);
        if (!reachable(worker)) {
            answer(product::task_answered{action.call.task, "hold", {}}, call_timeout);
            return;
        }
        const auto& job = drawn_.jobs[numbers_.at(action.call.job)];
        task_fate fate{.run = job.true_run, .kills_worker = job.kills_workers};
        if (drawn_.failing_workers.contains(drawn_.workers[worker].id)) {
            fate = {.run = failing_worker_delay, .fails = true};
        }
        answer(product::task_answered{action.call.task, "hold",
                                      fakes_[worker].hold(action.call, fate, now_)});
    }

    void carry_out(const product::order_task& action)
    {
        const auto worker = worker_numbers_.at(action.address);
        if (!reachable(worker)) {
            answer(product::task_answered{action.task, action.order, {}}, call_timeout);
            return;
        }
        answer(product::task_answered{action.task, action.order,
                                      fakes_[worker].order(action.task, action.order, now_)});
    }

    void carry_out(const product::write_job& action)
    {
        answer(product::job_written{action.job,
                                    action.transaction.operation,
                                    {table::commit_state::committed, ++version_, {}}});
    }

    void carry_out(const product::step_down& /*action*/) {}

    void carry_out(const product::note_event& action)
    {
        constexpr std::string_view prefix = "job/";
        if (!action.subject.starts_with(prefix)) {
            return;
        }
        auto& times = record_.jobs[numbers_.at(action.subject.substr(prefix.size()))];
        if (action.kind == "job.running" && !times.started) {
            times.started = now_;
        } else if (action.kind == "job.ended") {
            times.ended = now_;
            times.state =
                product::job_state_named(action.detail.substr(0, action.detail.find(' ')));
        }
    }

    const scenario& drawn_;
    product::scheduler_options options_;
    product::scheduler decides_;
    run_record record_{};
    std::unordered_map<std::string, std::size_t> numbers_{};
    std::unordered_map<std::string, std::size_t> worker_numbers_{};
    std::vector<fake_worker> fakes_{};
    std::priority_queue<planned> queue_{};
    std::uint64_t planned_ = 0;
    table::row_version version_ = 1;
    milliseconds now_{0};
};

} // namespace

run_record run_scheduler(const scenario& drawn, const product::scheduler_options& options)
{
    return scheduler_run{drawn, options}.run();
}

} // namespace poplarstile::bench::scheduling
