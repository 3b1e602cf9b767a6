#include "standins/fault_proxy/link_table.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace poplarstile::standins::fault_proxy
{
namespace
{

constexpr std::array<std::string_view, 10> fault_names{
    "none",  "cut",          "refuse",        "blackhole",  "silence_open",
    "delay", "drop_answers", "drop_requests", "half_close", "freeze"};

bool name_matches(const std::string& pattern, const std::string& name)
{
    return pattern == "*" || pattern == name;
}

} // namespace

std::string_view name_of(fault_kind kind)
{
    return fault_names.at(static_cast<std::size_t>(kind));
}

std::optional<fault_kind> fault_named(std::string_view name)
{
    for (std::size_t index = 0; index < fault_names.size(); ++index) {
        if (fault_names.at(index) == name) {
            return static_cast<fault_kind>(index);
        }
    }
    return std::nullopt;
}

bool link_rule::matches(const link_id& other) const
{
    return name_matches(link.source, other.source) && name_matches(link.target, other.target);
}

link_table::link_table(const std::vector<target_config>& targets)
{
    for (const auto& target : targets) {
        for (const auto& address : target.addresses) {
            names_.insert_or_assign(address, target.name);
        }
    }
}

std::string link_table::target_name(const std::string& address) const
{
    const auto found = names_.find(address);
    return found == names_.end() ? address : found->second;
}

void link_table::set(link_rule rule)
{
    // A new rule hides every earlier one that is not wider, so those can go.
    rules_.erase(
        std::remove_if(rules_.begin(), rules_.end(),
                       [&rule](const link_rule& earlier) { return rule.matches(earlier.link); }),
        rules_.end());
    rules_.push_back(std::move(rule));
}

void link_table::heal()
{
    rules_.clear();
}

link_fault link_table::fault_of(const link_id& link) const
{
    const auto found = std::find_if(rules_.rbegin(), rules_.rend(),
                                    [&link](const link_rule& rule) { return rule.matches(link); });
    return found == rules_.rend() ? link_fault{} : found->fault;
}

link_counters& link_table::counters_of(const link_id& link)
{
    return counters_[link];
}

json link_table::to_json() const
{
    json rules = json::array();
    for (const auto& rule : rules_) {
        rules.push_back({{"source", rule.link.source},
                         {"target", rule.link.target},
                         {"fault", name_of(rule.fault.kind)},
                         {"delay_ms", rule.fault.delay.count()}});
    }
    json links = json::array();
    for (const auto& [link, counters] : counters_) {
        links.push_back({{"source", link.source},
                         {"target", link.target},
                         {"fault", name_of(fault_of(link).kind)},
                         {"opened", counters.opened},
                         {"refused", counters.refused},
                         {"open", counters.open},
                         {"bytes_to_target", counters.bytes_to_target},
                         {"bytes_to_source", counters.bytes_to_source},
                         {"bytes_swallowed", counters.bytes_swallowed}});
    }
    return {{"rules", std::move(rules)}, {"links", std::move(links)}};
}

} // namespace poplarstile::standins::fault_proxy
