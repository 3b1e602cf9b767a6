#pragma once

#include <cstdint>
#include <string>

/// One worker in a process of its own, as the users' pages describe it: runs under a lease, fencing
/// tokens, numbered ends. A task works for as long as its spec says: {"work_ms":N}; with
/// "fails":true it then fails. Its capacity isn't guarded. Disruptions, each {"for_ms":N}:
/// - POST /rig/late: every second order of a kind gets no answer and is carried out 2.5 to 11.6 s
/// after it came;
/// - POST /rig/drain, {}: it reports that it drains, and serves on;
/// - POST /rig/hang: no order gets an answer, and nothing is done for it; tasks go on.
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
