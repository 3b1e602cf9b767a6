#include "soak/soak_faults.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <random>

namespace poplarstile::soak
{
namespace
{

struct kind_weight {
    fault_kind kind;
    std::string_view name;
    /// How often it comes beside the others.
    double weight;
};

constexpr std::array<kind_weight, 17> kinds{{{fault_kind::vm_killed, "vm_killed", 4},
                                             {fault_kind::vm_paused, "vm_paused", 4},
                                             {fault_kind::vm_terminated, "vm_terminated", 2},
                                             {fault_kind::rolling_restart, "rolling_restart", 1},
                                             {fault_kind::power_lost, "power_lost", 0.5},
                                             {fault_kind::settings_changed, "settings_changed", 1},
                                             {fault_kind::store_link, "store_link", 4},
                                             {fault_kind::worker_link, "worker_link", 4},
                                             {fault_kind::peer_link, "peer_link", 3},
                                             {fault_kind::caller_link, "caller_link", 2},
                                             {fault_kind::store_calls, "store_calls", 4},
                                             {fault_kind::store_part, "store_part", 1},
                                             {fault_kind::store_history, "store_history", 1},
                                             {fault_kind::worker_crashed, "worker_crashed", 2},
                                             {fault_kind::worker_reborn, "worker_reborn", 2},
                                             {fault_kind::worker_drained, "worker_drained", 1},
                                             {fault_kind::worker_calls, "worker_calls", 3}}};

constexpr std::array<const char*, 6> link_variants{"cut",   "blackhole",    "silence_open",
                                                   "delay", "drop_answers", "drop_requests"};
constexpr std::array<const char*, 4> store_variants{"refuse", "swallow", "lose_answer", "late"};
constexpr std::array<const char*, 4> worker_variants{"unavailable", "swallow", "lose_answer",
                                                     "late"};
constexpr std::array<int, 4> shrunk_percents{0, 25, 50, 75};
constexpr int longest_shrink_gap_ms = 2'000;
constexpr int shortest_shrink_ms = 1'000;
constexpr int longest_shrink_ms = 9'000;
constexpr double mean_gap_ms = 600;
constexpr int shortest_ms = 200;
constexpr int longest_ms = 4'000;
constexpr int longest_delay_ms = 400;
/// The scheduler meets more than its share.
constexpr double leader_share = 0.4;
constexpr double everywhere_share = 0.15;

class planner
{
public:
    planner(std::uint64_t seed, std::span<const std::string> vms,
            std::span<const std::string> workers)
        : random_{seed}, vms_{vms}, workers_{workers}
    {
    }

    base::milliseconds gap()
    {
        return base::milliseconds{
            static_cast<std::int64_t>(std::exponential_distribution{1.0 / mean_gap_ms}(random_))};
    }

    planned_fault draw(base::milliseconds at)
    {
        planned_fault fault;
        fault.at = at;
        fault.kind = draw_kind();
        fault.lasts = base::milliseconds{between(shortest_ms, longest_ms)};
        fault.vm = draw_vm(fault.kind);
        fault.delay = base::milliseconds{between(1, longest_delay_ms)};
        choose_variant(fault);
        return fault;
    }

private:
    int between(int least, int most)
    {
        return std::uniform_int_distribution{least, most}(random_);
    }
    double share()
    {
        return std::uniform_real_distribution{0.0, 1.0}(random_);
    }
    template <class Choices>
    auto one_of(const Choices& choices)
    {
        return choices[static_cast<std::size_t>(between(0, static_cast<int>(choices.size()) - 1))];
    }

    fault_kind draw_kind()
    {
        std::vector<double> weights;
        weights.reserve(kinds.size());
        for (const auto& entry : kinds) {
            weights.push_back(entry.weight);
        }
        std::discrete_distribution<std::size_t> drawn{weights.begin(), weights.end()};
        return kinds.at(drawn(random_)).kind;
    }

    std::string draw_vm(fault_kind kind)
    {
        const bool may_be_all = kind == fault_kind::store_link || kind == fault_kind::store_calls ||
                                kind == fault_kind::peer_link || kind == fault_kind::caller_link;
        const auto drawn = share();
        if (drawn < leader_share) {
            return std::string{leading_vm};
        }
        if (may_be_all && drawn < leader_share + everywhere_share) {
            return std::string{every_vm};
        }
        return one_of(vms_);
    }

