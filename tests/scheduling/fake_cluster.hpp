#pragma once

#include "scheduling/fake_table.hpp"
#include "scheduling/fake_worker.hpp"
#include "scheduling/scheduler.hpp"

#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

/// Schedulers, fake workers and a table, joined by a network that loses, delays and doubles.
namespace poplarstile::scheduling::testing
{

struct network_faults {
    double lost_requests = 0.0;
    double lost_answers = 0.0;
    double doubled_answers = 0.0;
    /// Share of messages that take up to `longest_delay` in place of `usual_delay`.
    double late_messages = 0.0;
    milliseconds usual_delay{20};
    milliseconds longest_delay{1'500};
};

class fake_cluster
{
public:
    static constexpr milliseconds call_timeout{1'000};
    static constexpr milliseconds tick{50};
    inline static const std::string lease_key = "lease/centro";

    fake_cluster(std::vector<worker_description> descriptions, std::uint64_t seed)
        : random_{seed}, descriptions_{std::move(descriptions)}
    {
        for (const auto& description : descriptions_) {
            workers[description.address];
        }
        options_.failure_domain = "centro";
        options_.run_id = "run";
    }

    /// Gives the lease to a new scheduler; earlier ones are not told.
    void start_scheduler()
    {
        const auto version = table.put(lease_key, ++epoch_);
        nodes_.push_back(std::make_unique<scheduler>(options_, descriptions_));
        alive_.insert(nodes_.size() - 1);
        const auto node = nodes_.size() - 1;
        deliver(node, rules_changed{rules});
        deliver(node, lease_gained{epoch_ * workers::token_ranks_per_epoch, lease_key, version});
        schedule_tick(node);
    }

    void kill_scheduler()
    {
        alive_.erase(nodes_.size() - 1);
    }

    void submit(job_spec spec)
    {
        spec.failure_domain = "centro";
        stored_job job{.spec = std::move(spec)};
        const auto key = live_job_key("centro", job.spec.id);
        job.version = table.put(key, to_json(job));
        specs[job.spec.id] = job.spec;
        submissions[job.spec.id] = job;
        deliver(nodes_.size() - 1, job_submitted{job});
    }

    /// A caller repeats a submission, or the word of it comes late: the scheduler gets the row as
    /// it was first stored.
    void repeat_submission(const std::string& id)
    {
        deliver(nodes_.size() - 1, job_submitted{submissions.at(id)});
    }

    /// Stores the wish as the gateway does; the scheduler is nudged or finds it by its scan.
    void cancel(const std::string& id, bool nudge)
    {
        const auto key = live_job_key("centro", id);
        const auto row = table.rows.find(key);
        if (row == table.rows.end()) {
            return;
        }
        auto value = row->second.value;
        value["cancel_requested"] = true;
        table.put(key, value);
        cancelled.insert(id);
        if (nudge) {
            deliver(nodes_.size() - 1, cancel_requested{id});
        }
    }

    /// Runs until `duration` has passed; `check` sees the state after each event.
    template <class Check>
    void run_for(milliseconds duration, Check check)
    {
        const auto end = now + duration;
        while (!queue_.empty() && queue_.top().when <= end) {
            auto next = queue_.top();
            queue_.pop();
            now = next.when;
            for (auto& [address, worker] : workers) {
                worker.advance(now);
            }
            next.run();
            check();
        }
        now = end;
    }

    [[nodiscard]] scheduler& current()
    {
        return *nodes_.back();
    }
    [[nodiscard]] bool has_scheduler() const
    {
        return alive_.contains(nodes_.size() - 1);
    }
    [[nodiscard]] fake_worker& worker_at(std::size_t index)
    {
        return workers[descriptions_[index].address];
    }
    [[nodiscard]] job_state state_of(const std::string& id) const
    {
        const auto row = table.rows.find(done_job_key("centro", id));
        return row == table.rows.end() ? job_state::queued
                                       : job_state_named(row->second.value.value("state", ""));
    }

    network_faults faults{};
    std::set<std::string> cut_workers{};
    bool table_down = false;
    std::shared_ptr<rules::ruleset> rules = std::make_shared<rules::ruleset>();
    fake_table table{};
    std::map<std::string, fake_worker> workers{};
    std::map<std::string, job_spec> specs{};
    std::map<std::string, stored_job> submissions{};
    std::set<std::string> cancelled{};
    std::map<std::string, std::size_t> orders{};
    /// How many of the next orders of a kind take effect without an answer.
    std::map<std::string, int> lost_orders{};
    time_point now{milliseconds{1'000'000}};

private:
    struct planned {
        time_point when{};
        std::uint64_t number = 0;
        std::function<void()> run{};

        bool operator<(const planned& other) const
        {
            return std::tie(other.when, other.number) < std::tie(when, number);
        }
    };

    void schedule(time_point when, std::function<void()> run)
    {
        queue_.push({when, next_number_++, std::move(run)});
    }

    void schedule_tick(std::size_t node)
    {
        schedule(now + tick, [this, node] {
            if (alive_.contains(node)) {
                deliver(node, time_passed{});
                schedule_tick(node);
            }
        });
    }

    bool chance(double share)
    {
        return std::uniform_real_distribution<>{0.0, 1.0}(random_) < share;
    }

    milliseconds delay()
    {
        const auto longest =
            chance(faults.late_messages) ? faults.longest_delay : faults.usual_delay;
        return milliseconds{
            std::uniform_int_distribution<std::int64_t>{1, longest.count()}(random_)};
    }

    /// Sends a question whose `effect` happens at the other end, and brings back what it gives.
    template <class Answer>
    void call(std::size_t node, bool reachable, Answer lost, std::function<Answer()> effect,
              std::function<event(Answer)> as_event)
    {
        const auto gives_up = now + call_timeout;
        const auto answer_with = [this, node, as_event](time_point when, Answer answer) {
            schedule(when, [this, node, as_event, answer] { deliver(node, as_event(answer)); });
        };
        if (!reachable || chance(faults.lost_requests)) {
            answer_with(gives_up, lost);
            return;
        }
        schedule(now + delay(), [this, lost, effect, answer_with, gives_up] {
            const auto answer = effect();
            const auto back = now + delay();
            const bool dropped = std::exchange(drop_answer_, false);
            if (dropped || chance(faults.lost_answers) || back >= gives_up) {
                answer_with(std::max(gives_up, now), lost);
                return;
            }
            answer_with(back, answer);
            if (chance(faults.doubled_answers)) {
                answer_with(back + delay(), answer);
            }
        });
    }

    void deliver(std::size_t node, event happened)
    {
        if (!alive_.contains(node)) {
            return;
        }
        for (auto& one : nodes_[node]->decide(std::move(happened), now)) {
            std::visit([this, node](auto& action) { carry_out(node, action); }, one);
        }
    }

    [[nodiscard]] bool reaches(const std::string& address) const
    {
        return !cut_workers.contains(address);
    }

    void carry_out(std::size_t node, scan_jobs& /*action*/)
    {
        using rows = std::optional<std::vector<table::table_row>>;
        call<rows>(
            node, !table_down, std::nullopt, [this] { return table.scan("job/centro/"); },
            [](const rows& found) -> event {
                if (!found) {
                    return time_passed{};
                }
                jobs_listed listed;
                for (const auto& row : *found) {
                    listed.jobs.push_back(read_job(row).value());
                }
                return listed;
            });
    }

    void carry_out(std::size_t node, renew_worker& action)
    {
        call<workers::lease_answer>(
            node, reaches(action.address), {},
            [this, action] {
                return workers[action.address].renew(action.token, options_.worker_lease, now);
            },
            [action](const workers::lease_answer& answer) -> event {
                return worker_reported{action.worker, action.round, answer};
            });
    }

    void carry_out(std::size_t node, probe_worker& action)
    {
        call<workers::lease_answer>(
            node, reaches(action.address), {},
            [this, action] { return workers[action.address].list(now); },
            [action](const workers::lease_answer& answer) -> event {
                return worker_reported{action.worker, action.round, answer};
            });
    }

    void carry_out(std::size_t node, hold_task& action)
    {
        ++orders["hold"];
        call<workers::task_answer>(
            node, reaches(action.address), {},
            [this, action] { return workers[action.address].hold(action.call, now); },
            [task = action.call.task](const workers::task_answer& answer) -> event {
                return task_answered{task, "hold", answer};
            });
    }

    void carry_out(std::size_t node, order_task& action)
    {
        ++orders[action.order];
        const bool loses_answer = lost_orders[action.order] > 0;
        lost_orders[action.order] -= loses_answer ? 1 : 0;
        call<workers::task_answer>(
            node, reaches(action.address), {},
            [this, action, loses_answer] {
                drop_answer_ = loses_answer;
                return workers[action.address].order(action.task, action.order, action.token, now);
            },
            [action](const workers::task_answer& answer) -> event {
                return task_answered{action.task, action.order, answer};
            });
    }

    void carry_out(std::size_t node, write_job& action)
    {
        call<table::commit_result>(
            node, !table_down, {table::commit_state::unknown, 0, {}},
            [this, action] { return table.transact(action.transaction); },
            [action](const table::commit_result& result) -> event {
                return job_written{action.job, action.transaction.operation, result};
            });
    }

    void carry_out(std::size_t node, step_down& /*action*/)
    {
        alive_.erase(node);
    }

    void carry_out(std::size_t /*node*/, note_event& /*action*/) {}

    std::mt19937_64 random_;
    std::vector<worker_description> descriptions_;
    scheduler_options options_{};
    std::vector<std::unique_ptr<scheduler>> nodes_{};
    std::set<std::size_t> alive_{};
    std::priority_queue<planned> queue_{};
    std::uint64_t next_number_ = 0;
    std::uint64_t epoch_ = 0;
    /// Set by an effect whose answer is lost for certain.
    bool drop_answer_ = false;
};

} // namespace poplarstile::scheduling::testing
