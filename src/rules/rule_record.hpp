#pragma once

#include "base/result.hpp"
#include "rules/ruleset.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Rules as they are kept in the table and sent between VMs: lines, changes and whole states.
namespace poplarstile::rules
{

/// One line with the change that last wrote it.
struct line_record {
    std::string id{};
    std::string text{};
    std::string comment{};
    std::string heading{};
    /// Place among the lines; a new line gets a number between its neighbours.
    double order = 0;
    rules_version version = 0;
    std::string author{};
    std::int64_t time_us = 0;

    bool operator==(const line_record&) const = default;
};

/// True when both state the same rule with the same words; author and place do not count.
[[nodiscard]] bool same_words(const line_record& left, const line_record& right);

/// The comments after the last line, before and after a change.
struct ending_change {
    std::string before{};
    std::string after{};

    bool operator==(const ending_change&) const = default;
};

/// One accepted change. A line that was edited stands in both lists.
struct change_record {
    rules_version version = 0;
    std::string author{};
    std::int64_t time_us = 0;
    /// Names the attempt that made the change; never used twice.
    std::string operation{};
    std::vector<line_record> added{};
    std::vector<line_record> removed{};
    std::optional<ending_change> ending{};

    bool operator==(const change_record&) const = default;
};

/// All lines in force under one version, ordered by `order` and then `id`.
struct rules_state {
    rules_version version = 0;
    std::vector<line_record> lines{};
    std::string ending{};

    bool operator==(const rules_state&) const = default;

    /// Null when there is no such line.
    [[nodiscard]] const line_record* find(std::string_view id) const;
};

/// The state after the next change. Refused when the change does not follow the state: another
/// number than the next, a removed line that is not there, or an added one that is.
[[nodiscard]] base::result<rules_state> apply_change(const rules_state& state,
                                                     const change_record& change);

/// The state before the change that led to `state`.
[[nodiscard]] base::result<rules_state> undo_change(const rules_state& state,
                                                    const change_record& change);

/// Reads the stored words again; refused when a line does not follow the grammar.
[[nodiscard]] base::result<ruleset> to_ruleset(const rules_state& state);

[[nodiscard]] nlohmann::json to_json(const line_record& line);
[[nodiscard]] nlohmann::json to_json(const change_record& change);
[[nodiscard]] nlohmann::json to_json(const rules_state& state);

/// Decode what `to_json` wrote; `place` names the row or message in the error.
[[nodiscard]] base::result<line_record> line_from_json(const nlohmann::json& value,
                                                       std::string_view place);
[[nodiscard]] base::result<change_record> change_from_json(const nlohmann::json& value,
                                                           std::string_view place);
[[nodiscard]] base::result<rules_state> state_from_json(const nlohmann::json& value,
                                                        std::string_view place);

} // namespace poplarstile::rules
