#pragma once

#include "base/result.hpp"
#include "batch/job.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// The stored form of jobs: JSON with short names, since every byte is carried to the store and
/// back. Readers refuse what they can't read and never guess.
namespace poplarstile::batch
{

/// What the row of a job holds after the job has ended.
struct finished_job {
    job_status status = job_status::completed;
    std::string queue{};
    std::string workspace{};
    /// The store's clock when it ended, in milliseconds; decides when the row may go.
    std::int64_t ended_store_ms = 0;
};

/// What a row of the jobs table holds.
using job_row = std::variant<submission, finished_job>;

[[nodiscard]] std::string encode(const submission& accepted);
[[nodiscard]] std::string encode(const finished_job& finished);

/// Error: `platform_answer_invalid` when the text is neither.
[[nodiscard]] base::result<job_row> decode_job_row(std::string_view text);

/// What was stored of the runs of a job.
struct run_record {
    std::vector<occurrence_state> occurrences{};
    bool failed = false;
};

/// The runs of `current`, for its row in the runs table.
[[nodiscard]] std::string encode_runs(const job& current);

/// Error: `platform_answer_invalid`.
[[nodiscard]] base::result<run_record> decode_runs(std::string_view text);

} // namespace poplarstile::batch
