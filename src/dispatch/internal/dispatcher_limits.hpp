#pragma once

#include "base/time.hpp"

#include <cstddef>
#include <cstdint>

/// Times and bounds that the parts of the dispatcher share.
namespace poplarstile::dispatch::internal
{

using base::milliseconds;

/// Weight of a new sample in the running mean of service times.
inline constexpr double service_time_weight = 0.05;
/// Longest single attempt at settling an attempt's fate.
inline constexpr milliseconds resolve_timeout{1'000};
/// Pause between questions to a worker about the same attempt.
inline constexpr milliseconds resolve_interval{100};
/// How long another VM's attempt may stay unseen at its worker before it is fenced.
inline constexpr milliseconds unseen_grace{2'000};
/// Part of the deadline kept for finding out what became of a lost attempt.
inline constexpr milliseconds resolve_reserve{300};
inline constexpr milliseconds retry_hint{1'000};
/// With less time left nothing is sent any more.
inline constexpr milliseconds least_attempt_time{2};
inline constexpr std::size_t max_attempts = 3;
inline constexpr std::uint32_t urgent_rank = 0;
/// Silence of this length speaks against a worker; a shorter one only against the deadline.
inline constexpr milliseconds telling_silence{1'000};
/// Idempotent work without an answer for this long is asked after on a connection of its own: the
/// one that it was sent on may have gone silent.
inline constexpr milliseconds silence_before_query{500};
/// Waiting requests that are passed over in one search for work that can start.
inline constexpr std::size_t max_passed_over = 256;
/// Unanswered calls in a row after which the table is asked by one request at a time.
inline constexpr std::uint32_t failures_to_distrust_table = 3;
inline constexpr std::size_t max_unconfirmed_records = 10'000;
inline constexpr std::uint32_t max_record_tries = 8;
inline constexpr milliseconds first_record_pause{200};

} // namespace poplarstile::dispatch::internal
