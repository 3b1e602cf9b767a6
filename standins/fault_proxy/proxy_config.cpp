#include "standins/fault_proxy/proxy_config.hpp"

namespace poplarstile::standins::fault_proxy
{

base::result<proxy_config> parse_proxy_config(const json& text)
{
    try {
        proxy_config config;
        for (const auto& source : text.value("sources", json::array())) {
            config.sources.push_back({source.at("name"), source.at("port")});
        }
        for (const auto& forward : text.value("forwards", json::array())) {
            config.forwards.push_back(
                {forward.at("name"), forward.at("port"), forward.at("target")});
        }
        for (const auto& target : text.value("targets", json::array())) {
            config.targets.push_back({target.at("name"), target.at("addresses")});
        }
        return config;
    } catch (const json::out_of_range& failure) {
        return base::error{base::error_code::settings_missing_member, "", failure.what(), ""};
    } catch (const json::exception& failure) {
        return base::error{base::error_code::settings_wrong_type, "", failure.what(), ""};
    }
}

} // namespace poplarstile::standins::fault_proxy
