#pragma once

#include "frontend/api_frontend.hpp"

#include <algorithm>
#include <optional>
#include <string>

/// What the API frontend's source files share.
namespace poplarstile::frontend
{

namespace internal
{

inline constexpr base::milliseconds outage_retry{1'000};
inline constexpr base::milliseconds longest_outage_retry{5'000};

/// An outage that has lasted for some time is likely to last about as long again.
inline base::milliseconds retry_after_outage(base::milliseconds lasted)
{
    return std::clamp(lasted, outage_retry, longest_outage_retry);
}

} // namespace internal

/// A call on its way to its answer.
struct api_frontend::pending_call {
    caller_call call;
    answer_handler answer;
    base::time_point received{};
    catalog::catalog_ptr catalog{};
    const catalog::queue* queue = nullptr;
    std::string workspace{};
    /// Empty for a call about the whole queue.
    std::string job{};
    /// Encoded submission.
    std::string row{};
    std::uint32_t tries = 0;
    /// A try went out whose effect is not known.
    bool in_doubt = false;
    std::optional<std::size_t> part{};
};

} // namespace poplarstile::frontend
