#pragma once

#include "base/result.hpp"
#include "bench/checker/history.hpp"
#include "bench/checker/promises.hpp"
#include "integration/harness/process.hpp"
#include "net/http_client.hpp"

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

/// A whole deployment of real processes on free loopback ports: platform, workers, fault proxy and
/// entry VMs. Everything that a VM sends goes through its own source port of the fault proxy.
namespace poplarstile::integration
{

struct cluster_options {
    std::vector<std::string> domains{"centro"};
    std::size_t vms_per_domain = 2;
    std::size_t workers_per_domain = 3;
    std::uint32_t slots = 8;
    std::uint32_t accelerators = 8;
    /// Applied once the VMs answer; empty for none.
    std::string rules{};
    /// Merged into each VM's settings (RFC 7396), such as `{"limits":{...}}`.
    nlohmann::json settings = nlohmann::json::object();
};

/// Rules with one class of each kind and two workspaces, for tests of requests.
[[nodiscard]] std::string request_rules();

/// A short request as a test states it.
struct short_request {
    std::string service = "chart";
    std::string workspace = "kits";
    std::string key{};
    /// Names the work in the body and in the worker's records.
    std::string marker{};
    base::milliseconds service_time{5};
    base::milliseconds deadline{4'000};
    /// Through the fault proxy, so that the callers' side can be cut; else straight to the VM.
    bool through_proxy = false;
};

/// A caller's answer, read.
struct short_answer {
    bench::checker::answer told = bench::checker::answer::no_answer;
    std::uint16_t status = 0;
    unsigned code = 0;
    std::string marker{};
    nlohmann::json body{};
};

class cluster
{
public:
    /// Starts everything, applies the rules and waits until every VM takes work.
    /// Error: what could not be started, with the end of its log.
    [[nodiscard]] static base::result<std::unique_ptr<cluster>>
    start(const cluster_options& options);

    /// Stops every process; prints the end of each log when the running test has failed.
    ~cluster();
    cluster(const cluster&) = delete;
    cluster& operator=(const cluster&) = delete;

    /// Names such as `centro-vm1` and `centro-w1`, in order.
    [[nodiscard]] const std::vector<std::string>& vms() const
    {
        return vm_names_;
    }
    [[nodiscard]] const std::vector<std::string>& workers() const
    {
        return worker_names_;
    }

    // Processes.
    [[nodiscard]] process& vm(const std::string& name);
    [[nodiscard]] process& platform();
    /// Kills, notes the fault for the checker.
    void kill_vm(const std::string& name);
    /// SIGTERM, noted for the checker.
    void terminate_vm(const std::string& name);
    /// Starts a VM that ended; waits until it answers, and takes work if `ready`.
    [[nodiscard]] bool restart_vm(const std::string& name, bool ready = true);
    [[nodiscard]] bool wait_ready(const std::string& name, base::milliseconds longest);

    // Faults. Link names are VM, worker and domain-free names: sources are VMs or `callers-VM`,
    // targets `platform`, worker names, VM names (callers' side) and `peer-VM`.
    void set_link(std::string_view source, std::string_view target, std::string_view fault,
                  base::milliseconds delay = base::milliseconds{0});
    void heal_links();
    void set_platform(const nlohmann::json& faults);
    void set_worker(const std::string& worker, const nlohmann::json& faults);

    // Calls.
    [[nodiscard]] short_answer request(const std::string& vm, const short_request& asked);
    /// Any call to a VM's callers' port, such as `POST /v1/jobs`.
    [[nodiscard]] net::http_reply caller_call(const std::string& vm, net::http_call call);
    /// Any call to a VM's operator port, with the key. Never through the proxy.
    [[nodiscard]] net::http_reply operator_call(const std::string& vm, net::http_call call);
    /// Version in force, or an error's text as JSON.
    [[nodiscard]] net::http_reply apply_rules(const std::string& vm, const std::string& text,
                                              const std::string& author = "test");
    [[nodiscard]] nlohmann::json status(const std::string& vm);
    [[nodiscard]] nlohmann::json events(const std::string& vm, std::string_view subject = {});
    [[nodiscard]] nlohmann::json records();
    [[nodiscard]] nlohmann::json rows(std::string_view prefix);

    // Judging.
    /// Everything seen so far: requests made by `request`, workers' records and faults.
    [[nodiscard]] bench::checker::history history();
    /// How often work of this marker was started on any worker.
    [[nodiscard]] std::size_t executions_of(std::string_view marker);

    /// Addresses, for tests that open connections themselves.
    [[nodiscard]] std::uint16_t caller_port(const std::string& vm) const;
    [[nodiscard]] std::uint16_t operator_port(const std::string& vm) const;
    [[nodiscard]] std::uint16_t peer_port(const std::string& vm) const;
    [[nodiscard]] const std::string& log_folder() const
    {
        return folder_;
    }

private:
    struct vm_place {
        std::string domain{};
        std::uint16_t caller = 0;
        std::uint16_t peer = 0;
        std::uint16_t operators = 0;
        std::uint16_t source = 0;
        std::uint16_t forward = 0;
    };
    struct worker_seat {
        std::string domain{};
        std::uint16_t port = 0;
        std::uint32_t position = 0;
    };

    explicit cluster(cluster_options options);
    [[nodiscard]] base::result<void> start_parts();
    void choose_ports();
    void write_files() const;
    [[nodiscard]] nlohmann::json settings_of(const std::string& vm) const;
    [[nodiscard]] base::result<void> start_process(const std::string& name,
                                                   const std::string& program,
                                                   const std::vector<std::string>& arguments);
    [[nodiscard]] base::result<void> start_vm(const std::string& name);
    [[nodiscard]] base::result<void> await(const std::string& name, std::uint16_t port,
                                           std::string_view path);
    void note_fault(bench::checker::fault_kind kind, const std::string& subject);
    net::http_reply control(std::uint16_t port, std::string_view path, const nlohmann::json& body);
    [[nodiscard]] nlohmann::json get(std::uint16_t port, std::string_view path);
    [[nodiscard]] std::string log_end(const std::string& name) const;

    cluster_options options_;
    std::string folder_;
    std::vector<std::string> vm_names_;
    std::vector<std::string> worker_names_;
    std::map<std::string, vm_place> vm_places_;
    std::map<std::string, worker_seat> worker_seats_;
    std::uint16_t platform_port_ = 0;
    std::uint16_t workers_control_ = 0;
    std::uint16_t proxy_control_ = 0;
    std::map<std::string, process> processes_;
    std::unique_ptr<net::http_client> client_;
    std::mutex notes_mutex_;
    std::vector<bench::checker::request_note> notes_;
    std::vector<bench::checker::fault> faults_;
    std::uint64_t next_request_ = 1;
};

/// Calls `holds` until it is true or `longest` has passed; returns its last word.
[[nodiscard]] bool eventually(base::milliseconds longest, const std::function<bool()>& holds);

/// Broken promises as text, one a line; empty when there is none.
[[nodiscard]] std::string describe(const std::vector<bench::checker::violation>& found);

} // namespace poplarstile::integration
