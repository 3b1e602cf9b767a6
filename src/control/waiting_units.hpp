#pragma once

#include "base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>

namespace poplarstile::control
{

/// Identifies the tasks of a step that a plan considers together.
struct waiting_key {
    std::string job{};
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    bool isolated = false;

    [[nodiscard]] friend bool operator<(const waiting_key& one, const waiting_key& other)
    {
        return std::tie(one.job, one.occurrence, one.step, one.isolated) <
               std::tie(other.job, other.occurrence, other.step, other.isolated);
    }
};

/// Since when each unit of work waits, as it was seen now and then.
class waiting_units
{
public:
    struct entry {
        base::time_point since{};
        /// When a line on it was written last; the beginning of time before the first.
        base::time_point told_at{};
        std::uint64_t look = 0;
    };

    void begin_look()
    {
        ++look_;
    }
    /// The unit waits with its turn come. The reference is valid until the unit is forgotten.
    entry& note(const waiting_key& unit, base::time_point now)
    {
        auto& noted = units_.try_emplace(unit, entry{now, {}, look_}).first->second;
        noted.look = look_;
        return noted;
    }
    /// Forgets the units that were not noted in this look.
    void end_look()
    {
        std::erase_if(units_, [this](const auto& unit) { return unit.second.look != look_; });
    }
    /// All tasks of the unit were placed.
    void forget(const waiting_key& unit)
    {
        units_.erase(unit);
    }

private:
    std::map<waiting_key, entry> units_{};
    std::uint64_t look_ = 0;
};

} // namespace poplarstile::control
