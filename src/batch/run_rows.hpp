#pragma once

#include "batch/job_codec.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// The record of a job's runs as rows of the store. A record that is too long for one row is
/// divided over several, which are written in one transaction: the first has the job's id as its
/// key and begins with a line that says how many rows there are, the further ones follow it in the
/// order of their keys.
namespace poplarstile::batch
{

/// Bytes of a whole record. A longer one is stored without checkpoints, so that it can be written
/// in one transaction.
constexpr std::size_t max_record_bytes = std::size_t{512} * 1024;

/// The rows of the record of `current`, none longer than `max_row_bytes`.
[[nodiscard]] std::vector<std::string> encode_run_rows(const job& current,
                                                       std::size_t max_row_bytes);

/// Key of a row of a job's record; row 0 is the first.
[[nodiscard]] std::string run_row_key(std::string_view job, std::size_t row);

/// Number of the row with this key in its record; 0 for the first.
[[nodiscard]] std::size_t run_row_number(std::string_view key);

/// The job to whose record a row belongs.
[[nodiscard]] std::string_view job_of_run_row(std::string_view key);

/// True unless the first row of a record shows that no task was ever placed.
[[nodiscard]] bool shows_a_run(std::string_view first_row);

/// Removes the rows of a job's record from `rows`, which holds rows by key, and returns the record.
/// Returns nothing when the first row is missing, and a text that can't be decoded when another is.
[[nodiscard]] std::optional<std::string> take_record(std::map<std::string, std::string>& rows,
                                                     std::string_view job);

} // namespace poplarstile::batch
