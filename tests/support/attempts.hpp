#pragma once

namespace poplarstile::tests
{

/// Calls `attempt` up to `most` times until it returns true; tells whether it did.
template <class Attempt>
[[nodiscard]] bool succeeds_within(int most, Attempt attempt)
{
    for (int count = 0; count < most; ++count) {
        if (attempt()) {
            return true;
        }
    }
    return false;
}

} // namespace poplarstile::tests
