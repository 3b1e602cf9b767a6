#include "standins/worker_standin/record_book.hpp"

#include <utility>

namespace poplarstile::standins::worker_standin
{
namespace
{

json to_json_value(const execution_record& record)
{
    return {{"worker", record.worker},         {"request", record.request},
            {"attempt", record.attempt},       {"service", record.service},
            {"idempotent", record.idempotent}, {"marker", record.marker},
            {"started_us", record.started_us}, {"ended_us", record.ended_us},
            {"outcome", record.outcome}};
}

json to_json_value(const task_record& record)
{
    return {{"worker", record.worker},
            {"task", record.task},
            {"job", record.job},
            {"gang_size", record.gang_size},
            {"member", record.member},
            {"token", record.token},
            {"domain", record.domain},
            {"held_us", record.held_us},
            {"released_us", record.released_us},
            {"ended_us", record.ended_us},
            {"state", record.state},
            {"progress_ms", record.progress_ms},
            {"accelerators", record.accelerators}};
}

json to_json_value(const leaving_record& record)
{
    return {
        {"worker", record.worker}, {"since_us", record.since_us}, {"until_us", record.until_us}};
}

template <class Records>
json to_json_array(const Records& records)
{
    json array = json::array();
    for (const auto& record : records) {
        array.push_back(to_json_value(record));
    }
    return array;
}

} // namespace

instant instant::now()
{
    return {base::now(), base::wall_clock_us()};
}

bool record_book::has_room()
{
    if (executions_.size() + tasks_.size() < capacity_) {
        return true;
    }
    ++dropped_;
    return false;
}

record_index record_book::add(execution_record record)
{
    const std::lock_guard lock{mutex_};
    if (!has_room()) {
        return std::nullopt;
    }
    executions_.push_back(std::move(record));
    return executions_.size() - 1;
}

record_index record_book::add(task_record record)
{
    const std::lock_guard lock{mutex_};
    if (!has_room()) {
        return std::nullopt;
    }
    tasks_.push_back(std::move(record));
    return tasks_.size() - 1;
}

void record_book::end_execution(record_index index, std::string_view outcome, std::int64_t at_us)
{
    if (!index) {
        return;
    }
    const std::lock_guard lock{mutex_};
    auto& record = executions_.at(*index);
    record.outcome = outcome;
    record.ended_us = at_us;
}

void record_book::release_task(record_index index, std::int64_t at_us)
{
    if (!index) {
        return;
    }
    const std::lock_guard lock{mutex_};
    auto& record = tasks_.at(*index);
    record.released_us = at_us;
    record.state = "running";
}

void record_book::end_task(record_index index, std::string_view state, std::int64_t progress_ms,
                           std::int64_t at_us)
{
    if (!index) {
        return;
    }
    const std::lock_guard lock{mutex_};
    auto& record = tasks_.at(*index);
    record.state = state;
    record.progress_ms = progress_ms;
    record.ended_us = at_us;
}

void record_book::set_leaving(const std::string& worker, bool leaving, std::int64_t at_us)
{
    const std::lock_guard lock{mutex_};
    if (leaving) {
        leaving_.push_back({worker, at_us, 0});
        return;
    }
    for (auto& record : leaving_) {
        if (record.worker == worker && record.until_us == 0) {
            record.until_us = at_us;
        }
    }
}

void record_book::count_refusal(std::string_view reason)
{
    const std::lock_guard lock{mutex_};
    ++refused_[std::string{reason}];
}

json record_book::to_json() const
{
    const std::lock_guard lock{mutex_};
    return {{"executions", to_json_array(executions_)},
            {"tasks", to_json_array(tasks_)},
            {"leaving", to_json_array(leaving_)},
            {"refused", refused_},
            {"dropped", dropped_}};
}

} // namespace poplarstile::standins::worker_standin
