#pragma once

#include "frontend/api_frontend.hpp"
#include "planning/admission.hpp"

#include <algorithm>
#include <optional>
#include <string>
#include <string_view>

/// Definitions shared by the API frontend's source files.
namespace poplarstile::frontend
{

namespace internal
{

inline constexpr std::size_t job_id_length = 16;

/// True for text with the form of a job id: hexadecimal digits.
inline bool is_job_id(std::string_view text)
{
    return text.size() == job_id_length && std::ranges::all_of(text, [](char letter) {
               return (letter >= '0' && letter <= '9') || (letter >= 'a' && letter <= 'f') ||
                      (letter >= 'A' && letter <= 'F');
           });
}

inline constexpr base::milliseconds min_outage_retry{1'000};
inline constexpr base::milliseconds max_outage_retry{5'000};

/// Returns when to retry after an outage of this duration so far, within fixed limits. An outage
/// that has lasted for some time is likely to last about as long again.
inline base::milliseconds retry_after_outage(base::milliseconds lasted)
{
    return std::clamp(lasted, min_outage_retry, max_outage_retry);
}

} // namespace internal

/// A call that has not been answered yet.
struct api_frontend::pending_call {
    caller_call call;
    answer_handler answer;
    base::time_point received{};
    catalog::catalog_ptr catalog{};
    const catalog::queue* queue = nullptr;
    std::string workspace{};
    /// Job id; empty for a call about the whole queue.
    std::string job{};
    std::string encoded_submission{};
    /// Of a submission that may be refused because it would begin too late.
    std::optional<planning::job_times> times{};
    std::uint32_t attempts = 0;
    /// An attempt was sent to the store whose effect is unknown.
    bool in_doubt = false;
    /// No part of the store had a row of the job that is to be cancelled.
    bool job_missing = false;
    /// The part of the store that the last attempt was sent to.
    std::optional<std::size_t> part{};
    /// What the answer rests on, for the log: `stored`, `already_stored` or `known` for an
    /// acceptance, `kept_for_late_submission` for a cancel without a job.
    std::string_view basis{};
    /// The parts in which the job's row was not found, as `PART@VERSION`, for the log.
    std::string empty_parts{};

    /// How much longer the caller waits.
    [[nodiscard]] base::milliseconds time_left(base::time_point now) const
    {
        return call.timeout - std::chrono::duration_cast<base::milliseconds>(now - received);
    }
};

} // namespace poplarstile::frontend
