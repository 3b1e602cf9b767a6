#include "standins/site_standin/drain_judge.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace poplarstile::standins::site_standin
{

void drain_judge::drained(const std::string& domain, base::time_point now, base::milliseconds bound)
{
    drains_.try_emplace(domain, drain{now, bound});
}

void drain_judge::restored(const std::string& domain)
{
    drains_.erase(domain);
}

void drain_judge::start_arrived(std::string_view domain, std::string_view task,
                                base::time_point now)
{
    const auto is_over = [now](const drain& one) { return now - one.since > one.bound; };
    const auto found = drains_.find(domain);
    if (found != drains_.end()) {
        if (is_over(found->second)) {
            const auto age =
                std::chrono::duration_cast<base::milliseconds>(now - found->second.since);
            violations_.push_back(
                fmt::format("{}: started in {}, drained for {} ms", task, domain, age.count()));
        }
        return;
    }
    const bool any_over =
        std::ranges::any_of(drains_, [&](const auto& entry) { return is_over(entry.second); });
    starts_elsewhere_ += any_over ? 1 : 0;
}

} // namespace poplarstile::standins::site_standin
