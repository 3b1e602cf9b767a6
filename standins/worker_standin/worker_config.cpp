#include "standins/worker_standin/worker_config.hpp"

namespace poplarstile::standins::worker_standin
{
namespace
{

worker_config parse_worker(const json& text)
{
    return {.id = text.at("id"),
            .failure_domain = text.at("failure_domain"),
            .rack = text.value("rack", ""),
            .position = text.value("position", 0U),
            .port = text.at("port"),
            .accelerators = text.value("accelerators", 8U),
            .slots = text.value("slots", 8U)};
}

} // namespace

base::result<host_config> parse_host_config(const json& text)
{
    try {
        host_config config;
        config.address = text.value("address", config.address);
        config.control_port = text.at("control_port");
        config.usage_lag = base::milliseconds{text.value("usage_lag_ms", std::int64_t{0})};
        for (const auto& worker : text.at("workers")) {
            config.workers.push_back(parse_worker(worker));
        }
        return config;
    } catch (const json::out_of_range& failure) {
        return base::error{base::error_code::settings_missing_member, "", failure.what(), ""};
    } catch (const json::exception& failure) {
        return base::error{base::error_code::settings_wrong_type, "", failure.what(), ""};
    }
}

} // namespace poplarstile::standins::worker_standin
