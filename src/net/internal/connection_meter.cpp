#include "net/internal/connection_meter.hpp"

#include <utility>

namespace poplarstile::net::internal
{
namespace
{

void close_all(const std::vector<std::shared_ptr<closable_connection>>& doomed)
{
    for (const auto& each : doomed) {
        each->close_soon();
    }
}

} // namespace

request_ledger::connection connection_meter::open(const std::weak_ptr<closable_connection>& opened)
{
    doomed_connections doomed;
    std::unique_lock lock{mutex_};
    const auto number = ++last_;
    open_.emplace(number, opened);
    if (const auto excess = ledger_.open(number, base::now())) {
        expel(*excess, closing_cause::connections, doomed);
    }
    if (auto alive = opened.lock(); ending_ && alive) {
        doomed.push_back(std::move(alive));
    }
    lock.unlock();
    close_all(doomed);
    return number;
}

void connection_meter::receive(request_ledger::connection receiver, const request_size& size)
{
    doomed_connections doomed;
    std::unique_lock lock{mutex_};
    for (const auto each : ledger_.receive(receiver, memory_of(size), base::now())) {
        expel(each, closing_cause::memory, doomed);
    }
    lock.unlock();
    close_all(doomed);
}

void connection_meter::complete(request_ledger::connection completed, const request_size& size)
{
    receive(completed, size);
    const std::lock_guard lock{mutex_};
    ledger_.complete(completed, base::now());
}

void connection_meter::answer(request_ledger::connection answering)
{
    const std::lock_guard lock{mutex_};
    ledger_.answer(answering, base::now());
}

void connection_meter::wait(request_ledger::connection waiting)
{
    const std::lock_guard lock{mutex_};
    ledger_.wait(waiting, base::now());
}

void connection_meter::close(request_ledger::connection closed)
{
    const std::lock_guard lock{mutex_};
    ledger_.close(closed);
    open_.erase(closed);
}

void connection_meter::refuse_body(request_ledger::connection refused)
{
    const std::lock_guard lock{mutex_};
    ++counters_.closed.at(static_cast<std::size_t>(closing_cause::body_too_long));
    // Without the request's memory, which nothing keeps any more: never over the bound.
    (void)ledger_.receive(refused, 0, base::now());
}

std::shared_ptr<void> connection_meter::handle(const std::shared_ptr<connection_meter>& meter,
                                               const request_size& size)
{
    const auto held = memory_of(size);
    const std::lock_guard lock{meter->mutex_};
    meter->ledger_.handle(held);
    return {nullptr, [meter, held](void* /*none*/) {
                const std::lock_guard held_lock{meter->mutex_};
                meter->ledger_.finish(held);
            }};
}

void connection_meter::close_stalled()
{
    doomed_connections doomed;
    std::unique_lock lock{mutex_};
    for (const auto each : ledger_.stalled(base::now())) {
        expel(each, closing_cause::stalled, doomed);
    }
    lock.unlock();
    close_all(doomed);
}

void connection_meter::close_everything()
{
    doomed_connections doomed;
    std::unique_lock lock{mutex_};
    ending_ = true;
    for (const auto& [number, opened] : open_) {
        if (auto alive = opened.lock()) {
            doomed.push_back(std::move(alive));
        }
    }
    lock.unlock();
    close_all(doomed);
}

request_bounds_counters connection_meter::counters() const
{
    const std::lock_guard lock{mutex_};
    auto counted = counters_;
    counted.held_bytes = ledger_.held_bytes();
    return counted;
}

void connection_meter::expel(request_ledger::connection expelled, closing_cause cause,
                             doomed_connections& doomed)
{
    ++counters_.closed.at(static_cast<std::size_t>(cause));
    ledger_.close(expelled);
    const auto found = open_.find(expelled);
    if (found == open_.end()) {
        return;
    }
    if (auto alive = found->second.lock()) {
        doomed.push_back(std::move(alive));
    }
    open_.erase(found);
}

} // namespace poplarstile::net::internal
