#include "bench/load_driver/deployment.hpp"

#include "bench/checker/records.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <regex>

namespace poplarstile::bench::load_driver
{
namespace
{

using nlohmann::json;

base::error invalid(const std::string& place, std::string_view detail)
{
    return {base::error_code::operator_argument_invalid, place, std::string{detail}};
}

base::result<std::vector<std::string>> json_files(const std::string& folder)
{
    std::error_code failure;
    std::vector<std::string> paths;
    for (const auto& entry : std::filesystem::directory_iterator{folder, failure}) {
        if (entry.path().extension() == ".json") {
            paths.push_back(entry.path().string());
        }
    }
    if (failure || paths.empty()) {
        return invalid(folder, "no JSON files here");
    }
    std::ranges::sort(paths);
    return paths;
}

base::result<void> add_vm(const std::string& path, deployment& into)
{
    BOOST_OUTCOME_TRY(text, read_file(path));
    try {
        const auto settings = json::parse(text);
        const auto& listen = settings.at("listen");
        const auto address = listen.at("address").get<std::string>();
        const auto endpoint = [&](const char* member) {
            return fmt::format("{}:{}", address, listen.at(member).get<std::uint16_t>());
        };
        into.vms.push_back(
            {.id = settings.at("vm").at("id").get<std::string>(),
             .failure_domain = settings.at("vm").at("failure_domain").get<std::string>(),
             .caller_address = endpoint("caller_port"),
             .operator_address = endpoint("operator_port"),
             .operator_key = settings.at("operator_key").get<std::string>()});
        into.platform_address = settings.at("platform").at("address").get<std::string>();
    } catch (const json::exception& failure) {
        return invalid(path, failure.what());
    }
    return base::success();
}

base::result<void> add_workers(const std::string& path, deployment& into)
{
    BOOST_OUTCOME_TRY(text, read_file(path));
    BOOST_OUTCOME_TRY(config, checker::parse_worker_config(text));
    into.control_addresses.push_back(config.control_address);
    into.workers.insert(into.workers.end(), config.workers.begin(), config.workers.end());
    return base::success();
}

} // namespace

base::result<std::string> read_file(const std::string& path)
{
    std::ifstream file{path, std::ios::binary};
    if (!file) {
        return invalid(path, "can't be read");
    }
    return std::string{std::istreambuf_iterator<char>{file}, {}};
}

std::vector<checker::guarantee> guarantees_of(std::string_view rules)
{
    static const std::regex line{
        R"(workspace\s+(\S+)\s+guarantee\s+(\d+)\s+of\s+(\d+)x(\d+)\s+in\s+([^\s#]+))"};
    std::vector<checker::guarantee> read;
    const std::string text{rules};
    const auto number = [](const std::ssub_match& digits) {
        return static_cast<std::uint32_t>(std::stoul(digits.str()));
    };
    for (std::sregex_iterator at{text.begin(), text.end(), line}; at != std::sregex_iterator{};
         ++at) {
        const auto& match = *at;
        read.push_back({.workspace = match[1].str(),
                        .domain = match[5].str(),
                        .count = number(match[2]),
                        .members = number(match[3]),
                        .accelerators = number(match[4])});
    }
    return read;
}

base::result<deployment> load_deployment(const std::string& folder)
{
    deployment read;
    BOOST_OUTCOME_TRY(settings, json_files(folder + "/settings"));
    for (const auto& path : settings) {
        BOOST_OUTCOME_TRY(add_vm(path, read));
    }
    BOOST_OUTCOME_TRY(workers, json_files(folder + "/workers"));
    for (const auto& path : workers) {
        BOOST_OUTCOME_TRY(add_workers(path, read));
    }
    BOOST_OUTCOME_TRY(rules, read_file(folder + "/rules.txt"));
    read.guarantees = guarantees_of(rules);
    return read;
}

} // namespace poplarstile::bench::load_driver
