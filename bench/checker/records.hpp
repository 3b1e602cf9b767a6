#pragma once

#include "base/result.hpp"
#include "bench/checker/history.hpp"

#include <span>
#include <string_view>

/// Reads the records of stand-ins, the faults file and worker configurations from their texts.
namespace poplarstile::bench::checker
{

/// Adds what one stand-in's `GET /records` answered. Error: `worker_answer_invalid`.
[[nodiscard]] base::result<void> add_records(std::string_view text, history& into);

/// Adds what the platform stand-in's `GET /control/counters` answered. Error:
/// `platform_answer_invalid`.
[[nodiscard]] base::result<void> add_platform_counts(std::string_view text, history& into);

/// Adds the faults of a file of JSON lines. Error: `operator_argument_invalid` with the line.
[[nodiscard]] base::result<void> add_faults(std::string_view text, history& into);

/// What one worker stand-in hosts and where its control port is.
struct worker_config {
    std::string control_address{};
    std::vector<worker_place> workers{};
};

/// Reads a worker stand-in's configuration. Error: `operator_argument_invalid`.
[[nodiscard]] base::result<worker_config> parse_worker_config(std::string_view text);

} // namespace poplarstile::bench::checker