    void choose_variant(planned_fault& fault)
    {
        switch (fault.kind) {
        case fault_kind::worker_link:
            fault.worker = share() < everywhere_share ? "*" : one_of(workers_);
            fault.variant = one_of(link_variants);
            break;
        case fault_kind::store_link:
        case fault_kind::peer_link:
        case fault_kind::caller_link:
            fault.variant = one_of(link_variants);
            break;
        case fault_kind::store_calls:
            fault.variant = one_of(store_variants);
            break;
        case fault_kind::store_part:
            fault.variant = fmt::format("site-{}", between(0, 3));
            break;
        case fault_kind::worker_calls:
            fault.variant = one_of(worker_variants);
            fault.worker = one_of(workers_);
            break;
        case fault_kind::worker_crashed:
        case fault_kind::worker_reborn:
        case fault_kind::worker_drained:
            fault.worker = one_of(workers_);
            break;
        default:
            break;
        }
    }

    std::mt19937_64 random_;
    std::span<const std::string> vms_;
    std::span<const std::string> workers_;
};

} // namespace

std::string_view name_of(fault_kind kind)
{
    for (const auto& entry : kinds) {
        if (entry.kind == kind) {
            return entry.name;
        }
    }
    switch (kind) {
    case fault_kind::worker_shrunk:
        return "worker_shrunk";
    case fault_kind::registrations_lapsed:
        return "registrations_lapsed";
    case fault_kind::worker_cut_off:
        return "worker_cut_off";
    case fault_kind::worker_serving_out:
        return "worker_serving_out";
    case fault_kind::worker_reborn_apart:
        return "worker_reborn_apart";
    case fault_kind::domain_drained:
        return "domain_drained";
    case fault_kind::client_crowd:
        return "client_crowd";
    default:
        return "unknown";
    }
}

std::vector<planned_fault> plan_faults(std::uint64_t seed, std::span<const std::string> vms,
                                       std::span<const std::string> workers,
                                       base::milliseconds span)
{
    planner plan{seed, vms, workers};
    std::vector<planned_fault> faults;
    for (auto at = plan.gap(); at < span; at += plan.gap()) {
        faults.push_back(plan.draw(at));
    }
    return faults;
}

std::vector<planned_fault> plan_capacity_changes(std::uint64_t seed,
                                                 std::span<const std::string> workers,
                                                 base::milliseconds span)
{
    std::mt19937_64 random{~seed};
    const auto between = [&random](int least, int most) {
        return std::uniform_int_distribution{least, most}(random);
    };
    std::vector<planned_fault> faults;
    for (base::milliseconds at{between(1, longest_shrink_gap_ms)}; at < span;
         at += base::milliseconds{between(1, longest_shrink_gap_ms)}) {
        planned_fault fault;
        fault.at = at;
        fault.kind = fault_kind::worker_shrunk;
        fault.lasts = base::milliseconds{between(shortest_shrink_ms, longest_shrink_ms)};
        const auto last = static_cast<int>(workers.size()) - 1;
        fault.worker = workers[static_cast<std::size_t>(between(0, last))];
        fault.percent = shrunk_percents.at(
            static_cast<std::size_t>(between(0, static_cast<int>(shrunk_percents.size()) - 1)));
        faults.push_back(std::move(fault));
    }
    return faults;
}

std::vector<planned_fault> merge_plans(std::vector<planned_fault> faults,
                                       const std::vector<planned_fault>& more)
{
    faults.insert(faults.end(), more.begin(), more.end());
    std::ranges::stable_sort(faults, {}, &planned_fault::at);
    return faults;
}

std::string describe(const planned_fault& fault)
{
    if (fault.kind == fault_kind::worker_shrunk) {
        return fmt::format("at {} ms for {} ms: worker_shrunk worker={} to {} %", fault.at.count(),
                           fault.lasts.count(), fault.worker, fault.percent);
    }
    return fmt::format("at {} ms for {} ms: {} vm={} worker={} variant={} delay={} ms",
                       fault.at.count(), fault.lasts.count(), name_of(fault.kind), fault.vm,
                       fault.worker, fault.variant, fault.delay.count());
}

} // namespace poplarstile::soak
