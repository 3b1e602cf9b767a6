// Leaders that change again and again while workers carry out orders late and lose answers.
#include "soak/soak_faults.hpp"

#include <algorithm>
#include <array>
#include <random>

namespace poplarstile::soak
{
namespace
{

constexpr std::uint64_t handovers_salt = 0x9fb21c651e98df25;
constexpr std::array<fault_kind, 5> ends_of_a_leader{
    fault_kind::vm_terminated, fault_kind::vm_terminated, fault_kind::vm_killed,
    fault_kind::vm_killed, fault_kind::vm_paused};
/// Of the workers, those that are silent together; the others have to hold the load.
constexpr double silent_share = 0.5;
/// Longer than a lease and a poll: what they run is given up, ends as done there, and is found when
/// they answer again. No leader changes meanwhile, since a successor would count the lease anew.
constexpr int shortest_silence_ms = 6'400;
constexpr int longest_silence_ms = 7'300;
/// Hand-overs begin when the ends on the silent workers have been noted, and other runs of the same
/// tasks are being stopped.
constexpr int earliest_handover_ms = 300;
constexpr int latest_handover_ms = 1'000;
/// A leader serves for about so long before the next hand-over.
constexpr int shortest_gap_ms = 500;
constexpr int longest_gap_ms = 1'300;
/// Its successor is struck as it takes over.
constexpr double successor_share = 0.25;
constexpr double late_share = 0.8;
constexpr double lossy_store_share = 0.2;

} // namespace

std::vector<planned_fault> plan_handovers(std::uint64_t seed, std::span<const std::string> workers,
                                          base::milliseconds span)
{
    std::mt19937_64 random{seed ^ handovers_salt};
    const auto between = [&random](int least, int most) {
        return base::milliseconds{std::uniform_int_distribution{least, most}(random)};
    };
    const auto chance = [&random](double share) {
        return std::uniform_real_distribution{0.0, 1.0}(random) < share;
    };
    std::vector<planned_fault> faults;
    const auto strike_leader = [&](base::milliseconds at) {
        const auto kind = ends_of_a_leader.at(static_cast<std::size_t>(
            between(0, static_cast<int>(ends_of_a_leader.size()) - 1).count()));
        faults.push_back({at, between(300, 2'500), kind, std::string{leading_vm}, {}, {}});
    };
    std::vector<std::string> order{workers.begin(), workers.end()};
    std::shuffle(order.begin(), order.end(), random);
    const auto silent = std::span{order}.first(
        static_cast<std::size_t>(static_cast<double>(order.size()) * silent_share));
    const auto silent_at = between(700, 1'500);
    const auto silent_for = between(shortest_silence_ms, longest_silence_ms);
    for (const auto& worker : silent) {
        faults.push_back({silent_at + between(0, 300),
                          silent_for,
                          fault_kind::worker_calls,
                          {},
                          worker,
                          "swallow"});
    }
    const auto answers_at = silent_at + silent_for;
    for (auto at = answers_at + between(earliest_handover_ms, latest_handover_ms); at < span;
         at += between(shortest_gap_ms, longest_gap_ms)) {
        strike_leader(at);
        if (const auto next = at + between(200, 900); chance(successor_share) && next < span) {
            strike_leader(next);
        }
        if (chance(lossy_store_share)) {
            faults.push_back({std::max(at - between(100, 800), base::milliseconds{0}),
                              between(500, 2'000),
                              fault_kind::store_calls,
                              std::string{leading_vm},
                              {},
                              chance(0.5) ? "lose_answer" : "late"});
        }
    }
    // Each worker has spans in which some orders to it are late or lose their answers.
    for (const auto& worker : workers) {
        const bool was_silent = std::ranges::find(silent, worker) != silent.end();
        for (auto at = was_silent ? answers_at + between(300, 500) : between(2'000, 4'000);
             at < span;) {
            const auto lasts = between(1'500, 5'000);
            faults.push_back({at,
                              lasts,
                              fault_kind::worker_calls,
                              {},
                              worker,
                              chance(late_share) ? "some_late" : "some_lost"});
            at += lasts + between(50, 800);
        }
    }
    std::ranges::stable_sort(faults, {}, &planned_fault::at);
    return faults;
}

} // namespace poplarstile::soak
