#pragma once

#include <algorithm>

namespace poplarstile::limits
{

/// Bounds retries and hedges to a share of fresh requests, so that a fault is not multiplied into a
/// storm. Each fresh request deposits `share` of a retry; the reserve is capped.
/// Source: "Handling Overload", Site Reliability Engineering (Beyer et al., 2016).
class retry_budget
{
public:
    explicit retry_budget(double share) : share_{share}, balance_{max_balance} {}

    void record_fresh_request()
    {
        balance_ = std::min(max_balance, balance_ + share_);
    }

    /// Takes one retry; false when the budget is spent.
    [[nodiscard]] bool try_spend()
    {
        if (balance_ < 1.0) {
            return false;
        }
        balance_ -= 1.0;
        return true;
    }

    [[nodiscard]] double balance() const
    {
        return balance_;
    }

private:
    static constexpr double max_balance = 20.0;

    double share_;
    double balance_;
};

} // namespace poplarstile::limits
