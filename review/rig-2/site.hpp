#pragma once

#include "http.hpp"
#include "store.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

/// A small deployment: the platform's store in this process, workers and entry VMs as processes of
/// their own, and a client.
namespace rig
{

/// Bounds of the site file estenopo that the scripts rely on.
inline constexpr std::int64_t hold_max_ms = 6'000;
inline constexpr std::int64_t stop_ms = 200;
inline constexpr std::int64_t visible_ms = 3'000;
inline constexpr std::int64_t contact_ms = 3'000;
inline constexpr int heartbeat_ms = 1'500;

struct site_options {
    int vms = 3;
    int workers = 8;
    std::int64_t cpu = 32'000;
    std::int64_t memory = 65'536;
    std::int64_t gpu = 8;
    int max_attempts = 4;
};

/// What a worker wrote of a run.
struct run_event {
    std::int64_t at_ms = 0;
    std::string worker{};
    /// `start`, `late-start` for an order that the worker carried out late, or how the run ended.
    std::string what{};
    std::string task{};
    std::uint64_t run = 0;
};

class site
{
public:
    /// `folder` holds the settings and logs; what happens is written to `record`.
    site(site_options options, std::string folder, std::string record);
    ~site();
    site(const site&) = delete;
    site& operator=(const site&) = delete;

    /// Starts everything and waits until each VM says that it is ready.
    [[nodiscard]] bool start();

    void note(const std::string& line) const;

    /// Hands a job of one task in, as a client would: sent again after no answer. True when it was
    /// accepted.
    [[nodiscard]] bool submit(int vm, const std::string& job, std::int64_t work_ms);
    /// The same for any job; `body` is what the client sends.
    [[nodiscard]] bool submit_body(int vm, const std::string& job, const std::string& body);
    [[nodiscard]] std::optional<response> get(int vm, const std::string& job, int timeout_ms) const;
    /// The state of a job that a VM shows; empty without a whole answer.
    [[nodiscard]] std::string state_of(int vm, const std::string& job) const;
    /// The number of waiting jobs that a VM tells.
    [[nodiscard]] std::optional<std::int64_t> waiting(int vm) const;

    void start_worker(int worker);
    /// SIGKILL.
    void crash_worker(int worker);
    /// For so long every second order to any worker is not answered and carried out late.
    void make_orders_late(std::int64_t for_ms) const;
    /// For so long the worker answers nothing and does nothing that it is told.
    void hang_worker(int worker, std::int64_t for_ms) const;
    /// The worker reports that it drains. It serves on until it is killed.
    void drain_worker(int worker) const;
    /// When the last of the readers of its registration was told of the newest one; 0 if none was.
    [[nodiscard]] std::int64_t last_told(int worker) const;

    /// All that the workers have written so far.
    [[nodiscard]] std::vector<run_event> events() const;

    [[nodiscard]] static std::string worker_name(int worker);

private:
    [[nodiscard]] std::string render_settings(int vm) const;
    void start_vm(int vm);
    [[nodiscard]] std::string configuration() const;

    struct vm_ports {
        int front = 0;
        int ready = 0;
        int control = 0;
        int metrics = 0;
    };

    site_options options_;
    std::string folder_;
    std::string record_;
    /// Lives as long as the process, like the threads that serve it.
    store& store_ = *new store;
    int store_port_ = 0;
    std::vector<vm_ports> vm_ports_;
    std::vector<int> worker_ports_;
    std::vector<pid_t> vms_;
    std::vector<pid_t> workers_;
};

} // namespace rig
