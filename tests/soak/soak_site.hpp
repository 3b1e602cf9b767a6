#pragma once

#include "base/result.hpp"
#include "integration/harness/process.hpp"
#include "net/http_client.hpp"

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

/// A site of real processes under random faults: VMs, one process for store and workers, and a
/// proxy on every connection between them.
namespace poplarstile::soak
{

struct site_shape {
    std::size_t vms = 4;
    std::size_t workers = 8;
    /// How long the state of an ended job is promised.
    std::chrono::seconds status_retention{10};
    /// The most that workers keep a lease for.
    base::milliseconds longest_lease{6'000};
    /// How long a task takes to end once it is told to stop; 200 ms are allowed.
    base::milliseconds stop_time{100};
    /// Merged into the settings of each VM (RFC 7396), such as `{"limits":{...}}`.
    nlohmann::json vm_settings = nlohmann::json::object();
    /// Each rack is a failure domain of its own that can be drained; else all workers are in one.
    bool domain_drains = false;
};

/// Within which nothing starts any more in a drained domain while the store is not disturbed.
constexpr base::milliseconds drain_bound{5'000};

/// Accelerators and cores of each worker.
constexpr std::int64_t worker_accelerators = 8;
constexpr std::int64_t worker_cpu_milli = 16'000;
constexpr std::uint32_t workers_of_rack = 4;

/// Runs of a task that fail before its job fails.
constexpr std::uint64_t max_runs_that_fail = 3;

constexpr const char* caller_host = "site.example";
constexpr const char* caller_key = "soak-key";
constexpr const char* urgent_prefix = "/urgent/";
constexpr const char* batch_prefix = "/batch/";

/// The site and all that can be done to it from outside. Thread-safe.
class soak_site
{
public:
    /// Starts everything in `folder` and waits until every VM takes calls. Error: what did not
    /// start.
    [[nodiscard]] static base::result<std::unique_ptr<soak_site>> start(const site_shape& shape,
                                                                        const std::string& folder);

    /// Kills what still runs.
    ~soak_site();
    soak_site(const soak_site&) = delete;
    soak_site& operator=(const soak_site&) = delete;

    [[nodiscard]] const std::vector<std::string>& vms() const
    {
        return vm_names_;
    }
    [[nodiscard]] const std::vector<std::string>& workers() const
    {
        return worker_names_;
    }
    /// Failure domains that can be drained; none unless the shape says so.
    [[nodiscard]] const std::vector<std::string>& domains() const
    {
        return domain_names_;
    }

    [[nodiscard]] std::chrono::seconds status_retention() const
    {
        return status_retention_;
    }

    // Processes.
    void signal_vm(const std::string& vm, int number);
    void kill_vm(const std::string& vm);
    /// Starts it if it isn't running.
    void ensure_vm(const std::string& vm);
    /// SIGTERM, then a wait of no longer than the grace; tells whether it ended well in time.
    [[nodiscard]] bool terminate_vm(const std::string& vm);
    /// VMs that ended though nobody ended them; each is named once.
    [[nodiscard]] std::vector<std::string> take_crashed();
    /// Process id of a VM that runs.
    [[nodiscard]] pid_t process_id(const std::string& vm);
    /// Writes other bounds into a VM's settings.
    void rewrite_settings(const std::string& vm, std::int64_t configuration_ms);

    // Faults.
    void set_link(const std::string& source, const std::string& target, const std::string& fault,
                  std::int64_t delay_ms = 0);
    void control_site(const std::string& path, const nlohmann::json& body);
    void heal_links();
    [[nodiscard]] nlohmann::json report();

    // Calls.
    /// Port of a VM's callers, past the proxy.
    [[nodiscard]] std::uint16_t caller_port(const std::string& vm) const
    {
        return places_.at(vm).callers;
    }
    /// The other ports of a VM, past the proxy.
    [[nodiscard]] std::uint16_t readiness_port(const std::string& vm) const
    {
        return places_.at(vm).readiness;
    }
    [[nodiscard]] std::uint16_t peer_port(const std::string& vm) const
    {
        return places_.at(vm).peers;
    }
    [[nodiscard]] std::uint16_t metrics_port(const std::string& vm) const
    {
        return places_.at(vm).metrics;
    }
    [[nodiscard]] net::http_reply call(const std::string& vm, const std::string& method,
                                       const std::string& path, std::string body = {});
    /// From now on each call opens a connection of its own: those kept open may have gone silent
    /// for good.
    void leave_open_connections();
    [[nodiscard]] bool is_ready(const std::string& vm);
    [[nodiscard]] bool await_ready(base::milliseconds longest);

private:
    struct vm_place {
        std::uint16_t callers = 0;
        std::uint16_t readiness = 0;
        std::uint16_t peers = 0;
        std::uint16_t metrics = 0;
        std::uint16_t store = 0;
        /// Ports of the proxy that lead to the ones above.
        std::uint16_t callers_proxy = 0;
        std::uint16_t peers_proxy = 0;
        std::uint16_t store_proxy = 0;
        std::map<std::string, std::uint16_t> worker_proxies{};
    };

    soak_site(const site_shape& shape, std::string folder);
    [[nodiscard]] base::result<void> start_parts();
    [[nodiscard]] base::result<void> choose_ports();
    void write_site_file() const;
    void write_proxy_file() const;
    [[nodiscard]] nlohmann::json settings_of(const std::string& vm) const;
    [[nodiscard]] base::result<void> start_process(const std::string& name,
                                                   const std::string& program,
                                                   const std::vector<std::string>& arguments);
    [[nodiscard]] base::result<void> await_answer(std::uint16_t port, const std::string& path);
    [[nodiscard]] net::http_reply send(std::uint16_t port, const std::string& method,
                                       const std::string& path, std::string body);

    std::string folder_;
    std::chrono::seconds status_retention_;
    base::milliseconds longest_lease_;
    std::vector<std::string> domain_names_;
    base::milliseconds stop_time_;
    nlohmann::json vm_settings_;
    /// Open socket that keeps a block of ports for this site.
    int block_holder_ = -1;
    std::vector<std::string> vm_names_;
    std::vector<std::string> worker_names_;
    std::map<std::string, vm_place> places_;
    std::map<std::string, std::uint16_t> worker_ports_;
    std::uint16_t site_control_ = 0;
    std::uint16_t proxy_control_ = 0;
    std::unique_ptr<net::http_client> client_;
    std::atomic<bool> fresh_connections_ = false;
    std::mutex mutex_;
    std::map<std::string, integration::process> processes_;
    /// VMs that we ended, or are about to.
    std::map<std::string, bool> expected_down_;
};

} // namespace poplarstile::soak
