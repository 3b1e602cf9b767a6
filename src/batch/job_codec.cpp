#include "batch/job_codec.hpp"

#include "batch/job_validation.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>
#include <map>
#include <stdexcept>
#include <tuple>
#include <utility>

namespace poplarstile::batch
{
namespace
{

using json = nlohmann::json;

base::error undecodable(std::string_view what, std::string detail)
{
    return {base::error_code::platform_answer_invalid, std::string{what}, std::move(detail), ""};
}

template <class Value>
void put_unless_default(json& object, const char* name, const Value& value)
{
    if (value != Value{}) {
        object[name] = value;
    }
}

json encode_step(const step_spec& step)
{
    json object{{"n", step.task_count}};
    put_unless_default(object, "c", step.need.cpu_milli);
    put_unless_default(object, "m", step.need.memory_mb);
    put_unless_default(object, "g", step.need.accelerators);
    put_unless_default(object, "e", step.estimate.count());
    put_unless_default(object, "af", step.after);
    put_unless_default(object, "ck", step.checkpoints);
    put_unless_default(object, "gang", step.gang);
    put_unless_default(object, "one", step.one_rack);
    put_unless_default(object, "label", step.required_label);
    put_unless_default(object, "rack", step.data_rack);
    put_unless_default(object, "most", step.max_per_worker);
    put_unless_default(object, "spec", step.speculative);
    put_unless_default(object, "long", step.long_running);
    put_unless_default(object, "im", step.image);
    put_unless_default(object, "lat", step.latency_target.count());
    put_unless_default(object, "fill", step.best_effort);
    put_unless_default(object, "away", step.max_unavailable);
    return object;
}

step_spec decode_step(const json& object)
{
    step_spec step;
    step.task_count = object.at("n").get<std::uint32_t>();
    step.need.cpu_milli = object.value("c", std::int64_t{0});
    step.need.memory_mb = object.value("m", std::int64_t{0});
    step.need.accelerators = object.value("g", std::int64_t{0});
    step.estimate = base::milliseconds{object.value("e", std::int64_t{0})};
    step.after = object.value("af", std::vector<std::uint32_t>{});
    step.checkpoints = object.value("ck", false);
    step.gang = object.value("gang", false);
    step.one_rack = object.value("one", false);
    step.required_label = object.value("label", std::string{});
    step.data_rack = object.value("rack", std::string{});
    step.max_per_worker = object.value("most", std::uint32_t{0});
    step.speculative = object.value("spec", false);
    step.long_running = object.value("long", false);
    step.image = object.value("im", std::string{});
    step.latency_target = base::milliseconds{object.value("lat", std::int64_t{0})};
    step.best_effort = object.value("fill", false);
    step.max_unavailable = object.value("away", std::uint32_t{0});
    return step;
}

submission decode_submission(const json& object)
{
    submission accepted;
    accepted.job = object.at("id").get<std::string>();
    accepted.workspace = object.at("ws").get<std::string>();
    accepted.accepted_ms = object.at("at").get<std::int64_t>();
    accepted.policy.queue = object.at("q").get<std::string>();
    accepted.policy.service = object.at("svc").get<std::string>();
    accepted.policy.priority = object.at("pr").get<std::uint32_t>();
    accepted.policy.max_attempts = object.at("att").get<std::uint32_t>();
    accepted.policy.stretch = object.at("str").get<double>();
    accepted.policy.completion_target = base::milliseconds{object.at("tgt").get<std::int64_t>()};
    accepted.spec.payload = object.at("pay").get<std::string>();
    for (const auto& step : object.at("steps")) {
        accepted.spec.steps.push_back(decode_step(step));
    }
    if (object.contains("rep")) {
        const auto& repeat = object.at("rep");
        accepted.spec.repeat =
            recurrence{repeat.at(0).get<std::uint32_t>(), repeat.at(1).get<std::int64_t>(),
                       repeat.at(2).get<std::int64_t>()};
    }
    return accepted;
}

finished_job decode_finished(const json& object)
{
    finished_job finished;
    const auto status = object.at("end").get<std::uint8_t>();
    if (status > static_cast<std::uint8_t>(job_status::cancelled)) {
        throw std::out_of_range{"job status out of range"};
    }
    finished.status = static_cast<job_status>(status);
    finished.queue = object.at("q").get<std::string>();
    finished.workspace = object.at("ws").get<std::string>();
    finished.ended_at = base::from_stored_ms(object.value("at", std::int64_t{0}));
    finished.ended_at_sending = object.value("sent", false);
    return finished;
}

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

std::string encode(const submission& accepted)
{
    json steps = json::array();
    for (const auto& step : accepted.spec.steps) {
        steps.push_back(encode_step(step));
    }
    json object{{"id", accepted.job},
                {"ws", accepted.workspace},
                {"at", accepted.accepted_ms},
                {"q", accepted.policy.queue},
                {"svc", accepted.policy.service},
                {"pr", accepted.policy.priority},
                {"att", accepted.policy.max_attempts},
                {"str", accepted.policy.stretch},
                {"tgt", accepted.policy.completion_target.count()},
                {"pay", accepted.spec.payload},
                {"steps", std::move(steps)}};
    if (const auto& repeat = accepted.spec.repeat) {
        object["rep"] = {repeat->count, repeat->first_due_ms, repeat->interval_ms};
    }
    return object.dump();
}

std::string encode(const finished_job& finished)
{
    json object{{"end", static_cast<std::uint8_t>(finished.status)},
                {"q", finished.queue},
                {"ws", finished.workspace},
                {"at", base::to_stored_ms(finished.ended_at)}};
    put_unless_default(object, "sent", finished.ended_at_sending);
    return object.dump();
}

base::result<job_row> decode_job_row(std::string_view text)
{
    try {
        const auto object = json::parse(text);
        if (object.contains("end")) {
            return job_row{decode_finished(object)};
        }
        BOOST_OUTCOME_TRY(accepted, validated(decode_submission(object)));
        return job_row{std::move(accepted)};
    } catch (const std::exception& failure) {
        return undecodable("job row", failure.what());
    }
}

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
        return undecodable("run record", failure.what());
    }
}

} // namespace poplarstile::batch
