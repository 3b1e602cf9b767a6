#include "standins/site_standin/site_config.hpp"

namespace poplarstile::standins::site_standin
{
namespace
{

vm_config parse_vm(const json& object)
{
    vm_config vm;
    vm.name = object.at("name").get<std::string>();
    vm.store_port = object.at("store_port").get<std::uint16_t>();
    vm.worker_addresses = object.value("workers", std::map<std::string, std::string>{});
    return vm;
}

worker_config parse_worker(const json& object)
{
    worker_config worker;
    worker.id = object.at("id").get<std::string>();
    worker.port = object.at("port").get<std::uint16_t>();
    worker.rack = object.at("rack").get<std::string>();
    worker.failure_domain = object.value("failure_domain", worker.failure_domain);
    worker.capacity = {object.at("cpu_milli").get<std::int64_t>(),
                       object.at("memory_mb").get<std::int64_t>(),
                       object.at("accelerators").get<std::int64_t>()};
    return worker;
}

} // namespace

base::result<site_config> parse_site_config(const json& text)
{
    try {
        site_config config;
        config.address = text.value("address", config.address);
        config.control_port = text.at("control_port").get<std::uint16_t>();
        for (const auto& vm : text.at("vms")) {
            config.vms.push_back(parse_vm(vm));
        }
        for (const auto& worker : text.at("workers")) {
            config.workers.push_back(parse_worker(worker));
        }
        config.longest_lease = base::milliseconds{
            text.value("longest_lease_ms", std::int64_t{config.longest_lease.count()})};
        config.stop_time =
            base::milliseconds{text.value("stop_time_ms", std::int64_t{config.stop_time.count()})};
        config.configuration = text.at("configuration").dump();
        return config;
    } catch (const json::exception& failure) {
        return base::error{base::error_code::settings_wrong_type, "site stand-in", failure.what(),
                           ""};
    }
}

} // namespace poplarstile::standins::site_standin
