#include "routing/worker_pool.hpp"

#include <algorithm>

namespace poplarstile::routing
{

worker_pool::worker_pool(std::span<const worker_description> workers, const pool_options& options,
                         std::uint64_t seed)
    : options_{options}, random_{seed}
{
    for (const auto& worker : workers) {
        workers_.push_back(
            {.description = worker,
             .limit = limits::concurrency_limit{worker.slots, static_cast<double>(worker.slots)}});
    }
}

void worker_pool::set_sharing_vms(std::size_t vms)
{
    for (auto& worker : workers_) {
        const auto slots = static_cast<double>(worker.description.slots);
        const auto share = slots / static_cast<double>(std::max<std::size_t>(vms, 1));
        worker.limit = limits::concurrency_limit{worker.description.slots, share};
    }
}

bool worker_pool::may_take(const worker_state& worker, bool idempotent) const
{
    if (worker.leaving_until || worker.avoided) {
        return false;
    }
    switch (worker.condition) {
    case health::healthy:
        return worker.in_flight < worker.limit.limit();
    case health::probation:
        return idempotent && worker.in_flight == 0;
    case health::ejected:
        return false;
    }
    return false;
}

void worker_pool::start_probations(base::time_point now)
{
    for (auto& worker : workers_) {
        if (worker.leaving_until && now >= *worker.leaving_until) {
            worker.leaving_until.reset();
            if (worker.condition == health::healthy) {
                worker.condition = health::probation;
            }
        }
        if (worker.condition == health::ejected && now >= worker.ejected_until) {
            worker.condition = health::probation;
        }
    }
}

std::optional<worker_index> worker_pool::select(base::time_point now, bool idempotent,
                                                std::span<const worker_index> excluded)
{
    start_probations(now);
    candidates_.clear();
    for (worker_index index = 0; index < workers_.size(); ++index) {
        const bool passed_over = std::ranges::find(excluded, index) != excluded.end();
        if (!passed_over && may_take(workers_[index], idempotent)) {
            candidates_.push_back(index);
        }
    }
    if (candidates_.empty()) {
        return std::nullopt;
    }
    std::uniform_int_distribution<std::size_t> draw{0, candidates_.size() - 1};
    const auto first = candidates_[draw(random_)];
    const auto second = candidates_[draw(random_)];
    return workers_[second].in_flight < workers_[first].in_flight ? second : first;
}

void worker_pool::begin(worker_index worker)
{
    ++workers_[worker].in_flight;
}

void worker_pool::end(worker_index worker, attempt_verdict verdict, base::time_point now)
{
    auto& state = workers_[worker];
    state.in_flight -= state.in_flight > 0 ? 1 : 0;
    switch (verdict) {
    case attempt_verdict::succeeded:
        state.limit.record_success(state.in_flight);
        state.failures_in_row = 0;
        state.condition = health::healthy;
        state.ejection = base::milliseconds{0};
        break;
    case attempt_verdict::busy:
        state.limit.record_busy();
        break;
    case attempt_verdict::failed:
    case attempt_verdict::unreachable:
        record_failure(state, now);
        break;
    case attempt_verdict::neutral:
        break;
    }
}

void worker_pool::record_failure(worker_state& worker, base::time_point now)
{
    ++worker.failures_in_row;
    const bool canary_failed = worker.condition == health::probation;
    const bool too_many = worker.failures_in_row >= options_.failures_to_eject;
    const bool already_ejected = worker.condition == health::ejected;
    if (canary_failed || (too_many && !already_ejected && may_eject_another())) {
        eject(worker, now);
    }
}

bool worker_pool::may_eject_another() const
{
    const auto ejected = std::ranges::count_if(
        workers_, [](const worker_state& worker) { return worker.condition != health::healthy; });
    const auto most = options_.max_ejected_share * static_cast<double>(workers_.size());
    return static_cast<double>(ejected + 1) <= most;
}

void worker_pool::eject(worker_state& worker, base::time_point now)
{
    const bool first = worker.ejection.count() == 0;
    worker.ejection =
        first ? options_.first_ejection : std::min(worker.ejection * 2, options_.longest_ejection);
    worker.condition = health::ejected;
    worker.ejected_until = now + worker.ejection;
}

void worker_pool::set_leaving(worker_index worker, base::time_point now)
{
    workers_[worker].leaving_until = now + options_.leaving_recheck;
}

void worker_pool::set_avoided(worker_index worker, bool avoided)
{
    workers_[worker].avoided = avoided;
}

const worker_description& worker_pool::description(worker_index worker) const
{
    return workers_[worker].description;
}

std::optional<worker_index> worker_pool::find(std::string_view id) const
{
    for (worker_index index = 0; index < workers_.size(); ++index) {
        if (workers_[index].description.id == id) {
            return index;
        }
    }
    return std::nullopt;
}

std::size_t worker_pool::size() const
{
    return workers_.size();
}

std::uint32_t worker_pool::in_flight(worker_index worker) const
{
    return workers_[worker].in_flight;
}

bool worker_pool::ejected(worker_index worker) const
{
    return workers_[worker].condition != health::healthy;
}

std::uint32_t worker_pool::capacity() const
{
    std::uint32_t total = 0;
    for (const auto& worker : workers_) {
        const bool usable =
            !worker.leaving_until && !worker.avoided && worker.condition == health::healthy;
        total += usable ? worker.limit.limit() : 0;
    }
    return total;
}

} // namespace poplarstile::routing
