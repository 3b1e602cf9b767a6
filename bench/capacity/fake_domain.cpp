#include "bench/capacity/fake_domain.hpp"

#include <fmt/format.h>

#include <deque>
#include <iterator>
#include <optional>
#include <utility>

namespace poplarstile::bench::capacity
{
namespace
{

using workers::task_state;

std::vector<scheduling::worker_description> make_workers(std::size_t count)
{
    std::vector<scheduling::worker_description> workers;
    for (std::size_t index = 0; index < count; ++index) {
        workers.push_back({.id = fmt::format("w-{:05}", index),
                           .address = fmt::format("10.0.{}.{}:8080", index / 250, index % 250),
                           .rack = fmt::format("rack-{:04}", index / workers_per_rack),
                           .position = static_cast<std::uint32_t>(index % workers_per_rack),
                           .accelerators = accelerators_per_worker});
    }
    return workers;
}

scheduling::event report_of(const std::string& worker, std::uint64_t round,
                            std::vector<workers::task_report> tasks)
{
    workers::lease_answer answer{.result = workers::lease_answer::kind::renewed};
    answer.report.worker = worker;
    answer.report.tasks = std::move(tasks);
    return scheduling::worker_reported{worker, round, std::move(answer)};
}

/// What a worker or a table that accepts everything answers; nothing for actions without answer.
std::optional<scheduling::event> answer_to(const scheduling::action& action)
{
    using scheduling::task_answered;
    constexpr auto accepted = workers::task_answer::kind::accepted;
    if (const auto* const hold = std::get_if<scheduling::hold_task>(&action)) {
        return task_answered{hold->call.task, "hold", {accepted, task_state::held, "", {}}};
    }
    if (const auto* const order = std::get_if<scheduling::order_task>(&action)) {
        const auto state = order->order == "release" ? task_state::running : task_state::stopped;
        return task_answered{order->task, order->order, {accepted, state, "", {}}};
    }
    if (const auto* const write = std::get_if<scheduling::write_job>(&action)) {
        return scheduling::job_written{
            write->job, write->transaction.operation, {table::commit_state::committed, 2, {}}};
    }
    return std::nullopt;
}

} // namespace

fake_domain::fake_domain(std::size_t workers)
    : workers_{make_workers(workers)}, scheduler_{{.failure_domain = "fd-01", .run_id = "run"},
                                                  workers_}
{
    decide(scheduling::lease_gained{65'536, "lease/fd-01", 1});
    decide(scheduling::jobs_listed{});
    for (const auto& worker : workers_) {
        decide(report_of(worker.id, round_of(worker.id), {}));
    }
}

void fake_domain::start_jobs(std::size_t jobs, std::uint32_t members)
{
    for (std::size_t job = 0; job < jobs; ++job) {
        settle(scheduler_.decide(scheduling::job_submitted{make_job(next_job_++, members)}, now_));
    }
}

void fake_domain::queue_jobs(std::size_t jobs)
{
    scheduling::jobs_listed listed;
    for (std::size_t job = 0; job < jobs; ++job) {
        listed.jobs.push_back(make_job(next_job_++, 1));
    }
    decide(std::move(listed));
}

void fake_domain::report_all()
{
    ask_all();
    for (const auto& worker : workers_) {
        decide(report_of(worker.id, round_of(worker.id), {}));
    }
}

void fake_domain::ask_all()
{
    now_ += scheduling::scheduler_options{}.worker_heartbeat;
    decide(scheduling::time_passed{});
}

void fake_domain::note_rounds(const scheduling::actions& actions)
{
    for (const auto& action : actions) {
        if (const auto* const renewal = std::get_if<scheduling::renew_worker>(&action)) {
            rounds_[renewal->worker] = renewal->round;
        }
    }
}

std::uint64_t fake_domain::round_of(const std::string& worker) const
{
    const auto found = rounds_.find(worker);
    return found == rounds_.end() ? 0 : found->second;
}

scheduling::event fake_domain::report_with_tasks(std::size_t tasks) const
{
    std::vector<workers::task_report> reports;
    for (const auto& job : scheduler_.jobs()) {
        if (reports.size() == tasks) {
            break;
        }
        reports.push_back({.task = fmt::format("{}.65536.1.0", job.spec.id),
                           .job = job.spec.id,
                           .accelerators = {0},
                           .state = task_state::running});
    }
    const auto& worker = workers_.front().id;
    return report_of(worker, round_of(worker), std::move(reports));
}

void fake_domain::decide(scheduling::event happened)
{
    note_rounds(scheduler_.decide(std::move(happened), now_));
}

void fake_domain::settle(scheduling::actions actions)
{
    std::deque<scheduling::action> open{std::make_move_iterator(actions.begin()),
                                        std::make_move_iterator(actions.end())};
    while (!open.empty()) {
        if (auto answer = answer_to(open.front())) {
            auto more = scheduler_.decide(std::move(*answer), now_);
            std::move(more.begin(), more.end(), std::back_inserter(open));
        }
        open.pop_front();
    }
}

scheduling::stored_job make_job(std::size_t number, std::uint32_t members)
{
    scheduling::stored_job job;
    job.spec.id = fmt::format("team-07-{:032x}", number);
    job.spec.workspace = "team-07";
    job.spec.class_name = "render";
    job.spec.shape = {members, 1};
    job.spec.declared_run = base::milliseconds{3'600'000};
    job.spec.failure_domain = "fd-01";
    job.spec.body_hash = std::string(32, 'a');
    job.spec.payload = base::json_text{nlohmann::json{{"run_ms", 3'600'000}, {"fail", false}}};
    job.version = 1;
    return job;
}

} // namespace poplarstile::bench::capacity
