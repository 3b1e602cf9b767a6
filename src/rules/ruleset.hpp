#pragma once

#include "base/time.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// The owner's rules as values.
namespace poplarstile::rules
{

/// `members` gang members of `accelerators` adjacent accelerators each, all adjacent: `4x8`.
struct shape {
    std::uint32_t members = 1;
    std::uint32_t accelerators = 1;

    [[nodiscard]] std::uint64_t total() const
    {
        return std::uint64_t{members} * accelerators;
    }
    // clang-tidy 14 takes the 0 in what the compiler makes of <=> for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const shape&) const = default;
};

/// `workspace NAME guarantee N of MxA in FAILURE_DOMAIN`: N shapes that can always be reclaimed.
struct guarantee_rule {
    std::string workspace;
    std::uint32_t count = 1;
    shape guaranteed;
    std::string failure_domain;

    bool operator==(const guarantee_rule&) const = default;
};

/// `workspace NAME share N`: weight of the workspace beyond its guarantee.
struct share_rule {
    std::string workspace;
    double weight = 1.0;
};

/// `workspace NAME quota N accelerators`: the most it may use at once in a failure domain.
struct quota_rule {
    std::string workspace;
    std::uint32_t accelerators = 0;
};

/// `limit workspace NAME N requests/s`.
struct rate_limit_rule {
    std::string workspace;
    double requests_per_second = 0;
};

/// `class NAME [not_idempotent] [urgent within Nms] [hedge after Nms] [deadline Nms]`: declares a
/// class of work; its name is the `{service}` of requests and the `class` of jobs.
struct class_rule {
    std::string name;
    bool idempotent = true;
    std::optional<base::milliseconds> urgent_within;
    std::optional<base::milliseconds> hedge_after;
    std::optional<base::milliseconds> deadline;
};

/// `class NAME before OTHER`: work of the first class goes before waiting work of the other.
struct precedence_rule {
    std::string first;
    std::string then;
};

/// `avoid worker NAME`: no new work goes to this worker.
struct avoid_rule {
    std::string worker;
};

using rule_body = std::variant<guarantee_rule, share_rule, quota_rule, rate_limit_rule, class_rule,
                               precedence_rule, avoid_rule>;

/// One line of the file: its rule, the exact text, and the comment on who asked and why.
struct rule_line {
    /// Names the line over versions: the rule without its values, such as `class print_sheet`.
    std::string id{};
    /// The rule as written, without its comment and surrounding blanks.
    std::string text{};
    /// Words after `#`, on the line or on the lines above it, exactly as written.
    std::string comment{};
    /// Comment lines that a blank line parts from the rule, such as a heading, as written.
    std::string heading{};
    rule_body body{};
    /// Line in the file it was read from, from 1.
    std::size_t line_number = 0;
};

/// Number of an accepted change; grows by one with each.
using rules_version = std::uint64_t;

/// All rules in force under one version, in the order of the file.
struct ruleset {
    rules_version version = 0;
    std::vector<rule_line> lines{};
    /// Comment lines after the last rule, as written.
    std::string ending{};

    /// The rule of a class; null when no rule declares it.
    [[nodiscard]] const class_rule* find_class(std::string_view name) const;

    /// True when any rule names this workspace.
    [[nodiscard]] bool has_workspace(std::string_view name) const;

    /// Requests a second of a workspace; nothing when there is no limit.
    [[nodiscard]] std::optional<double> rate_limit(std::string_view workspace) const;

    /// True when no new work may go to this worker.
    [[nodiscard]] bool avoids(std::string_view worker) const;

    /// True when a rule, or a chain of rules, puts `first` before `then`.
    [[nodiscard]] bool goes_before(std::string_view first, std::string_view then) const;
};

} // namespace poplarstile::rules
