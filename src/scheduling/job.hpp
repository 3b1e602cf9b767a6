#pragma once

#include "base/json_text.hpp"
#include "base/result.hpp"
#include "base/time.hpp"
#include "rules/ruleset.hpp"
#include "table/table.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>

/// Jobs as callers submit them and as the table keeps them.
namespace poplarstile::scheduling
{

enum class job_state {
    queued,
    /// Members are being held on their workers.
    starting,
    running,
    completed,
    failed,
    rejected,
    cancelled,
    /// May have run; never run again.
    unknown,
};

[[nodiscard]] std::string_view to_string(job_state state);
[[nodiscard]] job_state job_state_named(std::string_view name);

/// True when nothing more will happen to the job.
[[nodiscard]] constexpr bool final_state(job_state state)
{
    return state >= job_state::completed;
}

/// What a caller asked for.
struct job_spec {
    std::string id{};
    std::string workspace{};
    std::string class_name{};
    rules::shape shape{};
    /// As declared; may be far from the truth.
    base::milliseconds declared_run{0};
    bool checkpointable = false;
    bool idempotent = true;
    std::string failure_domain{};
    std::string body_hash{};
    /// Wall clock, for people.
    std::int64_t submitted_us = 0;
    base::json_text payload{};
};

/// A job's row in the table.
struct stored_job {
    job_spec spec{};
    job_state state = job_state::queued;
    /// Set before a job that is not idempotent is released; such a job never starts again.
    bool released = false;
    bool cancel_requested = false;
    /// Why it ended as it did.
    std::string detail{};
    std::string operation{};
    std::int64_t started_us = 0;
    std::int64_t ended_us = 0;
    table::row_version version = 0;
};

/// `job/<failure domain>/<id>`: live jobs of a failure domain.
[[nodiscard]] std::string live_job_key(std::string_view failure_domain, std::string_view id);
[[nodiscard]] std::string live_job_prefix(std::string_view failure_domain);
/// `done/<failure domain>/<id>`: jobs that have ended.
[[nodiscard]] std::string done_job_key(std::string_view failure_domain, std::string_view id);
/// `jobkey/<id>`: the failure domain in which a job lives.
[[nodiscard]] std::string job_index_key(std::string_view id);

[[nodiscard]] nlohmann::json to_json(const stored_job& job);
/// Error: `platform_answer_invalid` when the row is not a job.
[[nodiscard]] base::result<stored_job> read_job(const table::table_row& row);

/// `4x8` as a shape. Error: `job_malformed`.
[[nodiscard]] base::result<rules::shape> parse_shape(std::string_view text);
[[nodiscard]] std::string to_string(const rules::shape& shape);

} // namespace poplarstile::scheduling
