// Writes the settings of the entry VMs and the worker stand-ins' configuration of one of the two
// deployments under examples/, so that ports, racks and peers are not typed by hand.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cstdint>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <string>
#include <string_view>
#include <vector>

ABSL_FLAG(std::string, deployment, "", "camara-oscura or recreation-utility");
ABSL_FLAG(std::string, out, "", "folder that gets settings/, workers/ and vms.json");

namespace poplarstile::bench::example_files
{
namespace
{

using json = nlohmann::ordered_json;

constexpr std::string_view address = "127.0.0.1";
constexpr std::uint32_t workers_per_rack = 8;
constexpr std::uint32_t accelerators_per_worker = 8;
constexpr std::uint32_t slots_per_worker = 8;
constexpr std::uint32_t usage_lag_ms = 1'000;
/// Offsets from a deployment's first port: the platform is at 0.
constexpr std::uint32_t first_vm_port = 100;
constexpr std::uint32_t ports_per_vm = 10;
constexpr std::uint32_t first_control_port = 300;
constexpr std::uint32_t first_worker_port = 400;

struct domain_plan {
    std::string_view name;
    std::uint32_t vms;
    std::uint32_t workers;
};

struct deployment_plan {
    std::string_view name;
    std::string_view region;
    std::string_view objective;
    std::string_view operator_key;
    std::uint32_t first_port;
    std::array<domain_plan, 3> domains;
};

constexpr auto deployments = std::to_array<deployment_plan>({
    {"camara-oscura",
     "chile-central",
     "completion_time",
     "camara-oscura-example-operator-key",
     21'000,
     {{{"valparaiso", 3, 16}, {"santiago", 3, 18}, {"rancagua", 2, 16}}}},
    {"recreation-utility",
     "addis-ababa",
     "fragmentation",
     "recreation-utility-example-operator-key",
     23'000,
     {{{"bole", 3, 18}, {"kirkos", 3, 16}, {"yeka", 2, 16}}}},
});

struct vm_place {
    std::string id;
    std::string_view domain;
    std::uint32_t first_port;
};

struct worker_place {
    std::string id;
    std::string_view domain;
    std::string rack;
    std::uint32_t position;
    std::uint32_t port;
};

std::string endpoint(std::uint32_t port)
{
    return fmt::format("{}:{}", address, port);
}

std::vector<vm_place> vms_of(const deployment_plan& plan)
{
    std::vector<vm_place> vms;
    auto port = plan.first_port + first_vm_port;
    for (const auto& domain : plan.domains) {
        for (std::uint32_t number = 1; number <= domain.vms; ++number) {
            vms.push_back({fmt::format("{}-vm{}", domain.name, number), domain.name, port});
            port += ports_per_vm;
        }
    }
    return vms;
}

std::vector<worker_place> workers_of(const deployment_plan& plan)
{
    std::vector<worker_place> workers;
    auto port = plan.first_port + first_worker_port;
    for (const auto& domain : plan.domains) {
        for (std::uint32_t number = 0; number < domain.workers; ++number) {
            workers.push_back({fmt::format("{}-w{:02}", domain.name, number + 1), domain.name,
                               fmt::format("{}-rack{}", domain.name, number / workers_per_rack + 1),
                               number % workers_per_rack, port});
            ++port;
        }
    }
    return workers;
}

json settings_of(const deployment_plan& plan, const vm_place& vm)
{
    auto workers = json::array();
    for (const auto& worker : workers_of(plan)) {
        if (worker.domain == vm.domain) {
            workers.push_back({{"id", worker.id},
                               {"address", endpoint(worker.port)},
                               {"rack", worker.rack},
                               {"position", worker.position},
                               {"accelerators", accelerators_per_worker},
                               {"slots", slots_per_worker}});
        }
    }
    auto peers = json::array();
    for (const auto& peer : vms_of(plan)) {
        if (peer.id != vm.id) {
            peers.push_back({{"id", peer.id},
                             {"failure_domain", peer.domain},
                             {"region", plan.region},
                             {"address", endpoint(peer.first_port + 1)}});
        }
    }
    return {{"vm", {{"id", vm.id}, {"failure_domain", vm.domain}, {"region", plan.region}}},
            {"listen",
             {{"address", address},
              {"caller_port", vm.first_port},
              {"peer_port", vm.first_port + 1},
              {"operator_port", vm.first_port + 2}}},
            {"platform", {{"address", endpoint(plan.first_port)}}},
            {"workers", workers},
            {"peers", peers},
            {"operator_key", plan.operator_key},
            {"policy", {{"objective", plan.objective}}}};
}

/// The platform's list of VMs, as its stand-in takes it.
json vm_list_of(const deployment_plan& plan)
{
    auto rows = json::array();
    for (const auto& vm : vms_of(plan)) {
        rows.push_back({{"id", vm.id},
                        {"failure_domain", vm.domain},
                        {"region", plan.region},
                        {"address", endpoint(vm.first_port + 1)},
                        {"state", "live"}});
    }
    return {{"vms", rows}};
}

json stand_in_of(const deployment_plan& plan, std::uint32_t domain)
{
    auto rows = json::array();
    for (const auto& worker : workers_of(plan)) {
        if (worker.domain == plan.domains.at(domain).name) {
            rows.push_back({{"id", worker.id},
                            {"failure_domain", worker.domain},
                            {"rack", worker.rack},
                            {"position", worker.position},
                            {"port", worker.port},
                            {"accelerators", accelerators_per_worker},
                            {"slots", slots_per_worker}});
        }
    }
    return {{"address", address},
            {"control_port", plan.first_port + first_control_port + domain},
            {"usage_lag_ms", usage_lag_ms},
            {"workers", rows}};
}

void write(const std::filesystem::path& path, const json& document)
{
    constexpr int indent = 2;
    std::filesystem::create_directories(path.parent_path());
    std::ofstream{path} << document.dump(indent) << "\n";
}

void write_all(const deployment_plan& plan, const std::filesystem::path& out)
{
    for (const auto& vm : vms_of(plan)) {
        write(out / "settings" / (vm.id + ".json"), settings_of(plan, vm));
    }
    write(out / "vms.json", vm_list_of(plan));
    for (std::uint32_t domain = 0; domain < plan.domains.size(); ++domain) {
        const std::string name{plan.domains.at(domain).name};
        write(out / "workers" / (name + ".json"), stand_in_of(plan, domain));
    }
}

} // namespace
} // namespace poplarstile::bench::example_files

int main(int argc, char** argv)
{
    using namespace poplarstile::bench::example_files;
    constexpr int exit_usage = 2;
    absl::SetProgramUsageMessage("writes the generated files of a deployment under examples/");
    absl::ParseCommandLine(argc, argv);
    const auto name = absl::GetFlag(FLAGS_deployment);
    const auto* plan = std::ranges::find(deployments, name, &deployment_plan::name);
    if (plan == deployments.end() || absl::GetFlag(FLAGS_out).empty()) {
        fmt::print(stderr, "example_files: --deployment and --out are needed; see --help\n");
        return exit_usage;
    }
    write_all(*plan, absl::GetFlag(FLAGS_out));
    return 0;
}
