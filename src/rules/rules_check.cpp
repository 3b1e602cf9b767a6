#include "rules/rules_check.hpp"

#include "rules/internal/line_parser.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <map>

namespace poplarstile::rules
{
namespace
{

using base::error_code;

/// Collects the faults of one ruleset.
class checker
{
public:
    checker(const ruleset& rules, std::string_view file_name)
        : rules_(&rules), file_name_(file_name)
    {
    }

    std::vector<base::error> run() &&
    {
        for (const auto& line : rules_->lines) {
            check_duplicate(line);
            std::visit([&](const auto& rule) { check(line, rule); }, line.body);
        }
        return std::move(faults_);
    }

private:
    void add(error_code code, const rule_line& line, std::string detail)
    {
        const auto place = internal::place_text({file_name_, line.line_number}, 1);
        faults_.push_back({code, place, std::move(detail), {}});
    }

    void check_duplicate(const rule_line& line)
    {
        const auto [earlier, is_new] = lines_by_id_.try_emplace(line.id, &line);
        if (!is_new) {
            add(error_code::rules_duplicate, line,
                fmt::format("line {} states '{}' already", earlier->second->line_number, line.id));
        }
    }

    void check_declared(const rule_line& line, std::string_view name)
    {
        if (rules_->find_class(name) == nullptr) {
            add(error_code::rules_unknown_name, line,
                fmt::format("no line declares 'class {}'", name));
        }
    }

    void check(const rule_line& line, const precedence_rule& rule)
    {
        check_declared(line, rule.first);
        check_declared(line, rule.then);
        if (rule.first == rule.then || rules_->goes_before(rule.then, rule.first)) {
            add(error_code::rules_contradictory, line,
                fmt::format("'{}' goes before '{}', and other lines put '{}' before '{}'",
                            rule.first, rule.then, rule.then, rule.first));
        }
    }

    void check(const rule_line& line, const class_rule& rule)
    {
        if (!rule.idempotent && rule.hedge_after) {
            add(error_code::rules_contradictory, line,
                "'hedge after' runs work a second time and 'not_idempotent' forbids it");
        }
        if (rule.deadline && rule.urgent_within && *rule.urgent_within > *rule.deadline) {
            add(error_code::rules_contradictory, line, "'urgent within' is longer than 'deadline'");
        }
        if (rule.deadline && rule.hedge_after && *rule.hedge_after >= *rule.deadline) {
            add(error_code::rules_contradictory, line, "'hedge after' is not below 'deadline'");
        }
    }

    void check(const rule_line& line, const quota_rule& rule)
    {
        for (const auto& [failure_domain, accelerators] : guaranteed_to(rule.workspace)) {
            if (accelerators > rule.accelerators) {
                add(error_code::rules_contradictory, line,
                    fmt::format("'{}' is guaranteed {} accelerators in '{}', above its quota of {}",
                                rule.workspace, accelerators, failure_domain, rule.accelerators));
            }
        }
    }

    template <class Other>
    void check(const rule_line& /*unused*/, const Other& /*unused*/)
    {
    }

    /// Guaranteed accelerators of a workspace by failure domain.
    [[nodiscard]] std::map<std::string_view, std::uint64_t>
    guaranteed_to(std::string_view workspace) const
    {
        std::map<std::string_view, std::uint64_t> sums;
        for (const auto& line : rules_->lines) {
            const auto* rule = std::get_if<guarantee_rule>(&line.body);
            if (rule != nullptr && rule->workspace == workspace) {
                sums[rule->failure_domain] += rule->count * rule->guaranteed.total();
            }
        }
        return sums;
    }

    const ruleset* rules_;
    std::string_view file_name_;
    std::map<std::string_view, const rule_line*> lines_by_id_;
    std::vector<base::error> faults_;
};

} // namespace

std::vector<base::error> check_rules(const ruleset& rules, std::string_view file_name)
{
    return checker{rules, file_name}.run();
}

std::vector<base::error> check_rules(const ruleset& rules, std::string_view file_name,
                                     const guarantee_check& check_guarantees)
{
    auto faults = check_rules(rules, file_name);
    if (faults.empty() && check_guarantees) {
        faults = check_guarantees(rules);
    }
    return faults;
}

} // namespace poplarstile::rules
