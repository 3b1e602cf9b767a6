#include "site.hpp"

#include "clock.hpp"

#include <nlohmann/json.hpp>

#include <chrono>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <thread>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace rig
{
namespace
{

using json = nlohmann::json;

constexpr const char* host = "shop.example";
constexpr const char* prefix = "/sheets/";
constexpr const char* key = "key-1";

void pause_ms(int span)
{
    std::this_thread::sleep_for(std::chrono::milliseconds{span});
}

std::string read_file(const std::string& path)
{
    std::ifstream file{path};
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

/// Starts a program; what it prints goes to a file.
pid_t start_process(const std::vector<std::string>& words, const std::string& output)
{
    const pid_t child = fork();
    if (child != 0) {
        return child;
    }
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    std::vector<char*> arguments;
    for (const auto& word : words) {
        arguments.push_back(const_cast<char*>(word.c_str()));
    }
    arguments.push_back(nullptr);
    execv(arguments.front(), arguments.data());
    _exit(127);
}

void end_process(pid_t& process)
{
    if (process > 0) {
        kill(process, SIGKILL);
        waitpid(process, nullptr, 0);
        process = 0;
    }
}

/// The value at a dotted path, such as `listen.front` or `internal_ports.0`.
const json& value_at(const json& fields, const std::string& path)
{
    const json* value = &fields;
    std::istringstream steps{path};
    std::string step;
    while (std::getline(steps, step, '.')) {
        value = value->is_array() ? &value->at(std::stoul(step)) : &value->at(step);
    }
    return *value;
}

/// Fills the placeholders `{{path}}` and `{{path|json}}` of the template in.
std::string fill_in(const std::string& text, const json& fields)
{
    std::string filled;
    std::size_t at = 0;
    for (;;) {
        const auto open = text.find("{{", at);
        if (open == std::string::npos) {
            return filled + text.substr(at);
        }
        const auto close = text.find("}}", open);
        auto path = text.substr(open + 2, close - open - 2);
        const auto bar = path.find('|');
        const bool as_json = bar != std::string::npos;
        path = path.substr(0, bar);
        const auto& value = value_at(fields, path);
        filled += text.substr(at, open - at);
        filled += as_json || !value.is_string() ? value.dump() : value.get<std::string>();
        at = close + 2;
    }
}

std::string address(int port)
{
    return "127.0.0.1:" + std::to_string(port);
}

} // namespace

site::site(site_options options, std::string folder, std::string record)
    : options_{options}, folder_{std::move(folder)}, record_{std::move(record)}
{
    vms_.resize(static_cast<std::size_t>(options_.vms));
    workers_.resize(static_cast<std::size_t>(options_.workers));
    for (int vm = 0; vm < options_.vms; ++vm) {
        vm_ports_.push_back({free_port(), free_port(), free_port(), free_port()});
    }
    for (int worker = 0; worker < options_.workers; ++worker) {
        worker_ports_.push_back(free_port());
    }
}

site::~site()
{
    for (auto& vm : vms_) {
        end_process(vm);
    }
    for (auto& worker : workers_) {
        end_process(worker);
    }
}

std::string site::worker_name(int worker)
{
    return "i-" + std::to_string(100 + worker);
}

void site::note(const std::string& line) const
{
    if (auto* const file = std::fopen(record_.c_str(), "a")) {
        std::fprintf(file, "%lld %s\n", static_cast<long long>(now_ms()), line.c_str());
        std::fclose(file);
    }
}

std::string site::configuration() const
{
    const json document{
        {"version", 7},
        {"routes",
         {{{"name", "r-sheets"},
           {"host", host},
           {"prefix", prefix},
           {"route_type", "non_idempotent"},
           {"timeout_ms", 3'000},
           {"target_completion_ms", 3'000},
           {"priority", 2},
           {"service", "sheets"},
           {"max_attempts", options_.max_attempts},
           {"stretch", 3.0},
           {"public", false}}}},
        {"services",
         {{{"name", "sheets"}, {"max_conns", 64}, {"enforces_capacity", false}, {"spare", false}}}},
        {"tenants", {{{"name", "t-1"}, {"api_keys", {key}}, {"guaranteed", {{"gpu", 0}}}}}},
        {"limits", json::object()}};
    return document.dump();
}

std::string site::render_settings(int vm) const
{
    const auto& ports = vm_ports_.at(static_cast<std::size_t>(vm));
    json seeds = json::array();
    for (const auto& other : vm_ports_) {
        if (seeds.size() < 3) {
            seeds.push_back(address(other.control));
        }
    }
    const json fields{{"node_name", "edge-zone-a-" + std::to_string(vm + 1)},
                      {"zone", "zone-a"},
                      {"region", "region-1"},
                      {"ip", "127.0.0.1"},
                      {"listen",
                       {{"front", address(ports.front)},
                        {"ready", address(ports.ready)},
                        {"control", address(ports.control)}}},
                      {"internal_ports", {ports.metrics, ports.metrics}},
                      {"seeds", seeds},
                      {"limits",
                       {{"cpu_share", 0.25},
                        {"cores", 1},
                        {"memory_mb", 260},
                        {"max_fds", 4100},
                        {"link_mbps", 1000.0}}},
                      {"heartbeat_ms", heartbeat_ms},
                      {"platform", {{"address", address(store_port_)}, {"row_bytes", 65'536}}},
                      {"bounds",
                       {{"hold_max_ms", hold_max_ms},
                        {"stop_ms", stop_ms},
                        {"gang_wait_ms", 3'000},
                        {"config_apply_ms", 2'000},
                        {"max_stretch_ms", 5'000},
                        {"grace_s", 6},
                        {"status_s", 120},
                        {"remote_factor", 3}}}};
    return fill_in(read_file("deploy/settings.json.in"), fields);
}

void site::start_vm(int vm)
{
    const auto name = folder_ + "/vm-" + std::to_string(vm + 1);
    std::ofstream{name + ".json"} << render_settings(vm);
    vms_.at(static_cast<std::size_t>(vm)) =
        start_process({"target/bin/poplarstiled", "--settings=" + name + ".json"}, name + ".log");
}

void site::start_worker(int worker)
{
    const auto index = static_cast<std::size_t>(worker);
    workers_.at(index) =
        start_process({"/proc/self/exe", "worker", worker_name(worker),
                       std::to_string(worker_ports_.at(index)), std::to_string(store_port_),
                       "sheets", "r1-" + std::to_string(worker / 8), std::to_string(options_.cpu),
                       std::to_string(options_.memory), std::to_string(options_.gpu), record_},
                      folder_ + "/workers.log");
    note("worker " + worker_name(worker) + " is started");
}

void site::crash_worker(int worker)
{
    end_process(workers_.at(static_cast<std::size_t>(worker)));
    note("worker " + worker_name(worker) + " is killed");
}

void site::make_orders_late(std::int64_t for_ms) const
{
    for (const auto port : worker_ports_) {
        (void)call(port, "POST", "/rig/late", {}, json{{"for_ms", for_ms}}.dump(), 1'000);
    }
    note("workers leave every second order unanswered for " + std::to_string(for_ms) + " ms");
}

void site::hang_worker(int worker, std::int64_t for_ms) const
{
    (void)call(worker_ports_.at(static_cast<std::size_t>(worker)), "POST", "/rig/hang", {},
               json{{"for_ms", for_ms}}.dump(), 1'000);
    note("worker " + worker_name(worker) + " answers nothing for " + std::to_string(for_ms) +
         " ms");
}

void site::drain_worker(int worker) const
{
    (void)call(worker_ports_.at(static_cast<std::size_t>(worker)), "POST", "/rig/drain", {}, "{}",
               1'000);
    note("worker " + worker_name(worker) + " reports that it drains");
}

std::int64_t site::last_told(int worker) const
{
    return store_.last_told(worker_name(worker));
}

bool site::start()
{
    store_port_ = store_.listen();
    store_.put("op", "config", configuration());
    for (int worker = 0; worker < options_.workers; ++worker) {
        start_worker(worker);
    }
    for (int vm = 0; vm < options_.vms; ++vm) {
        start_vm(vm);
    }
    const auto until = now_ms() + 15'000;
    for (int vm = 0; vm < options_.vms;) {
        const auto ready = call(vm_ports_.at(static_cast<std::size_t>(vm)).ready, "GET",
                                "/-/readiness", {{"Host", "x"}}, "", 500);
        if (ready && ready->status == 200) {
            ++vm;
        } else if (now_ms() > until) {
            return false;
        } else {
            pause_ms(100);
        }
    }
    return true;
}

bool site::submit(int vm, const std::string& job, std::int64_t work_ms)
{
    const json step{
        {"count", 1}, {"cpu", 2'000}, {"mem_mb", 4'000}, {"gpu", 1}, {"estimate_ms", work_ms}};
    const json body{{"spec", json{{"work_ms", work_ms}}.dump()}, {"steps", {step}}};
    return submit_body(vm, job, body.dump());
}

bool site::submit_body(int vm, const std::string& job, const std::string& body)
{
    for (int attempt = 0; attempt < 5; ++attempt) {
        const auto answer =
            call(vm_ports_.at(static_cast<std::size_t>(vm)).front, "POST", prefix + job,
                 {{"Host", host}, {"Key", key}, {"Deadline-Ms", "3000"}}, body, 3'000);
        const auto status = answer ? answer->status : 0;
        note("client POST " + job + " at vm-" + std::to_string(vm + 1) + " -> " +
             std::to_string(status));
        if (status >= 200 && status < 300) {
            return true;
        }
        if (status == 429 || status == 503) {
            pause_ms(1'000);
        }
    }
    return false;
}

std::optional<response> site::get(int vm, const std::string& job, int timeout_ms) const
{
    return call(vm_ports_.at(static_cast<std::size_t>(vm)).front, "GET", prefix + job,
                {{"Host", host}, {"Key", key}, {"Deadline-Ms", std::to_string(timeout_ms)}}, "",
                timeout_ms);
}

std::string site::state_of(int vm, const std::string& job) const
{
    const auto answer = get(vm, job, 3'000);
    if (!answer) {
        return {};
    }
    const auto body = json::parse(answer->body, nullptr, false);
    const auto state = body.is_object() ? body.value("state", "") : std::string{};
    return answer->status == 200 ? state : std::to_string(answer->status);
}

std::optional<std::int64_t> site::waiting(int vm) const
{
    const auto answer = get(vm, "", 1'000);
    if (!answer || answer->status != 200) {
        return std::nullopt;
    }
    const auto body = json::parse(answer->body, nullptr, false);
    if (!body.is_object() || !body.contains("waiting")) {
        return std::nullopt;
    }
    return body.at("waiting").get<std::int64_t>();
}

std::vector<run_event> site::events() const
{
    std::vector<run_event> events;
    std::istringstream lines{read_file(record_)};
    std::string line;
    while (std::getline(lines, line)) {
        std::istringstream words{line};
        run_event event;
        std::string source;
        if (words >> event.at_ms >> source >> event.worker >> event.what >> event.task >>
                event.run &&
            source == "worker") {
            events.push_back(std::move(event));
        }
    }
    return events;
}

} // namespace rig
