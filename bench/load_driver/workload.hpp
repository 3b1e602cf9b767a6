#pragma once

#include "base/result.hpp"
#include "base/time.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// A workload file as values: streams of requests and jobs, and how each one varies.
namespace poplarstile::bench::load_driver
{

/// A closed interval in milliseconds from which times are drawn.
struct duration_range {
    base::milliseconds least{0};
    base::milliseconds most{0};
};

/// A closed interval of factors.
struct factor_range {
    double least = 1.0;
    double most = 1.0;
};

/// `count` calls at once, at `at_share` (0 to 1) of the run.
struct burst {
    double at_share = 0;
    std::uint32_t count = 0;
};

/// A cancellation of `share` of the open jobs of a stream, at `at_share` of the run.
struct cancel_wave {
    double at_share = 0;
    double share = 1.0;
};

/// Gang members and accelerators of each, written `4x8`.
struct job_shape {
    std::uint32_t members = 1;
    std::uint32_t accelerators = 1;
};

/// What both kinds of streams have in common.
struct stream_base {
    std::string work_class{};
    std::string workspace{};
    bool idempotent = true;
    bool urgent = false;
    double per_second = 0;
    duration_range run{};
    /// Share of the work that runs and fails.
    double fail_share = 0;
    std::vector<burst> bursts{};
};

struct request_stream {
    stream_base base{};
    base::milliseconds deadline{10'000};
    bool with_key = false;
    /// Share of requests that the caller sends a second time with the same Idempotency-Key.
    double repeat_share = 0;
};

struct job_stream {
    stream_base base{};
    /// Each job asks for one of these, drawn evenly.
    std::vector<job_shape> shapes{};
    /// Declared run time as a factor of the true one.
    factor_range declared_factor{};
    bool checkpointable = true;
    std::vector<cancel_wave> cancel_waves{};
};

struct workload {
    std::vector<request_stream> requests{};
    std::vector<job_stream> jobs{};
};

/// Reads a workload file's text. Error: `operator_argument_invalid` naming what is wrong.
[[nodiscard]] base::result<workload> parse_workload(std::string_view text);

} // namespace poplarstile::bench::load_driver
