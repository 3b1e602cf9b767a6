#include "control/order_pacing.hpp"

#include <algorithm>
#include <cmath>

namespace poplarstile::control
{
namespace
{

/// Weights of a new sample in the mean and in the deviation, and the number of deviations above the
/// mean, as in the retransmission timer of TCP (RFC 6298).
constexpr double mean_weight = 1.0 / 8.0;
constexpr double deviation_weight = 1.0 / 4.0;
constexpr double deviations = 4.0;

/// A sound worker on an idle link answers in a few milliseconds; a lost order is noticed this soon.
constexpr base::milliseconds min_retry_after{300};
constexpr base::milliseconds max_retry_after{2'000};
constexpr base::milliseconds min_poll_margin{600};
constexpr base::milliseconds max_poll_margin{2'500};

/// Answers that take longer show that orders wait at the leader or on its link.
constexpr base::milliseconds congested_after{150};
constexpr double least_min_window = 16.0;
constexpr double greatest_min_window = 128.0;
constexpr double min_window_of_unknown_link = 64.0;
constexpr double max_window = 512.0;
/// The least window is what the link carries in this time, with payloads of the longest kind.
constexpr double min_window_ms = 250.0;
constexpr double longest_start_bytes = 4'300.0;
constexpr double bits_per_byte = 8.0;
/// Additive increase for a whole window of quick answers, and factor of the decrease.
constexpr double window_increase = 16.0;
constexpr double window_decrease = 0.7;

/// The least number of starts under way on a link of this bandwidth.
double min_window_for(std::uint32_t link_kbit)
{
    if (link_kbit == 0) {
        return min_window_of_unknown_link;
    }
    const auto bytes_per_ms = static_cast<double>(link_kbit) / bits_per_byte;
    const auto starts = bytes_per_ms * min_window_ms / longest_start_bytes;
    return std::clamp(starts, least_min_window, greatest_min_window);
}

} // namespace

order_pacing::order_pacing(std::uint32_t link_kbit)
    : min_window_{min_window_for(link_kbit)}, window_{min_window_}
{
}

void order_pacing::record(base::time_point now, base::milliseconds took)
{
    const auto sample = static_cast<double>(took.count());
    if (!measured_) {
        measured_ = true;
        mean_ = sample;
        deviation_ = sample / 2;
    } else {
        deviation_ += deviation_weight * (std::abs(sample - mean_) - deviation_);
        mean_ += mean_weight * (sample - mean_);
    }
    adapt_window(now, took);
}

void order_pacing::adapt_window(base::time_point now, base::milliseconds took)
{
    if (took < congested_after) {
        const auto increase = slow_start_ ? 1.0 : window_increase / window_;
        window_ = std::min(window_ + increase, max_window);
        return;
    }
    // Answers to orders that were sent before the decrease say nothing about it.
    if (now - took >= reduced_at_) {
        slow_start_ = false;
        window_ = std::max(window_ * window_decrease, min_window_);
        reduced_at_ = now;
    }
}

base::milliseconds order_pacing::retry_after() const
{
    const auto expected = std::llround(mean_ + deviations * deviation_);
    return std::clamp(base::milliseconds{expected}, min_retry_after, max_retry_after);
}

base::milliseconds order_pacing::poll_margin() const
{
    return std::clamp(2 * retry_after(), min_poll_margin, max_poll_margin);
}

} // namespace poplarstile::control
