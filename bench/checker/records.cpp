#include "bench/checker/records.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <optional>

namespace poplarstile::bench::checker
{
namespace
{

using nlohmann::json;

/// The marker as sent; requests of others may carry none.
std::string marker_of(const json& row)
{
    const auto marker = row.find("marker");
    return marker != row.end() && marker->is_string() ? marker->get<std::string>() : std::string{};
}

execution execution_of(const json& row)
{
    return {.worker = row.at("worker").get<std::string>(),
            .request = row.value("request", ""),
            .attempt = row.value("attempt", ""),
            .marker = marker_of(row),
            .started = row.at("started_us").get<wall_us>(),
            .ended = row.value("ended_us", wall_us{0}),
            .outcome = row.value("outcome", "")};
}

task_record task_of(const json& row)
{
    return {.worker = row.at("worker").get<std::string>(),
            .task = row.at("task").get<std::string>(),
            .job = row.at("job").get<std::string>(),
            .gang_size = row.value("gang_size", 1U),
            .member = row.value("member", 0U),
            .domain = row.value("domain", ""),
            .held = row.value("held_us", wall_us{0}),
            .released = row.value("released_us", wall_us{0}),
            .ended = row.value("ended_us", wall_us{0}),
            .state = row.value("state", ""),
            .accelerators = row.value("accelerators", std::vector<std::uint32_t>{})};
}

std::optional<fault_kind> fault_kind_named(std::string_view name)
{
    if (name == "kill_vm") {
        return fault_kind::kill_vm;
    }
    if (name == "drain_vm") {
        return fault_kind::drain_vm;
    }
    if (name == "worker_leaving") {
        return fault_kind::worker_leaving;
    }
    return std::nullopt;
}

base::result<fault> fault_of(std::string_view line, std::size_t number)
{
    const auto place = fmt::format("faults file line {}", number);
    try {
        const auto row = json::parse(line);
        const auto kind = fault_kind_named(row.at("kind").get<std::string>());
        if (!kind) {
            return base::error{base::error_code::operator_argument_invalid, place, "unknown kind"};
        }
        return fault{row.at("wall_us").get<wall_us>(), *kind, row.at("subject").get<std::string>()};
    } catch (const json::exception& failure) {
        return base::error{base::error_code::operator_argument_invalid, place, failure.what()};
    }
}

} // namespace

base::result<void> add_records(std::string_view text, history& into)
{
    try {
        const auto records = json::parse(text);
        for (const auto& row : records.at("executions")) {
            into.executions.push_back(execution_of(row));
        }
        for (const auto& row : records.at("tasks")) {
            into.tasks.push_back(task_of(row));
        }
    } catch (const json::exception& failure) {
        return base::error{base::error_code::worker_answer_invalid, "/records", failure.what()};
    }
    return base::success();
}

base::result<void> add_platform_counts(std::string_view text, history& into)
{
    try {
        const auto counts = json::parse(text);
        into.platform = {.transactions = counts.at("transactions").get<std::uint64_t>(),
                         .reads = counts.at("reads").get<std::uint64_t>(),
                         .conflicts = counts.value("conflicts", std::uint64_t{0}),
                         .refused = counts.value("refused", std::uint64_t{0})};
    } catch (const json::exception& failure) {
        return base::error{base::error_code::platform_answer_invalid, "/control/counters",
                           failure.what()};
    }
    return base::success();
}

base::result<void> add_faults(std::string_view text, history& into)
{
    std::size_t number = 0;
    while (!text.empty()) {
        const auto end = text.find('\n');
        const auto line = text.substr(0, end);
        text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
        ++number;
        if (line.empty()) {
            continue;
        }
        BOOST_OUTCOME_TRY(read, fault_of(line, number));
        into.faults.push_back(std::move(read));
    }
    return base::success();
}

base::result<worker_config> parse_worker_config(std::string_view text)
{
    try {
        const auto config = json::parse(text);
        worker_config read;
        read.control_address = fmt::format("{}:{}", config.at("address").get<std::string>(),
                                           config.at("control_port").get<std::uint16_t>());
        for (const auto& row : config.at("workers")) {
            read.workers.push_back({.worker = row.at("id").get<std::string>(),
                                    .domain = row.at("failure_domain").get<std::string>(),
                                    .rack = row.at("rack").get<std::string>(),
                                    .position = row.at("position").get<std::uint32_t>(),
                                    .accelerators = row.at("accelerators").get<std::uint32_t>()});
        }
        return read;
    } catch (const json::exception& failure) {
        return base::error{base::error_code::operator_argument_invalid, "worker configuration",
                           failure.what()};
    }
}

} // namespace poplarstile::bench::checker
