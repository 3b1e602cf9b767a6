#include "control/leader.hpp"

#include "base/event_line.hpp"

#include <map>
#include <span>
#include <string>
#include <string_view>

/// Failure domains that the operator drains: nothing is started there, what runs there runs on.
namespace poplarstile::control
{
namespace
{

constexpr base::event_logger log{"drains"};
constexpr base::milliseconds read_retry{150};

} // namespace

void leader::read_drains()
{
    if (!ports_.drains || lost_ || handing_back_) {
        return;
    }
    const auto now = ports_.time->now();
    if (!drain_reading_.is_due(now, ports_.drains().confirmed_at())) {
        return;
    }
    drain_reading_.begin(now);
    ports_.read_drains([this, alive = alive_](bool served) {
        if (*alive) {
            receive_drains(served);
        }
    });
}

void leader::receive_drains(bool served)
{
    const bool had_read = drain_reading_.has_read();
    drain_reading_.finish(served);
    if (!drain_reading_.has_read()) {
        ports_.time->after(read_retry, [this, alive = alive_] {
            if (*alive) {
                read_drains();
            }
        });
        return;
    }
    if (!had_read) {
        log.keep("drains_read",
                 {{"epoch", epoch_},
                  {"drained_domains", ports_.drains().since().size()},
                  {"took_ms", base::milliseconds_between(began_, ports_.time->now())}});
        schedule_plan();
    }
}

bool leader::drains_known() const
{
    return !ports_.drains || drain_reading_.has_read();
}

bool leader::is_domain_drained(const worker_state& worker) const
{
    return ports_.drains && ports_.drains().contains(worker.facts.failure_domain);
}

std::size_t leader::runs_in_domain(std::string_view domain) const
{
    std::size_t runs = 0;
    for (const auto& [id, worker] : workers_) {
        runs += worker->facts.failure_domain == domain ? worker->runs.size() : 0;
    }
    return runs;
}

std::map<std::string, std::size_t> leader::runs_in_drained_domains() const
{
    std::map<std::string, std::size_t> runs;
    if (ports_.drains) {
        for (const auto& drained : ports_.drains().since()) {
            runs.emplace(drained.first, catalog::is_domain_name(drained.first)
                                            ? runs_in_domain(drained.first)
                                            : std::size_t{0});
        }
    }
    return runs;
}

void leader::update_drains()
{
    if (!ports_.drains) {
        return;
    }
    read_drains();
    const auto now = ports_.time->now();
    const auto& drains = ports_.drains();
    const auto lines = drain_log_.update(drains.since(), now);
    const auto tell = [this](std::string_view event, std::span<const drain_lines::domain> told) {
        for (const auto& domain : told) {
            log.keep(event, {{"domain", domain.name},
                             {"age_ms", domain.age.count()},
                             {"runs", runs_in_domain(domain.name)},
                             {"epoch", epoch_}});
        }
    };
    tell("domain_drained", lines.drained);
    tell("domain_restored", lines.restored);
    tell("domain_drain_progress", lines.in_progress);
    const auto confirmed_at = drains.confirmed_at();
    const bool old = confirmed_at && now - *confirmed_at > options_.domain_drain_time / 2;
    if (old && drain_log_.may_log_old_view(now)) {
        log.warning("drains_view_old", {{"age_ms", base::milliseconds_between(*confirmed_at, now)},
                                        {"drained_domains", drains.since().size()},
                                        {"epoch", epoch_}});
    }
}

} // namespace poplarstile::control
