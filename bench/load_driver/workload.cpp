#include "bench/load_driver/workload.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <regex>
#include <stdexcept>

namespace poplarstile::bench::load_driver
{
namespace
{

using nlohmann::json;

double share_of(const json& row, const char* member, double otherwise)
{
    const auto share = row.value(member, otherwise);
    if (share < 0 || share > 1) {
        throw std::out_of_range{fmt::format("{} must be from 0 to 1", member)};
    }
    return share;
}

duration_range duration_range_of(const json& pair)
{
    const duration_range range{base::milliseconds{pair.at(0).get<std::int64_t>()},
                               base::milliseconds{pair.at(1).get<std::int64_t>()}};
    if (range.least.count() < 0 || range.least > range.most) {
        throw std::out_of_range{"run_ms must be [least, most]"};
    }
    return range;
}

stream_base stream_base_of(const json& row)
{
    stream_base read{.work_class = row.at("class").get<std::string>(),
                     .workspace = row.at("workspace").get<std::string>(),
                     .idempotent = row.value("idempotent", true),
                     .urgent = row.value("urgent", false),
                     .per_second = row.value("per_second", 0.0),
                     .run = duration_range_of(row.at("run_ms")),
                     .fail_share = share_of(row, "fail_share", 0)};
    for (const auto& each : row.value("bursts", json::array())) {
        read.bursts.push_back(
            {share_of(each, "at_share", 0), each.at("count").get<std::uint32_t>()});
    }
    return read;
}

request_stream request_stream_of(const json& row)
{
    return {.base = stream_base_of(row),
            .deadline = base::milliseconds{row.value("deadline_ms", 10'000)},
            .with_key = row.value("with_key", false),
            .repeat_share = share_of(row, "repeat_share", 0)};
}

job_shape job_shape_of(const std::string& text)
{
    static const std::regex pattern{R"((\d{1,6})x(\d{1,6}))"};
    std::smatch match;
    if (!std::regex_match(text, match, pattern)) {
        throw std::out_of_range{fmt::format("shape {} is not like 4x8", text)};
    }
    return {static_cast<std::uint32_t>(std::stoul(match[1].str())),
            static_cast<std::uint32_t>(std::stoul(match[2].str()))};
}

job_stream job_stream_of(const json& row)
{
    job_stream read{.base = stream_base_of(row),
                    .checkpointable = row.value("checkpointable", true)};
    for (const auto& shape : row.at("shapes")) {
        read.shapes.push_back(job_shape_of(shape.get<std::string>()));
    }
    if (read.shapes.empty()) {
        throw std::out_of_range{"shapes must name one shape or more"};
    }
    if (row.contains("declared_factor")) {
        const auto& pair = row.at("declared_factor");
        read.declared_factor = {pair.at(0).get<double>(), pair.at(1).get<double>()};
    }
    for (const auto& each : row.value("cancel_waves", json::array())) {
        read.cancel_waves.push_back({share_of(each, "at_share", 0), share_of(each, "share", 1)});
    }
    return read;
}

} // namespace

base::result<workload> parse_workload(std::string_view text)
{
    try {
        const auto document = json::parse(text);
        workload read;
        for (const auto& row : document.at("requests")) {
            read.requests.push_back(request_stream_of(row));
        }
        for (const auto& row : document.at("jobs")) {
            read.jobs.push_back(job_stream_of(row));
        }
        return read;
    } catch (const std::exception& failure) {
        return base::error{base::error_code::operator_argument_invalid, "workload", failure.what()};
    }
}

} // namespace poplarstile::bench::load_driver
