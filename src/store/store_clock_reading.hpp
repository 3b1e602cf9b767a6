#pragma once

#include "base/timers.hpp"
#include "store/row_store.hpp"

#include <memory>
#include <optional>

namespace poplarstile::store
{

/// What a VM knows of the store's clock from the replies that it has received.
class store_clock_reading
{
public:
    /// Records the time that a reply tells. A reply without a time, or one that a later reply has
    /// overtaken, changes nothing.
    void note(std::optional<base::store_time> told, base::time_point received);

    /// The newest time told, which the store's clock has reached. Empty before the first.
    [[nodiscard]] std::optional<base::store_time> newest() const
    {
        return told_;
    }

    /// The store's clock at `now` of this VM's clock: the newest time told and the time since.
    /// Empty before the first.
    [[nodiscard]] std::optional<base::store_time> estimate(base::time_point now) const;

private:
    std::optional<base::store_time> told_{};
    base::time_point received_{};
};

/// The same store; each reply is noted in `reading` before its handler is called.
[[nodiscard]] row_store with_clock_reading(const row_store& rows, const base::timers& time,
                                           const std::shared_ptr<store_clock_reading>& reading);

} // namespace poplarstile::store
