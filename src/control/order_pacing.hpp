#pragma once

#include "base/time.hpp"

#include <cstddef>
#include <cstdint>

namespace poplarstile::control
{

/// Decides when an order to a worker is sent again, and how many starts may be under way, from the
/// time that workers take to answer as the leader sees it: its own queue and link included. Load
/// pattern: a thin link or a busy processor delays every answer. With a fixed timeout each order
/// would be sent several times, and the repetitions would keep the link full.
class order_pacing
{
public:
    /// `link_kbit`: bandwidth of the leader's link in kbit/s; 0 when it is not known. While answers
    /// are slow, at least as many starts may be under way as the link carries in a short time: with
    /// a wide link the processor is what is slow, and fewer starts would leave workers idle.
    explicit order_pacing(std::uint32_t link_kbit);

    /// Records the time from the sending of an order to its answer.
    void record(base::time_point now, base::milliseconds took);

    /// Time without an answer after which an order is sent again.
    [[nodiscard]] base::milliseconds retry_after() const;

    /// How much longer than a poll is told to wait its answer may take before the worker counts as
    /// silent.
    [[nodiscard]] base::milliseconds poll_margin() const;

    /// Most starts that may be planned, or sent and not answered, at a time.
    [[nodiscard]] std::size_t max_starts() const
    {
        return static_cast<std::size_t>(window_);
    }

private:
    void adapt_window(base::time_point now, base::milliseconds took);

    bool measured_ = false;
    /// Smoothed time to the answer and its mean deviation, in milliseconds.
    double mean_ = 0.0;
    double deviation_ = 0.0;
    double min_window_;
    double window_;
    /// No answer was slow yet: the window grows with each answer.
    bool slow_start_ = true;
    base::time_point reduced_at_{};
};

} // namespace poplarstile::control
