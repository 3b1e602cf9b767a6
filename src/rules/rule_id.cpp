#include "rules/rule_id.hpp"

#include <fmt/format.h>

namespace poplarstile::rules
{
namespace
{

struct id_writer {
    std::string operator()(const guarantee_rule& rule) const
    {
        return fmt::format("workspace {} guarantee {}x{} in {}", rule.workspace,
                           rule.guaranteed.members, rule.guaranteed.accelerators,
                           rule.failure_domain);
    }
    std::string operator()(const share_rule& rule) const
    {
        return fmt::format("workspace {} share", rule.workspace);
    }
    std::string operator()(const quota_rule& rule) const
    {
        return fmt::format("workspace {} quota", rule.workspace);
    }
    std::string operator()(const rate_limit_rule& rule) const
    {
        return fmt::format("limit workspace {}", rule.workspace);
    }
    std::string operator()(const class_rule& rule) const
    {
        return fmt::format("class {}", rule.name);
    }
    std::string operator()(const precedence_rule& rule) const
    {
        return fmt::format("class {} before {}", rule.first, rule.then);
    }
    std::string operator()(const avoid_rule& rule) const
    {
        return fmt::format("avoid worker {}", rule.worker);
    }
};

struct subject_writer {
    std::string operator()(const guarantee_rule& rule) const
    {
        return fmt::format("workspace {} guarantee", rule.workspace);
    }
    std::string operator()(const precedence_rule& rule) const
    {
        return fmt::format("class {} before", rule.first);
    }
    std::string operator()(const avoid_rule& /*unused*/) const
    {
        return "avoid worker";
    }
    template <class Other>
    std::string operator()(const Other& rule) const
    {
        return id_writer{}(rule);
    }
};

} // namespace

std::string id_of(const rule_body& body)
{
    return std::visit(id_writer{}, body);
}

std::string subject_of(const rule_body& body)
{
    return std::visit(subject_writer{}, body);
}

} // namespace poplarstile::rules
