#pragma once

#include "planning/plan_types.hpp"
#include "planning/site_view.hpp"

#include <optional>
#include <span>
#include <vector>

namespace poplarstile::planning
{

/// What has to stop so that a unit finds room, and where the unit then goes.
struct reclaim_plan {
    std::vector<std::size_t> victims{};
    std::vector<assignment> tasks{};
    /// Core-seconds lost by the victims.
    double loss = 0.0;
};

/// The victims of one plan by worker, the cheapest first, and which of them stop already.
class victim_book
{
public:
    victim_book(std::span<const victim> victims, std::size_t workers);

    [[nodiscard]] std::span<const victim> all() const
    {
        return victims_;
    }
    [[nodiscard]] const std::vector<std::size_t>& on_worker(std::size_t worker) const
    {
        return by_worker_[worker];
    }
    [[nodiscard]] const std::vector<bool>& stopped() const
    {
        return stopped_;
    }
    void stop(std::size_t index)
    {
        stopped_[index] = true;
    }

private:
    std::span<const victim> victims_;
    std::vector<std::vector<std::size_t>> by_worker_;
    std::vector<bool> stopped_;
};

/// The cheapest stops that make room for the whole unit. Victims are all work of a lower priority,
/// and for a guaranteed unit also work of its own priority beyond a guarantee. Nothing when no set
/// of stops is enough. Load pattern: a burst of urgent gangs while every rack is full of longer
/// work.
[[nodiscard]] std::optional<reclaim_plan> plan_reclaim(const work_unit& unit, site_view& site,
                                                       const victim_book& book);

} // namespace poplarstile::planning
