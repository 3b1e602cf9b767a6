#pragma once

#include "integration/harness/cluster.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <chrono>
#include <optional>
#include <string>
#include <thread>

/// What tests of the VMs acting together ask of a cluster besides short requests.
namespace poplarstile::integration
{

inline void wait(base::milliseconds length)
{
    std::this_thread::sleep_for(length);
}

/// The VM that says of itself that it schedules, among those that answer.
[[nodiscard]] inline std::optional<std::string> scheduler_of(cluster& system,
                                                             std::string_view domain)
{
    for (const auto& vm : system.vms()) {
        if (!vm.starts_with(domain) || !system.vm(vm).running()) {
            continue;
        }
        const auto status = system.status(vm);
        if (status.is_object() && status["scheduler"].value("active", false)) {
            return vm;
        }
    }
    return std::nullopt;
}

/// Waits until a VM of the domain schedules.
[[nodiscard]] inline std::string await_scheduler(cluster& system, std::string_view domain)
{
    std::optional<std::string> found;
    EXPECT_TRUE(eventually(base::milliseconds{8'000},
                           [&] {
                               found = scheduler_of(system, domain);
                               return found.has_value();
                           }))
        << "no VM schedules " << domain;
    return found.value_or(std::string{});
}

/// A VM of the domain other than `vm`.
[[nodiscard]] inline std::string other_than(cluster& system, const std::string& vm)
{
    for (const auto& other : system.vms()) {
        if (other != vm && system.vm(other).running()) {
            return other;
        }
    }
    return {};
}

[[nodiscard]] inline net::http_reply submit_job(cluster& system, const std::string& vm,
                                                const std::string& key, const std::string& shape,
                                                std::int64_t run_ms)
{
    const nlohmann::json body{{"class", "chart"},
                              {"shape", shape},
                              {"declared_run_ms", run_ms},
                              {"checkpointable", true},
                              {"payload", {{"run_ms", run_ms}}}};
    return system.caller_call(vm, {.method = "POST",
                                   .url = "/v1/jobs",
                                   .headers = {{"X-Workspace", "kits"}, {"Idempotency-Key", key}},
                                   .body = body.dump(),
                                   .timeout = base::milliseconds{5'000}});
}

/// The job's id; empty when it was not accepted.
[[nodiscard]] inline std::string job_of(const net::http_reply& reply)
{
    const auto body = nlohmann::json::parse(reply.body, nullptr, false);
    return reply.status == 202 ? body.value("job", std::string{}) : std::string{};
}

[[nodiscard]] inline std::string job_state(cluster& system, const std::string& vm,
                                           const std::string& job)
{
    const auto reply = system.caller_call(vm, {.url = "/v1/jobs/" + job});
    const auto body = nlohmann::json::parse(reply.body, nullptr, false);
    return body.is_object() ? body.value("state", std::string{}) : std::string{};
}

/// Tasks of a job that were started on any worker.
[[nodiscard]] inline std::vector<nlohmann::json> started_tasks(cluster& system,
                                                               const std::string& job)
{
    std::vector<nlohmann::json> found;
    for (const auto& task : system.records().value("tasks", nlohmann::json::array())) {
        if (task.value("job", std::string{}) == job &&
            task.value("released_us", std::int64_t{0}) > 0) {
            found.push_back(task);
        }
    }
    return found;
}

[[nodiscard]] inline std::uint64_t rules_version(cluster& system, const std::string& vm)
{
    const auto status = system.status(vm);
    return status.is_object() ? status.value("rules_version", std::uint64_t{0}) : 0;
}

/// Asks a VM to put rules into force that were made from a version.
[[nodiscard]] inline net::http_reply apply(cluster& system, const std::string& vm,
                                           const std::string& text, std::uint64_t base,
                                           const std::string& author)
{
    const nlohmann::json body{{"text", text}, {"author", author}, {"base_version", base}};
    return system.operator_call(vm, {.method = "POST",
                                     .url = "/v1/rules",
                                     .body = body.dump(),
                                     .timeout = base::milliseconds{12'000}});
}

/// Cuts what a VM sends to every other VM and what they send to it.
inline void cut_from_peers(cluster& system, const std::string& vm, std::string_view fault = "cut")
{
    for (const auto& other : system.vms()) {
        if (other != vm) {
            system.set_link(vm, "peer-" + other, fault);
            system.set_link(other, "peer-" + vm, fault);
        }
    }
}

/// The times of docs/SETTINGS.md in place of the short ones of tests, for measurements.
[[nodiscard]] inline nlohmann::json default_times()
{
    return {{"times",
             {{"worker_heartbeat_ms", 500},
              {"worker_lease_ms", 3'000},
              {"scheduler_renewal_ms", 500},
              {"scheduler_timeout_ms", 1'500},
              {"rules_poll_ms", 1'000},
              {"gossip_interval_ms", 500},
              {"suspicion_timeout_ms", 2'000},
              {"vm_list_poll_ms", 2'000}}}};
}

[[nodiscard]] inline std::int64_t ms_since(base::time_point start)
{
    return std::chrono::duration_cast<base::milliseconds>(base::now() - start).count();
}

/// Prints a measured time and keeps it in the test's report.
inline void report_ms(const std::string& name, std::int64_t milliseconds)
{
    testing::Test::RecordProperty(name, fmt::format("{}", milliseconds));
    fmt::print("[ MEASURED ] {}: {} ms\n", name, milliseconds);
}

} // namespace poplarstile::integration
