#include "standins/site_standin/job_script.hpp"

#include <nlohmann/json.hpp>

namespace poplarstile::standins::site_standin
{
namespace
{

using json = nlohmann::json;

json encode_step(const step_script& step)
{
    json object{{"tasks", step.tasks},
                {"work_ms", step.work.count()},
                {"need", {step.need.cpu_milli, step.need.memory_mb, step.need.accelerators}},
                {"gang", step.gang},
                {"fails", step.fails},
                {"after", step.after}};
    if (step.one_rack) {
        object["one_rack"] = true;
    }
    if (step.crashes_after) {
        object["crashes_after_ms"] = step.crashes_after->count();
    }
    return object;
}

step_script decode_step(const json& object)
{
    step_script step;
    step.tasks = object.at("tasks").get<std::uint32_t>();
    step.work = base::milliseconds{object.at("work_ms").get<std::int64_t>()};
    const auto& need = object.at("need");
    step.need = {need.at(0).get<std::int64_t>(), need.at(1).get<std::int64_t>(),
                 need.at(2).get<std::int64_t>()};
    step.gang = object.at("gang").get<bool>();
    step.one_rack = object.value("one_rack", false);
    step.fails = object.at("fails").get<bool>();
    step.after = object.at("after").get<std::vector<std::uint32_t>>();
    if (object.contains("crashes_after_ms")) {
        step.crashes_after = base::milliseconds{object.at("crashes_after_ms").get<std::int64_t>()};
    }
    return step;
}

} // namespace

std::string to_payload(const job_script& script)
{
    json steps = json::array();
    for (const auto& step : script.steps) {
        steps.push_back(encode_step(step));
    }
    return json{{"job", script.job}, {"steps", std::move(steps)}}.dump();
}

std::optional<job_script> parse_payload(std::string_view payload)
{
    try {
        const auto document = json::parse(payload);
        job_script script;
        script.job = document.at("job").get<std::string>();
        for (const auto& step : document.at("steps")) {
            script.steps.push_back(decode_step(step));
        }
        return script;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

} // namespace poplarstile::standins::site_standin
