// Workers that are cut off, crash behind the cut and come back as other incarnations.
#include "soak/soak_faults.hpp"

#include <algorithm>
#include <array>
#include <random>

namespace poplarstile::soak
{
namespace
{

constexpr std::uint64_t rebirths_salt = 0x8cb92ba72f3d8dd7;
constexpr std::array<const char*, 4> cuts{"cut", "blackhole", "silence_open", "refuse"};
constexpr int shortest_cut_ms = 1'000;
constexpr int longest_cut_ms = 2'000;
/// Three times in a row, so that many tasks meet two crashes and none meets the fourth, after which
/// it would be given up.
constexpr int times_in_row = 3;
constexpr int shortest_gap_ms = 2'000;
constexpr int longest_gap_ms = 2'600;
constexpr int shortest_rest_ms = 4'000;
constexpr int longest_rest_ms = 5'000;
constexpr double leader_strike_share = 0.2;

} // namespace

std::vector<planned_fault> plan_rebirths(std::uint64_t seed, std::span<const std::string> workers,
                                         base::milliseconds span)
{
    std::mt19937_64 random{seed ^ rebirths_salt};
    const auto between = [&random](int least, int most) {
        return base::milliseconds{std::uniform_int_distribution{least, most}(random)};
    };
    std::vector<std::string> order{workers.begin(), workers.end()};
    std::vector<planned_fault> faults;
    int times = 0;
    for (auto at = between(shortest_rest_ms, longest_rest_ms); at < span;
         at += ++times % times_in_row == 0 ? between(shortest_rest_ms, longest_rest_ms)
                                           : between(shortest_gap_ms, longest_gap_ms)) {
        std::shuffle(order.begin(), order.end(), random);
        // Two in five to a half of them at once.
        const auto all = static_cast<int>(order.size());
        const auto struck = static_cast<std::size_t>(
            between(std::max(1, all * 2 / 5), std::max(1, all / 2)).count());
        const auto lasts = between(shortest_cut_ms, longest_cut_ms);
        for (const auto& worker : std::span{order}.first(struck)) {
            planned_fault fault;
            fault.at = at;
            fault.lasts = lasts;
            fault.kind = fault_kind::worker_reborn_apart;
            fault.worker = worker;
            fault.variant = cuts.at(
                static_cast<std::size_t>(between(0, static_cast<int>(cuts.size()) - 1).count()));
            fault.delay = between(0, static_cast<int>(lasts.count()));
            faults.push_back(std::move(fault));
        }
        if (std::uniform_real_distribution{0.0, 1.0}(random) < leader_strike_share) {
            faults.push_back({at + between(0, 500),
                              between(300, 1'500),
                              fault_kind::vm_terminated,
                              std::string{leading_vm},
                              {},
                              {}});
        }
    }
    std::ranges::stable_sort(faults, {}, &planned_fault::at);
    return faults;
}

} // namespace poplarstile::soak
