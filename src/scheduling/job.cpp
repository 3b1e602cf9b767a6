#include "scheduling/job.hpp"

#include <fmt/format.h>

#include <array>
#include <charconv>
#include <optional>

namespace poplarstile::scheduling
{
namespace
{

using nlohmann::json;

constexpr std::array<std::string_view, 8> state_names{
    "queued", "starting", "running", "completed", "failed", "rejected", "cancelled", "unknown"};

std::optional<std::uint32_t> whole_number(std::string_view text)
{
    std::uint32_t value = 0;
    const auto* const end = text.data() + text.size();
    const auto [stopped, code] = std::from_chars(text.data(), end, value);
    if (code != std::errc{} || stopped != end) {
        return std::nullopt;
    }
    return value;
}

/// Longer payloads are stored as texts, so that whoever reads the rows need not build them.
constexpr std::size_t longest_built_payload = 4'096;
/// VMs of earlier builds don't know such rows as jobs, and start none with an empty payload.
constexpr const char* spec_of_long_payload = "spec_of_long_payload";
constexpr const char* payload_text = "payload_text";

bool is_long(const job_spec& spec)
{
    return spec.payload.text().size() > longest_built_payload;
}

json spec_to_json(const job_spec& spec)
{
    json made{{"id", spec.id},
              {"workspace", spec.workspace},
              {"class", spec.class_name},
              {"shape", to_string(spec.shape)},
              {"declared_run_ms", spec.declared_run.count()},
              {"checkpointable", spec.checkpointable},
              {"idempotent", spec.idempotent},
              {"failure_domain", spec.failure_domain},
              {"body_hash", spec.body_hash},
              {"submitted_us", spec.submitted_us}};
    if (is_long(spec)) {
        made[payload_text] = spec.payload.text();
    } else {
        made["payload"] = spec.payload.value();
    }
    return made;
}

base::result<job_spec> spec_from_json(const json& value)
{
    job_spec spec;
    BOOST_OUTCOME_TRY(shape, parse_shape(value.value("shape", "")));
    spec.id = value.value("id", "");
    spec.workspace = value.value("workspace", "");
    spec.class_name = value.value("class", "");
    spec.shape = shape;
    spec.declared_run = base::milliseconds{value.value("declared_run_ms", std::int64_t{0})};
    spec.checkpointable = value.value("checkpointable", false);
    spec.idempotent = value.value("idempotent", true);
    spec.failure_domain = value.value("failure_domain", "");
    spec.body_hash = value.value("body_hash", "");
    spec.submitted_us = value.value("submitted_us", std::int64_t{0});
    if (const auto text = value.find(payload_text); text != value.end()) {
        spec.payload = base::json_text::of_text(text->get<std::string>());
    } else if (const auto built = value.find("payload"); built != value.end()) {
        spec.payload = base::json_text{*built};
    }
    return spec;
}

} // namespace

std::string_view to_string(job_state state)
{
    return state_names.at(static_cast<std::size_t>(state));
}

job_state job_state_named(std::string_view name)
{
    for (std::size_t index = 0; index < state_names.size(); ++index) {
        if (state_names.at(index) == name) {
            return static_cast<job_state>(index);
        }
    }
    return job_state::unknown;
}

std::string live_job_prefix(std::string_view failure_domain)
{
    return fmt::format("job/{}/", failure_domain);
}

std::string live_job_key(std::string_view failure_domain, std::string_view id)
{
    return live_job_prefix(failure_domain) + std::string{id};
}

std::string done_job_key(std::string_view failure_domain, std::string_view id)
{
    return fmt::format("done/{}/{}", failure_domain, id);
}

std::string job_index_key(std::string_view id)
{
    return fmt::format("jobkey/{}", id);
}

json to_json(const stored_job& job)
{
    json made{{"state", to_string(job.state)},
              {"released", job.released},
              {"cancel_requested", job.cancel_requested},
              {"detail", job.detail},
              {"operation", job.operation},
              {"started_us", job.started_us},
              {"ended_us", job.ended_us}};
    made[is_long(job.spec) ? spec_of_long_payload : "spec"] = spec_to_json(job.spec);
    return made;
}

base::result<stored_job> read_job(const table::table_row& row)
{
    const auto invalid = [&row] {
        return base::error{base::error_code::platform_answer_invalid, row.key, "not a job", ""};
    };
    if (!row.value.is_object()) {
        return invalid();
    }
    const auto* const name = row.value.contains("spec") ? "spec" : spec_of_long_payload;
    const auto stored = row.value.find(name);
    if (stored == row.value.end() || !stored->is_object()) {
        return invalid();
    }
    try {
        BOOST_OUTCOME_TRY(spec, spec_from_json(*stored));
        stored_job job;
        job.spec = std::move(spec);
        job.state = job_state_named(row.value.value("state", ""));
        job.released = row.value.value("released", false);
        job.cancel_requested = row.value.value("cancel_requested", false);
        job.detail = row.value.value("detail", "");
        job.operation = row.value.value("operation", "");
        job.started_us = row.value.value("started_us", std::int64_t{0});
        job.ended_us = row.value.value("ended_us", std::int64_t{0});
        job.version = row.version;
        return job;
    } catch (const json::exception&) {
        return invalid();
    }
}

base::result<rules::shape> parse_shape(std::string_view text)
{
    const auto cross = text.find('x');
    const auto members = whole_number(text.substr(0, cross));
    const auto accelerators = cross == std::string_view::npos
                                  ? std::optional<std::uint32_t>{}
                                  : whole_number(text.substr(cross + 1));
    if (!members || !accelerators || *members == 0 || *accelerators == 0) {
        return base::error{base::error_code::job_malformed, "shape",
                           fmt::format("'{}' is not MEMBERSxACCELERATORS, such as 4x8", text), ""};
    }
    return rules::shape{*members, *accelerators};
}

std::string to_string(const rules::shape& shape)
{
    return fmt::format("{}x{}", shape.members, shape.accelerators);
}

} // namespace poplarstile::scheduling
