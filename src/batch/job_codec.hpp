#pragma once

#include "base/result.hpp"
#include "base/time.hpp"
#include "batch/job.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// The stored form of jobs: JSON with short keys, since every byte travels to the store and back.
/// The decoders reject malformed input and never guess a value.
namespace poplarstile::batch
{

/// Content of the row of a job that has ended.
struct finished_job {
    job_status status = job_status::completed;
    std::string queue{};
    std::string workspace{};
    /// Time of the end; decides when the row may be deleted. Empty when it is not known.
    std::optional<base::store_time> ended_at{};
    /// `ended_at` is when the end was sent to the store, which may have applied it much later.
    bool ended_at_sending = false;
};

/// Content of a row of the jobs table: a job that has not ended, or one that has.
using job_row = std::variant<submission, finished_job>;

[[nodiscard]] std::string encode(const submission& accepted);
[[nodiscard]] std::string encode(const finished_job& finished);

/// Error: `platform_answer_invalid` when the text is neither, or of a job that is not valid.
[[nodiscard]] base::result<job_row> decode_job_row(std::string_view text);

/// The stored state of the runs of a job.
struct run_record {
    std::vector<occurrence_state> occurrences{};
    bool failed = false;

    /// True once a task was placed on a worker.
    [[nodiscard]] bool any_run() const;
};

/// Whether a record contains the checkpoints of the tasks.
enum class stored_checkpoints : std::uint8_t { kept, dropped };

/// Encodes the runs of `current` as one text.
[[nodiscard]] std::string encode_runs(const job& current,
                                      stored_checkpoints checkpoints = stored_checkpoints::kept);

/// Error: `platform_answer_invalid` when the text is not a run record.
[[nodiscard]] base::result<run_record> decode_runs(std::string_view text);

} // namespace poplarstile::batch
