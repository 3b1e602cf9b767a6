#pragma once

#include <cstdint>
#include <string>

/// One worker in a process of its own, as the users' pages describe it: runs under a lease, fencing
/// tokens, numbered ends. A task works for as long as its spec says: {"work_ms":N}. Its capacity
/// isn't guarded.
namespace rig
{

struct worker_options {
    std::string id{};
    int port = 0;
    int store_port = 0;
    std::string service{};
    std::string rack{};
    std::int64_t cpu = 0;
    std::int64_t memory = 0;
    std::int64_t gpu = 0;
    std::int64_t hold_max_ms = 0;
    std::int64_t stop_ms = 0;
    int beat_ms = 0;
    /// What begins and ends is appended to this file.
    std::string record{};
};

/// Runs until the process is killed. Returns an exit code when the port can't be had.
int run_worker(const worker_options& options);

} // namespace rig
