#include "planning/ranking.hpp"

#include <tuple>

namespace poplarstile::planning
{
namespace
{

/// A job that ends after this many times its objective is of no use to its caller.
constexpr int max_useful_objectives = 3;
/// Fraction of the estimated remaining work that is taken as its minimum: estimates are rough, and
/// too long as often as too short.
constexpr double min_estimate_fraction = 0.85;

} // namespace

bool ranks_before(const work_rank& one, const work_rank& other)
{
    const auto key = [](const work_rank& rank) {
        return std::tuple{rank.overdue, rank.priority, !rank.guaranteed, rank.late,
                          rank.accepted_ms};
    };
    return key(one) < key(other);
}

timeliness timeliness_of(const ranking_input& facts)
{
    const auto min_remaining = std::chrono::duration_cast<base::milliseconds>(
        std::chrono::duration<double, std::milli>{facts.remaining} * min_estimate_fraction);
    const auto end = facts.age + min_remaining;
    if (facts.guaranteed || end <= facts.objective) {
        return timeliness::in_time;
    }
    return end <= facts.objective * max_useful_objectives ? timeliness::late : timeliness::overdue;
}

work_rank rank_of(const ranking_input& facts, std::int64_t accepted_ms)
{
    const auto expected = timeliness_of(facts);
    return {expected == timeliness::overdue, facts.priority, expected == timeliness::late,
            accepted_ms, facts.guaranteed};
}

} // namespace poplarstile::planning
