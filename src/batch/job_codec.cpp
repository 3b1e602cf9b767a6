#include "batch/job_codec.hpp"

#include "batch/job_validation.hpp"

#include <nlohmann/json.hpp>

#include <stdexcept>
#include <utility>

/// Rows of the jobs table: submissions and jobs that have ended.
namespace poplarstile::batch
{
namespace
{

using json = nlohmann::json;

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
        return base::error{base::error_code::platform_answer_invalid, "job row", failure.what(),
                           ""};
    }
}

} // namespace poplarstile::batch
