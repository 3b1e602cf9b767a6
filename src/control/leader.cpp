#include "control/leader.hpp"

#include "base/event_line.hpp"
#include "control/plan_input.hpp"

#include <utility>

namespace poplarstile::control
{
namespace
{

constexpr base::event_logger log{"leader"};
constexpr base::milliseconds tick_interval{100};

} // namespace

leader::leader(leader_ports ports, leader_options options, store::lease_record lease,
               store::row_version version)
    : ports_{std::move(ports)}, options_{std::move(options)}, epoch_{lease.epoch},
      holder_{lease.holder}, began_{ports_.time->now()}
{
    store::journal_options journal_options;
    journal_options.part = options_.part;
    store::journal::events told;
    told.on_lost = [this](const store::lease_record& found) {
        log.warning("lease_lost", {{"epoch", epoch_},
                                   {"found_holder", found.holder},
                                   {"found_epoch", found.epoch}});
        active_ = false;
        if (ports_.on_lost) {
            ports_.on_lost(found);
        }
    };
    journal_ = std::make_unique<store::journal>(*ports_.rows, *ports_.time, journal_options,
                                                std::move(lease), version, std::move(told));
}

leader::~leader()
{
    *alive_ = false;
}

void leader::start()
{
    log.info("taking_over", {{"epoch", epoch_}});
    read_jobs({});
    read_workers();
    tick_later();
}

void leader::hand_back(std::function<void()> on_done)
{
    log.info("handing_back", {{"epoch", epoch_}, {"open_jobs", jobs_.size()}});
    handing_back_ = true;
    journal_->hand_back(std::move(on_done));
}

std::vector<cluster::job_view> leader::views() const
{
    std::vector<cluster::job_view> views;
    views.reserve(jobs_.size());
    for (const auto& [id, entry] : jobs_) {
        const auto& accepted = entry.state.accepted();
        views.push_back({id, accepted.policy.queue, accepted.workspace, entry.shown});
    }
    return views;
}

std::vector<cluster::queue_load> leader::loads() const
{
    std::map<std::string, std::uint32_t> waiting;
    for (const auto& [id, entry] : jobs_) {
        auto& count = waiting[entry.state.accepted().policy.queue];
        count += entry.state.open() && !entry.state.started() ? 1 : 0;
    }
    std::vector<cluster::queue_load> loads;
    for (const auto& [queue, count] : waiting) {
        loads.push_back({queue, count});
    }
    return loads;
}

void leader::tick_later()
{
    ports_.time->after(tick_interval, [this, alive = alive_] {
        if (*alive) {
            tick();
            tick_later();
        }
    });
}

void leader::tick()
{
    if (!active_) {
        return;
    }
    std::vector<std::string> names;
    names.reserve(workers_.size());
    for (const auto& [id, worker] : workers_) {
        names.push_back(id);
    }
    for (const auto& id : names) {
        const auto found = workers_.find(id);
        if (found != workers_.end()) {
            tend_worker(*found->second);
        }
    }
    forget_old_jobs();
    plan_soon();
}

} // namespace poplarstile::control
