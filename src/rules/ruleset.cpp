#include "rules/ruleset.hpp"

#include <algorithm>
#include <set>

namespace poplarstile::rules
{
namespace
{

/// The workspace that a rule names; empty when it names none.
struct workspace_of {
    std::string_view operator()(const guarantee_rule& rule) const
    {
        return rule.workspace;
    }
    std::string_view operator()(const share_rule& rule) const
    {
        return rule.workspace;
    }
    std::string_view operator()(const quota_rule& rule) const
    {
        return rule.workspace;
    }
    std::string_view operator()(const rate_limit_rule& rule) const
    {
        return rule.workspace;
    }
    template <class Other>
    std::string_view operator()(const Other& /*unused*/) const
    {
        return {};
    }
};

/// Calls `visit` with each rule of one kind until it returns true; tells whether it did.
template <class Rule, class Visitor>
bool any_rule(const ruleset& rules, Visitor visit)
{
    return std::ranges::any_of(rules.lines, [&](const rule_line& line) {
        const auto* rule = std::get_if<Rule>(&line.body);
        return rule != nullptr && visit(*rule);
    });
}

} // namespace

const class_rule* ruleset::find_class(std::string_view name) const
{
    const class_rule* found = nullptr;
    any_rule<class_rule>(*this, [&](const class_rule& rule) {
        found = rule.name == name ? &rule : nullptr;
        return found != nullptr;
    });
    return found;
}

bool ruleset::has_workspace(std::string_view name) const
{
    return !name.empty() && std::ranges::any_of(lines, [&](const rule_line& line) {
        return std::visit(workspace_of{}, line.body) == name;
    });
}

std::optional<double> ruleset::rate_limit(std::string_view workspace) const
{
    std::optional<double> limit;
    any_rule<rate_limit_rule>(*this, [&](const rate_limit_rule& rule) {
        if (rule.workspace == workspace) {
            limit = rule.requests_per_second;
        }
        return limit.has_value();
    });
    return limit;
}

bool ruleset::avoids(std::string_view worker) const
{
    return any_rule<avoid_rule>(*this,
                                [&](const avoid_rule& rule) { return rule.worker == worker; });
}

bool ruleset::goes_before(std::string_view first, std::string_view then) const
{
    std::set<std::string_view> reached;
    std::vector<std::string_view> open{first};
    while (!open.empty()) {
        const auto from = open.back();
        open.pop_back();
        for (const auto& line : lines) {
            const auto* rule = std::get_if<precedence_rule>(&line.body);
            if (rule == nullptr || rule->first != from) {
                continue;
            }
            if (rule->then == then) {
                return true;
            }
            if (reached.insert(rule->then).second) {
                open.emplace_back(rule->then);
            }
        }
    }
    return false;
}

} // namespace poplarstile::rules
