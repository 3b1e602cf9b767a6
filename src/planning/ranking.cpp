#include "planning/ranking.hpp"

#include <tuple>

namespace poplarstile::planning
{
namespace
{

/// Beyond this many times its objective a job's end is of no use to its caller.
constexpr int useful_objectives = 3;
/// Part of the work that is left by the estimates, which are rough and as often too long.
constexpr double least_part_of_estimate = 0.85;

} // namespace

bool goes_before(const work_rank& one, const work_rank& other)
{
    const auto key = [](const work_rank& rank) {
        return std::tuple{rank.overdue, rank.priority, rank.late, rank.accepted_ms};
    };
    return key(one) < key(other);
}

outlook outlook_of(const ranking_input& facts)
{
    const auto least_left = std::chrono::duration_cast<base::milliseconds>(
        std::chrono::duration<double, std::milli>{facts.remaining} * least_part_of_estimate);
    const auto end = facts.age + least_left;
    if (facts.guaranteed || end <= facts.objective) {
        return outlook::in_time;
    }
    return end <= facts.objective * useful_objectives ? outlook::late : outlook::overdue;
}

work_rank rank_of(const ranking_input& facts, std::int64_t accepted_ms)
{
    const auto expected = outlook_of(facts);
    return {expected == outlook::overdue, facts.priority, expected == outlook::late, accepted_ms};
}

} // namespace poplarstile::planning
