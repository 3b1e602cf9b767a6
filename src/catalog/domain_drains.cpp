#include "catalog/domain_drains.hpp"

#include "base/event_line.hpp"

#include <algorithm>
#include <set>

namespace poplarstile::catalog
{
namespace
{

constexpr base::event_logger log{"configuration"};

} // namespace

bool is_domain_name(std::string_view name)
{
    constexpr unsigned char last_blank = 0x20;
    constexpr unsigned char del = 0x7f;
    return !name.empty() && std::ranges::none_of(name, [](char character) {
        const auto byte = static_cast<unsigned char>(character);
        return byte <= last_blank || byte == del;
    });
}

void domain_drains::apply(const drain_report& report, base::time_point now,
                          base::time_point confirmed)
{
    if (report.complete) {
        if (report.version >= version_) {
            replace(report, now);
        }
    } else {
        for (const auto& change : report.changes) {
            if (change.version <= version_) {
                continue;
            }
            if (change.drained) {
                add(change.domain, now);
            } else {
                since_.erase(change.domain);
            }
        }
    }
    version_ = std::max(version_, report.version);
    confirmed_at_ = confirmed_at_ ? std::max(*confirmed_at_, confirmed) : confirmed;
}

void domain_drains::replace(const drain_report& report, base::time_point now)
{
    std::set<std::string_view> drained;
    for (const auto& change : report.changes) {
        drained.insert(change.domain);
        add(change.domain, now);
    }
    std::erase_if(since_, [&drained](const auto& known) { return !drained.contains(known.first); });
}

void domain_drains::add(const std::string& domain, base::time_point now)
{
    const bool added = since_.try_emplace(domain, now).second;
    if (added && !is_domain_name(domain)) {
        log.warning("drained_domain_malformed", {{"domain", domain}});
    }
}

bool domain_drains::contains(std::string_view domain) const
{
    return !domain.empty() && since_.find(domain) != since_.end();
}

} // namespace poplarstile::catalog
