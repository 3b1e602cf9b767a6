#include "drain_metrics.hpp"

#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <chrono>

namespace poplarstile::daemon
{
namespace
{

constexpr const char* help = "See docs/OPERATIONS.md";

} // namespace

std::string drain_metrics_text(const vm_labels& own, const catalog::domain_drains& drains,
                               const control::leader* leading, base::time_point now)
{
    if (!drains.confirmed_at()) {
        return {};
    }
    prometheus::Registry registry;
    const auto family = [&](const char* name) -> prometheus::Family<prometheus::Gauge>& {
        return prometheus::BuildGauge()
            .Name(name)
            .Help(help)
            .Labels(
                {{"vm", std::string{own.vm}}, {"failure_domain", std::string{own.failure_domain}}})
            .Register(registry);
    };
    const auto seconds_since = [now](base::time_point then) {
        return std::chrono::duration<double>{now - then}.count();
    };
    family("poplarstile_drained_domains").Add({}).Set(static_cast<double>(drains.since().size()));
    family("poplarstile_drains_age_seconds").Add({}).Set(seconds_since(*drains.confirmed_at()));
    auto& ages = family("poplarstile_domain_drained_seconds");
    for (const auto& [domain, since] : drains.since()) {
        ages.Add({{"domain", domain}}).Set(seconds_since(since));
    }
    if (leading != nullptr) {
        auto& runs = family("poplarstile_runs_in_drained_domains");
        for (const auto& [domain, count] : leading->runs_in_drained_domains()) {
            runs.Add({{"domain", domain}}).Set(static_cast<double>(count));
        }
    }
    return prometheus::TextSerializer{}.Serialize(registry.Collect());
}

} // namespace poplarstile::daemon
