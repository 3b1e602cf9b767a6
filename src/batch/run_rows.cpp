#include "batch/run_rows.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace poplarstile::batch
{
namespace
{

using json = nlohmann::json;

/// Follows the job's id in the keys of further rows. It sorts before all characters of ids.
constexpr char row_separator = '+';
/// Ends the line that begins the first of several rows; a record itself has none.
constexpr char head_end = '\n';
constexpr std::size_t max_head_bytes = 64;
constexpr std::size_t min_row_bytes = 2 * max_head_bytes;
/// Rows of one record; one transaction holds no more.
constexpr std::size_t max_rows = 96;

/// What the first of several rows says of the record.
struct record_head {
    std::size_t rows = 1;
    bool any_run = true;
};

std::string encode_head(const record_head& head)
{
    return json{{"rows", head.rows}, {"run", head.any_run}}.dump() + head_end;
}

/// The head of the first of several rows; empty for a record that stands in one row.
std::optional<record_head> read_head(std::string_view first_row)
{
    const auto end = first_row.substr(0, max_head_bytes).find(head_end);
    if (end == std::string_view::npos) {
        return std::nullopt;
    }
    const auto head = json::parse(first_row.substr(0, end), nullptr, false);
    const bool valid = head.is_object() && head.contains("rows") && head.contains("run") &&
                       head.at("rows").is_number_unsigned() && head.at("run").is_boolean();
    if (!valid) {
        return std::nullopt;
    }
    return record_head{head.at("rows").get<std::size_t>(), head.at("run").get<bool>()};
}

std::string encode_record(const job& current)
{
    auto record = encode_runs(current, stored_checkpoints::kept);
    return record.size() <= max_record_bytes ? record
                                             : encode_runs(current, stored_checkpoints::dropped);
}

} // namespace

std::vector<std::string> encode_run_rows(const job& current, std::size_t max_row_bytes)
{
    auto record = encode_record(current);
    if (record.size() <= max_row_bytes) {
        return {std::move(record)};
    }
    const auto piece_bytes = std::max(max_row_bytes, min_row_bytes) - max_head_bytes;
    const std::string_view text{record};
    std::vector<std::string> rows;
    for (std::size_t offset = 0; offset < text.size(); offset += piece_bytes) {
        rows.emplace_back(text.substr(offset, piece_bytes));
    }
    rows.front().insert(0, encode_head({rows.size(), current.started()}));
    return rows;
}

std::string run_row_key(std::string_view job, std::size_t row)
{
    std::string key{job};
    if (row > 0) {
        key += row_separator + std::to_string(row);
    }
    return key;
}

std::size_t run_row_number(std::string_view key)
{
    const auto separator = key.find(row_separator);
    std::size_t number = 0;
    if (separator != std::string_view::npos) {
        const auto digits = key.substr(separator + 1);
        std::from_chars(digits.data(), digits.data() + digits.size(), number);
    }
    return number < max_rows ? number : 0;
}

std::string_view job_of_run_row(std::string_view key)
{
    return key.substr(0, key.find(row_separator));
}

bool shows_a_run(std::string_view first_row)
{
    if (const auto head = read_head(first_row)) {
        return head->any_run;
    }
    const auto decoded = decode_runs(first_row);
    return !decoded.has_value() || decoded.value().any_run();
}

std::optional<std::string> take_record(std::map<std::string, std::string>& rows,
                                       std::string_view job)
{
    auto first = rows.extract(std::string{job});
    std::map<std::string, std::string> further;
    for (auto next = rows.lower_bound(std::string{job});
         next != rows.end() && job_of_run_row(next->first) == job;) {
        further.insert(rows.extract(next++));
    }
    if (first.empty()) {
        return std::nullopt;
    }
    auto record = std::move(first.mapped());
    const auto head = read_head(record);
    if (!head) {
        return record;
    }
    record.erase(0, record.find(head_end) + 1);
    for (std::size_t row = 1; row < head->rows; ++row) {
        const auto found = further.find(run_row_key(job, row));
        if (found == further.end()) {
            return std::string{};
        }
        record += found->second;
    }
    return record;
}

} // namespace poplarstile::batch
