#pragma once

#include "base/time.hpp"

#include <optional>

namespace poplarstile::control
{

/// Decides when a leader reads the operator's drains of failure domains anew, beside the long poll
/// that delivers changes.
///
/// Load pattern: a leader takes over in the middle of a drain and may not have heard of it yet; or
/// its long poll hangs, or the VM was suspended, while a drain begins.
class drain_reading
{
public:
    /// `bound` is the time within which nothing starts any more in a drained domain.
    drain_reading(base::milliseconds bound, base::time_point elected_at);

    /// True when the drains are to be read now. All drains that began before `confirmed_at` are
    /// known; it is empty when none ever were read.
    [[nodiscard]] bool is_due(base::time_point now,
                              std::optional<base::time_point> confirmed_at) const;
    /// A read is sent.
    void begin(base::time_point now);
    /// The read has been answered, or the store has not served it.
    void finish(bool served);

    /// True once a read that was sent after the election has been answered.
    [[nodiscard]] bool has_read() const
    {
        return has_read_;
    }

private:
    base::milliseconds bound_;
    base::time_point elected_at_;
    bool under_way_ = false;
    bool has_read_ = false;
    std::optional<base::time_point> sent_at_{};
};

} // namespace poplarstile::control
