#include "membership/membership.hpp"

#include "membership/internal/group_state.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace poplarstile::membership
{
namespace
{

using peer::member_state;

base::error wrong(base::error_code code, std::string_view name, std::string detail)
{
    return {.code = code, .place = fmt::format("membership.{}", name), .detail = std::move(detail)};
}

base::result<void> check_ranges(const config& limits, const self_description& self)
{
    constexpr auto code = base::error_code::settings_out_of_range;
    if (self.vm.empty() || self.failure_domain.empty() || self.address.empty()) {
        return wrong(code, "self", "the VM's id, failure domain and address must not be empty");
    }
    if (limits.probe_timeout <= milliseconds{0}) {
        return wrong(code, "probe_timeout", "must be greater than 0");
    }
    if (limits.delegates == 0) {
        return wrong(code, "delegates", "must be at least 1");
    }
    if (limits.suspicion_max_factor == 0) {
        return wrong(code, "suspicion_max_factor", "must be at least 1");
    }
    if (limits.max_updates < 3) {
        return wrong(code, "max_updates",
                     "must be at least 3: sender, receiver and one item of news");
    }
    return base::success();
}

base::result<void> check_pairs(const config& limits)
{
    constexpr auto code = base::error_code::settings_contradictory;
    if (limits.probe_timeout >= limits.probe_interval) {
        return wrong(code, "probe_timeout", "must be shorter than probe_interval");
    }
    if (limits.suspicion_min <= limits.probe_interval) {
        return wrong(code, "suspicion_min",
                     "must be longer than probe_interval, or a denial can't arrive in time");
    }
    if (limits.pause_threshold > limits.suspicion_min) {
        return wrong(code, "pause_threshold",
                     "must not exceed suspicion_min, or a paused VM declares others dead");
    }
    if (limits.tombstone_keep <= limits.suspicion_min * limits.suspicion_max_factor) {
        return wrong(code, "tombstone_keep", "must be longer than the longest suspicion");
    }
    return base::success();
}

} // namespace

group::group(std::unique_ptr<internal::group_state> state) : state_{std::move(state)} {}
group::group(group&&) noexcept = default;
group& group::operator=(group&&) noexcept = default;
group::~group() = default;

std::vector<action> group::decide(const event& what)
{
    return state_->decide(what);
}

std::vector<member> group::members() const
{
    std::vector<member> all{state_->self()};
    for (const auto& [vm, known] : state_->others().entries()) {
        all.push_back(known.facts);
    }
    std::ranges::sort(all, {}, &member::vm);
    return all;
}

std::optional<member> group::find(std::string_view vm) const
{
    if (auto self = state_->self(); self.vm == vm) {
        return self;
    }
    const auto* known = state_->others().find(vm);
    return known == nullptr ? std::nullopt : std::optional{known->facts};
}

std::vector<member> group::live(std::string_view failure_domain) const
{
    auto found = members();
    std::erase_if(found, [&](const member& each) {
        return each.failure_domain != failure_domain || each.state == member_state::leaving ||
               each.state == member_state::dead;
    });
    return found;
}

bool group::is_delegate() const
{
    return state_->is_delegate();
}

std::vector<peer::lease_view> group::leases() const
{
    std::vector<peer::lease_view> all;
    for (const auto& [domain, lease] : state_->leases()) {
        all.push_back(lease);
    }
    return all;
}

unsigned group::health_score() const
{
    return state_->health_score();
}

base::result<group> create(const config& limits, self_description self, std::vector<seed> seeds,
                           std::uint64_t random_seed)
{
    BOOST_OUTCOME_TRYV(check_ranges(limits, self));
    BOOST_OUTCOME_TRYV(check_pairs(limits));
    return group{std::make_unique<internal::group_state>(limits, std::move(self), std::move(seeds),
                                                         random_seed)};
}

} // namespace poplarstile::membership
