#include "batch/job_codec.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>
#include <map>
#include <tuple>
#include <utility>

/// Run records: the stored state of the runs of a job.
namespace poplarstile::batch
{
namespace
{

using json = nlohmann::json;

/// Appends a JSON string.
void append_quoted(std::string& text, std::string_view content)
{
    const auto is_plain = [](char character) {
        constexpr char first_printable = ' ';
        constexpr char last_printable = '~';
        return character >= first_printable && character <= last_printable && character != '"' &&
               character != '\\';
    };
    if (std::ranges::all_of(content, is_plain)) {
        text += '"';
        text += content;
        text += '"';
    } else {
        text += json(content).dump();
    }
}

/// A worker incarnation and its address, which may be empty.
struct stored_worker {
    worker_incarnation incarnation{};
    std::string address{};

    bool operator==(const stored_worker&) const = default;
};

/// Workers, each stored once; tasks refer to them by index.
class worker_table
{
public:
    std::size_t index_of(const task_state& task)
    {
        const key worker{task.worker.worker, task.worker.started_at, task.address};
        const auto [position, added] = indices_.emplace(worker, workers_.size());
        if (added) {
            workers_.push_back(worker);
        }
        return position->second;
    }

    void append_to(std::string& text) const
    {
        text += '[';
        for (const auto& [worker, started_at, address] : workers_) {
            text += text.back() == '[' ? "[" : ",[";
            append_quoted(text, worker);
            fmt::format_to(std::back_inserter(text), ",{}", started_at);
            if (!address.empty()) {
                text += ',';
                append_quoted(text, address);
            }
            text += ']';
        }
        text += ']';
    }

private:
    using key = std::tuple<std::string_view, std::uint64_t, std::string_view>;

    std::map<key, std::size_t> indices_{};
    std::vector<key> workers_{};
};

/// Appends a history as [crashes, implicating crashes, newest counted run].
void append_crashes(std::string& text, const crash_history& history)
{
    fmt::format_to(std::back_inserter(text), "[{},{},{}]", history.total, history.implicating,
                   history.last_run);
}

crash_history decode_crashes(const json& encoded)
{
    return {encoded.at(0).get<std::uint32_t>(), encoded.at(1).get<std::uint32_t>(),
            encoded.at(2).get<std::uint32_t>()};
}

/// Appends a done task as 1, a task that never ran as 0, and any other as
/// [run, failures, index of the worker or -1, checkpoint, crashes]; without crashes the last
/// member is left out, and an empty checkpoint with it.
void append_task(std::string& text, const task_state& task, stored_checkpoints checkpoints,
                 worker_table& workers)
{
    if (task.phase == task_phase::done) {
        text += '1';
        return;
    }
    if (task.run == 0) {
        text += '0';
        return;
    }
    const auto placed = task.phase == task_phase::placed;
    const auto worker = placed ? static_cast<std::int64_t>(workers.index_of(task)) : -1;
    fmt::format_to(std::back_inserter(text), "[{},{},{}", task.run, task.failures, worker);
    const bool crashed = task.crashes != crash_history{};
    const bool resumes = checkpoints == stored_checkpoints::kept && !task.checkpoint.empty();
    if (crashed || resumes) {
        text += ',';
        append_quoted(text, resumes ? std::string_view{task.checkpoint} : std::string_view{});
    }
    if (crashed) {
        text += ',';
        append_crashes(text, task.crashes);
    }
    text += ']';
}

task_state decode_task(const json& encoded, const std::vector<stored_worker>& workers)
{
    task_state task;
    if (encoded.is_number()) {
        if (encoded.get<int>() == 1) {
            task.phase = task_phase::done;
            task.run = 1;
        }
        return task;
    }
    task.run = encoded.at(0).get<std::uint32_t>();
    task.failures = encoded.at(1).get<std::uint32_t>();
    const auto worker = encoded.at(2).get<std::int64_t>();
    if (worker >= 0) {
        task.phase = task_phase::placed;
        const auto& placed_on = workers.at(static_cast<std::size_t>(worker));
        task.worker = placed_on.incarnation;
        task.address = placed_on.address;
    }
    if (encoded.size() > 3) {
        task.checkpoint = encoded.at(3).get<std::string>();
    }
    if (encoded.size() > 4) {
        task.crashes = decode_crashes(encoded.at(4));
    }
    return task;
}

void append_step(std::string& text, const step_state& step, stored_checkpoints checkpoints,
                 worker_table& workers)
{
    fmt::format_to(std::back_inserter(text), "[{},{},[", step.gang_failures, step.failed_run);
    for (const auto& task : step.tasks) {
        if (&task != &step.tasks.front()) {
            text += ',';
        }
        append_task(text, task, checkpoints, workers);
    }
    text += ']';
    if (step.earlier_gang_crashes != crash_history{}) {
        text += ',';
        append_crashes(text, step.earlier_gang_crashes);
    }
    text += ']';
}

step_state decode_step_state(const json& encoded, const std::vector<stored_worker>& workers)
{
    step_state step;
    step.gang_failures = encoded.at(0).get<std::uint32_t>();
    step.failed_run = encoded.at(1).get<std::uint32_t>();
    for (const auto& task : encoded.at(2)) {
        step.tasks.push_back(decode_task(task, workers));
    }
    if (encoded.size() > 3) {
        step.earlier_gang_crashes = decode_crashes(encoded.at(3));
    }
    return step;
}

run_record decode_record(const json& document)
{
    std::vector<stored_worker> workers;
    for (const auto& entry : document.at("w")) {
        stored_worker worker{{entry.at(0).get<std::string>(), entry.at(1).get<std::uint64_t>()},
                             {}};
        if (entry.size() > 2) {
            worker.address = entry.at(2).get<std::string>();
        }
        workers.push_back(std::move(worker));
    }
    run_record record;
    record.failed = document.value("f", false);
    for (const auto& steps : document.at("o")) {
        occurrence_state occurrence;
        for (const auto& step : steps) {
            occurrence.steps.push_back(decode_step_state(step, workers));
        }
        record.occurrences.push_back(std::move(occurrence));
    }
    return record;
}

} // namespace

bool run_record::any_run() const
{
    return std::ranges::any_of(occurrences, [](const occurrence_state& occurrence) {
        return std::ranges::any_of(occurrence.steps, [](const step_state& step) {
            return std::ranges::any_of(step.tasks,
                                       [](const task_state& task) { return task.run > 0; });
        });
    });
}

std::string encode_runs(const job& current, stored_checkpoints checkpoints)
{
    // The record of a wide job is written each time one of its tasks changes, so the text is
    // appended to directly instead of building a document first.
    worker_table workers;
    std::string text{current.failed() ? R"({"f":true,"o":[)" : R"({"o":[)"};
    for (const auto& occurrence : current.occurrences()) {
        text += text.back() == '[' ? "[" : ",[";
        for (const auto& step : occurrence.steps) {
            if (&step != &occurrence.steps.front()) {
                text += ',';
            }
            append_step(text, step, checkpoints, workers);
        }
        text += ']';
    }
    text += R"(],"w":)";
    workers.append_to(text);
    text += '}';
    return text;
}

base::result<run_record> decode_runs(std::string_view text)
{
    try {
        return decode_record(json::parse(text));
    } catch (const std::exception& failure) {
        return base::error{base::error_code::platform_answer_invalid, "run record", failure.what(),
                           ""};
    }
}

} // namespace poplarstile::batch
