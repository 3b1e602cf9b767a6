// Clients outside the limits, on all ports of some VMs, beside the other faults.
#include "soak/soak_crowds.hpp"

#include "soak/crowd_requests.hpp"
#include "soak/soak_faults.hpp"
#include "support/process_usage.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cstdint>
#include <random>
#include <utility>

namespace poplarstile::soak
{
namespace
{

constexpr std::uint64_t crowds_salt = 0x5f2c1d7ab06e9341;
constexpr int shortest_pause_ms = 200;
constexpr int longest_pause_ms = 1'500;
constexpr int shortest_stay_ms = 1'000;
constexpr int longest_stay_ms = 5'000;
constexpr std::size_t clients = 64;
constexpr std::size_t clients_of_other_ports = 8;
constexpr std::size_t unended_bytes = 200'000;
constexpr std::uint64_t memory_mb = 120;
constexpr std::uint64_t kib_of_mb = 1'024;
constexpr std::size_t descriptors = 512;
constexpr std::size_t caller_connections = 64;

std::string caller_text(std::string_view variant)
{
    if (variant == "unread_answers") {
        return pipelined("GET", submission_path());
    }
    if (variant == "empty_steps") {
        return whole_post(submission_path(), empty_steps());
    }
    if (variant == "many_members") {
        return whole_post(submission_path(), many_members());
    }
    if (variant == "unended_texts") {
        return pipelined_unended_texts();
    }
    if (variant == "tiny_chunks") {
        return unended_tiny_chunks();
    }
    return post_with_length(submission_path(), unended_bytes).append(unended_bytes - 1, 'b');
}

} // namespace

std::vector<planned_fault> plan_client_crowds(std::uint64_t seed, std::span<const std::string> vms,
                                              base::milliseconds span)
{
    std::mt19937_64 random{seed ^ crowds_salt};
    const auto between = [&random](int least, int most) {
        return base::milliseconds{std::uniform_int_distribution{least, most}(random)};
    };
    const auto pick = [&random](const auto& from) {
        return from[std::uniform_int_distribution<std::size_t>{0, from.size() - 1}(random)];
    };
    std::vector<planned_fault> faults;
    for (auto at = between(shortest_pause_ms, longest_pause_ms); at < span;
         at += between(shortest_pause_ms, longest_pause_ms)) {
        planned_fault crowd;
        crowd.at = at;
        crowd.lasts = std::min(between(shortest_stay_ms, longest_stay_ms), span - at);
        crowd.kind = fault_kind::client_crowd;
        crowd.vm = pick(vms);
        crowd.variant = std::string{pick(crowd_variants)};
        faults.push_back(std::move(crowd));
    }
    return faults;
}

std::unique_ptr<tests::insistent_crowd>
start_client_crowd(const soak_site& site, const std::string& vm, std::string_view variant)
{
    using tests::insistent_crowd;
    if (variant == "peer_texts") {
        return std::make_unique<insistent_crowd>(site.peer_port(vm), clients_of_other_ports,
                                                 whole_post("/peer", message_of_many_texts()));
    }
    if (variant == "metrics") {
        return std::make_unique<insistent_crowd>(site.metrics_port(vm), clients_of_other_ports,
                                                 pipelined("GET", "/metrics"));
    }
    return std::make_unique<insistent_crowd>(site.caller_port(vm), clients, caller_text(variant));
}

nlohmann::json limits_beside_crowds()
{
    return {{"limits",
             {{"memory_mb", memory_mb},
              {"descriptors", descriptors},
              {"caller_connections", caller_connections}}}};
}

std::vector<std::string> judge_usage(soak_site& site)
{
    std::vector<std::string> violations;
    for (const auto& vm : site.vms()) {
        const auto process = site.process_id(vm);
        const auto peak = tests::status_kib(process, "VmHWM:");
        const auto open = tests::open_descriptors(process);
        if (peak > memory_mb * kib_of_mb || open > descriptors) {
            violations.push_back(fmt::format("{}: peak of {} KiB, {} descriptors", vm, peak, open));
        }
    }
    return violations;
}

} // namespace poplarstile::soak
