#include "integration/harness/cluster.hpp"
#include "integration/harness/access.hpp"

#include <gtest/gtest.h>

#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <thread>
#include <utility>

namespace poplarstile::integration
{
namespace
{

using nlohmann::json;
namespace checker = bench::checker;
constexpr base::milliseconds start_limit{10'000};
constexpr base::milliseconds poll_interval{20};
constexpr std::streamoff log_end_bytes = 3'000;
constexpr std::size_t ports_of_vm = 5;
constexpr std::size_t shared_ports = 3;
constexpr std::uint32_t workers_of_rack = 8;

std::string program(std::string_view name)
{
    return fmt::format("{}/bin/{}", POPLARSTILE_BINARY_DIR, name);
}

std::string make_folder()
{
    const auto* const running = testing::UnitTest::GetInstance()->current_test_info();
    const auto name = running == nullptr
                          ? std::string{"shared"}
                          : fmt::format("{}.{}", running->test_suite_name(), running->name());
    auto folder = fmt::format("{}/integration/{}", POPLARSTILE_BINARY_DIR, name);
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
    return folder;
}

void write_file(const std::string& path, const json& content)
{
    std::ofstream{path} << content.dump(2);
}

} // namespace

std::string request_rules()
{
    return R"(# asked by: tests: work that may be repeated
class chart
# asked by: tests: hedged and urgent
class preview urgent within 1100ms hedge after 200ms
# asked by: tests: work that must not be repeated
class sheet not_idempotent
# asked by: tests: a large customer
workspace kits share 2
# asked by: tests: a small customer
workspace clubs share 1
)";
}

cluster::cluster(cluster_options options) : options_{std::move(options)}, folder_{make_folder()} {}

base::result<std::unique_ptr<cluster>> cluster::start(const cluster_options& options)
{
    std::unique_ptr<cluster> started{new cluster{options}};
    BOOST_OUTCOME_TRYV(started->start_parts());
    return started;
}

base::result<void> cluster::start_parts()
{
    BOOST_OUTCOME_TRY(client, net::http_client::start({}));
    client_ = std::move(client);
    choose_ports();
    write_files();
    BOOST_OUTCOME_TRYV(
        start_process("platform", "platform_standin", {fmt::format("--port={}", platform_port_)}));
    BOOST_OUTCOME_TRYV(
        start_process("workers", "worker_standin", {"--config=" + folder_ + "/workers.json"}));
    BOOST_OUTCOME_TRYV(start_process(
        "proxy", "fault_proxy",
        {fmt::format("--control_port={}", proxy_control_), "--config=" + folder_ + "/proxy.json"}));
    BOOST_OUTCOME_TRYV(await("platform", platform_port_, "/healthz"));
    BOOST_OUTCOME_TRYV(await("workers", workers_control_, "/records"));
    BOOST_OUTCOME_TRYV(await("proxy", proxy_control_, "/control/links"));
    json list = json::array();
    for (const auto& [name, place] : vm_places_) {
        list.push_back({{"id", name},
                        {"failure_domain", place.domain},
                        {"region", "test"},
                        {"address", endpoint(place.peer)},
                        {"state", "live"}});
    }
    control(platform_port_, "/control/vms", {{"vms", list}});
    for (const auto& name : vm_names_) {
        BOOST_OUTCOME_TRYV(start_vm(name));
    }
    for (const auto& name : vm_names_) {
        BOOST_OUTCOME_TRYV(await(name, vm_places_.at(name).operators, "/healthz"));
    }
    if (options_.rules.empty()) {
        return base::success();
    }
    const auto applied = apply_rules(vm_names_.front(), options_.rules);
    if (!applied.ok()) {
        return base::error{base::error_code::rules_unreadable, "rules", applied.body, ""};
    }
    for (const auto& name : vm_names_) {
        BOOST_OUTCOME_TRYV(await(name, vm_places_.at(name).operators, "/readyz"));
    }
    return base::success();
}

cluster::~cluster()
{
    const auto* const running = testing::UnitTest::GetInstance()->current_test_info();
    const bool failed = running != nullptr && running->result()->Failed();
    for (auto& [name, each] : processes_) {
        each.send_signal(SIGCONT);
        each.kill();
    }
    for (const auto& [name, each] : processes_) {
        if (failed) {
            std::cerr << "--- end of the log of " << name << "\n" << log_end(name) << "\n";
        }
    }
}

void cluster::choose_ports()
{
    for (const auto& domain : options_.domains) {
        for (std::size_t index = 1; index <= options_.vms_per_domain; ++index) {
            vm_names_.push_back(fmt::format("{}-vm{}", domain, index));
            vm_places_[vm_names_.back()].domain = domain;
        }
        for (std::size_t index = 1; index <= options_.workers_per_domain; ++index) {
            worker_names_.push_back(fmt::format("{}-w{}", domain, index));
            worker_seats_[worker_names_.back()] = {domain, 0,
                                                   static_cast<std::uint32_t>(index - 1)};
        }
    }
    const auto ports =
        free_ports(shared_ports + vm_names_.size() * ports_of_vm + worker_names_.size());
    auto next = ports.begin();
    platform_port_ = *next++;
    workers_control_ = *next++;
    proxy_control_ = *next++;
    for (auto& [name, place] : vm_places_) {
        place.caller = *next++;
        place.peer = *next++;
        place.operators = *next++;
        place.source = *next++;
        place.forward = *next++;
    }
    for (auto& [name, seat] : worker_seats_) {
        seat.port = *next++;
    }
}

void cluster::write_files() const
{
    json workers{
        {"address", "127.0.0.1"}, {"control_port", workers_control_}, {"workers", json::array()}};
    json proxy{{"sources", json::array()}, {"forwards", json::array()}, {"targets", json::array()}};
    proxy["targets"].push_back({{"name", "platform"}, {"addresses", {endpoint(platform_port_)}}});
    for (const auto& [name, seat] : worker_seats_) {
        workers["workers"].push_back(
            {{"id", name},
             {"failure_domain", seat.domain},
             {"rack", fmt::format("{}-rack{}", seat.domain, seat.position / workers_of_rack)},
             {"position", seat.position % workers_of_rack},
             {"port", seat.port},
             {"accelerators", options_.accelerators},
             {"slots", options_.slots}});
        proxy["targets"].push_back({{"name", name}, {"addresses", {endpoint(seat.port)}}});
    }
    for (const auto& [name, place] : vm_places_) {
        proxy["sources"].push_back({{"name", name}, {"port", place.source}});
        proxy["forwards"].push_back({{"name", "callers-" + name},
                                     {"port", place.forward},
                                     {"target", endpoint(place.caller)}});
        proxy["targets"].push_back({{"name", name}, {"addresses", {endpoint(place.caller)}}});
        proxy["targets"].push_back(
            {{"name", "peer-" + name}, {"addresses", {endpoint(place.peer)}}});
        write_file(fmt::format("{}/{}.json", folder_, name), settings_of(name));
    }
    write_file(folder_ + "/workers.json", workers);
    write_file(folder_ + "/proxy.json", proxy);
}

json cluster::settings_of(const std::string& vm) const
{
    const auto& place = vm_places_.at(vm);
    json settings{{"vm", {{"id", vm}, {"failure_domain", place.domain}, {"region", "test"}}},
                  {"listen",
                   {{"address", "127.0.0.1"},
                    {"caller_port", place.caller},
                    {"peer_port", place.peer},
                    {"operator_port", place.operators}}},
                  {"platform",
                   {{"address", endpoint(platform_port_)},
                    {"read_timeout_ms", 500},
                    {"write_timeout_ms", 700}}},
                  {"workers", json::array()},
                  {"peers", json::array()},
                  {"operator_key", operator_key},
                  {"outbound_proxy", endpoint(place.source)},
                  {"times",
                   {{"worker_heartbeat_ms", 150},
                    {"worker_lease_ms", 1'200},
                    {"scheduler_renewal_ms", 150},
                    {"scheduler_timeout_ms", 450},
                    {"rules_poll_ms", 200},
                    {"gossip_interval_ms", 300},
                    {"suspicion_timeout_ms", 1500},
                    {"vm_list_poll_ms", 500},
                    {"drain_timeout_ms", 10'000}}}};
    for (const auto& [name, seat] : worker_seats_) {
        if (seat.domain == place.domain) {
            settings["workers"].push_back(
                {{"id", name},
                 {"address", endpoint(seat.port)},
                 {"rack", fmt::format("{}-rack{}", seat.domain, seat.position / workers_of_rack)},
                 {"position", seat.position % workers_of_rack},
                 {"accelerators", options_.accelerators},
                 {"slots", options_.slots}});
        }
    }
    for (const auto& [name, other] : vm_places_) {
        if (name != vm) {
            settings["peers"].push_back({{"id", name},
                                         {"failure_domain", other.domain},
                                         {"region", "test"},
                                         {"address", endpoint(other.peer)}});
        }
    }
    settings.merge_patch(options_.settings);
    return settings;
}

base::result<void> cluster::start_process(const std::string& name, const std::string& file,
                                          const std::vector<std::string>& arguments)
{
    BOOST_OUTCOME_TRY(started,
                      process::start(program(file), arguments, folder_ + "/" + name + ".log"));
    processes_.erase(name);
    processes_.emplace(name, std::move(started));
    return base::success();
}

base::result<void> cluster::start_vm(const std::string& name)
{
    return start_process(name, "poplarstiled",
                         {fmt::format("--settings={}/{}.json", folder_, name)});
}

base::result<void> cluster::await(const std::string& name, std::uint16_t port,
                                  std::string_view path)
{
    const bool up = eventually(start_limit, [this, port, path] {
        net::http_call call{.url = fmt::format("http://{}{}", endpoint(port), path)};
        return client_->send_and_wait(std::move(call)).status == 200;
    });
    if (!up) {
        return base::error{base::error_code::listen_failed, name, log_end(name), ""};
    }
    return base::success();
}

process& cluster::vm(const std::string& name)
{
    return processes_.at(name);
}

process& cluster::platform()
{
    return processes_.at("platform");
}

void cluster::kill_vm(const std::string& name)
{
    note_fault(checker::fault_kind::kill_vm, name);
    vm(name).kill();
}

void cluster::terminate_vm(const std::string& name)
{
    note_fault(checker::fault_kind::drain_vm, name);
    vm(name).send_signal(SIGTERM);
}

bool cluster::restart_vm(const std::string& name, bool ready)
{
    const auto port = vm_places_.at(name).operators;
    return start_vm(name).has_value() &&
           await(name, port, ready ? "/readyz" : "/healthz").has_value();
}

bool cluster::wait_ready(const std::string& name, base::milliseconds longest)
{
    return eventually(longest, [this, &name] {
        const auto port = vm_places_.at(name).operators;
        net::http_call call{.url = fmt::format("http://{}/readyz", endpoint(port))};
        return client_->send_and_wait(std::move(call)).status == 200;
    });
}

void cluster::set_link(std::string_view source, std::string_view target, std::string_view fault,
                       base::milliseconds delay)
{
    control(
        proxy_control_, "/control/links",
        {{"source", source}, {"target", target}, {"fault", fault}, {"delay_ms", delay.count()}});
}

void cluster::heal_links()
{
    (void)client_->send_and_wait(
        {.method = "DELETE",
         .url = fmt::format("http://{}/control/links", endpoint(proxy_control_))});
}

void cluster::set_platform(const json& faults)
{
    control(platform_port_, "/control/faults", faults);
}

void cluster::set_worker(const std::string& worker, const json& faults)
{
    control(workers_control_, "/control/workers/" + worker, faults);
}

std::string cluster::log_end(const std::string& name) const
{
    std::ifstream file{folder_ + "/" + name + ".log", std::ios::ate};
    const std::streamoff size = file.tellg();
    file.seekg(std::max<std::streamoff>(0, size - log_end_bytes));
    return {std::istreambuf_iterator<char>{file}, std::istreambuf_iterator<char>{}};
}

bool eventually(base::milliseconds longest, const std::function<bool()>& holds)
{
    const auto until = std::chrono::steady_clock::now() + longest;
    while (!holds()) {
        if (std::chrono::steady_clock::now() >= until) {
            return false;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return true;
}

std::string describe(const std::vector<checker::violation>& found)
{
    std::string text;
    for (const auto& each : found) {
        text +=
            fmt::format("{} {}: {}\n", checker::name_of(each.broken), each.subject, each.evidence);
    }
    return text;
}

} // namespace poplarstile::integration
