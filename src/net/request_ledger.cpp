#include "net/request_ledger.hpp"

#include <algorithm>
#include <numeric>

namespace poplarstile::net
{
namespace
{

/// A buffer that grows by doubling has up to twice its content. A body is also copied once for its
/// handler, when its spare capacity no longer grows.
constexpr std::size_t growth = 2;
/// RESTinio keeps offset and length of each chunk.
constexpr std::size_t chunk_bytes = 2 * sizeof(std::size_t);

} // namespace

std::string_view name_of(closing_cause cause)
{
    static constexpr std::array<std::string_view, closing_cause_count> names{
        "memory", "connections", "stalled", "body_too_long"};
    return names.at(static_cast<std::size_t>(cause));
}

std::uint64_t request_bounds_counters::closed_for(closing_cause cause) const
{
    return closed.at(static_cast<std::size_t>(cause));
}

std::uint64_t request_bounds_counters::all_closed() const
{
    return std::accumulate(closed.begin(), closed.end(), std::uint64_t{0});
}

std::size_t memory_of(const request_size& request)
{
    return growth * (request.head_bytes + request.body_bytes + request.chunks * chunk_bytes);
}

std::optional<request_ledger::connection> request_ledger::open(connection opened,
                                                               base::time_point now)
{
    const auto [at, fresh] = entries_.try_emplace(opened);
    if (!fresh) {
        return std::nullopt;
    }
    at->second.last_progress = now;
    enqueue(opened, at->second);
    if (entries_.size() <= options_.max_connections) {
        return std::nullopt;
    }
    return first_to_close(opened, now).value_or(opened);
}

std::vector<request_ledger::connection>
request_ledger::receive(connection receiver, std::size_t held, base::time_point now)
{
    const auto at = entries_.find(receiver);
    if (at == entries_.end()) {
        return {};
    }
    move_to(at, phase::receiving, held, now);
    std::vector<connection> excess;
    auto over = held_bytes() > options_.max_bytes ? held_bytes() - options_.max_bytes : 0;
    for (auto next = receiving_.begin(); over > 0 && next != receiving_.end(); ++next) {
        const auto freed = entries_.at(next->second).held;
        // A connection that has sent nothing of weight would be closed to no avail.
        if (next->second != receiver && freed > 0) {
            excess.push_back(next->second);
            over -= std::min(over, freed);
        }
    }
    if (over > 0) {
        excess.push_back(receiver);
    }
    return excess;
}

void request_ledger::complete(connection completed, base::time_point now)
{
    const auto at = entries_.find(completed);
    if (at != entries_.end()) {
        dequeue(completed, at->second);
        received_bytes_ -= at->second.held;
        at->second = {now, 0, phase::handling, true};
    }
}

void request_ledger::answer(connection answering, base::time_point now)
{
    const auto at = entries_.find(answering);
    // A refusal before the body's end belongs to a request that is still received.
    if (at != entries_.end() && at->second.state != phase::receiving) {
        move_to(at, phase::answering, 0, now);
    }
}

void request_ledger::wait(connection waiting, base::time_point now)
{
    const auto at = entries_.find(waiting);
    if (at != entries_.end() &&
        (at->second.state == phase::handling || at->second.state == phase::answering)) {
        move_to(at, phase::waiting, 0, now);
    }
}

void request_ledger::close(connection closed)
{
    const auto at = entries_.find(closed);
    if (at != entries_.end()) {
        dequeue(closed, at->second);
        received_bytes_ -= at->second.held;
        entries_.erase(at);
    }
}

void request_ledger::handle(std::size_t held)
{
    handled_bytes_ += held;
}

void request_ledger::finish(std::size_t held)
{
    handled_bytes_ -= held;
}

std::vector<request_ledger::connection> request_ledger::stalled(base::time_point now) const
{
    std::vector<connection> found;
    for (const auto& [last_progress, each] : receiving_) {
        if (now - last_progress < options_.stall_timeout) {
            break;
        }
        found.push_back(each);
    }
    return found;
}

void request_ledger::enqueue(connection queued, const entry& described)
{
    switch (described.state) {
    case phase::handling:
        return;
    case phase::answering:
        answering_.emplace(described.last_progress, queued);
        return;
    case phase::receiving:
        receiving_.emplace(described.last_progress, queued);
        break;
    case phase::waiting:
        break;
    }
    (described.has_completed ? proven_ : unproven_).emplace(described.last_progress, queued);
}

void request_ledger::dequeue(connection queued, const entry& described)
{
    const std::pair key{described.last_progress, queued};
    receiving_.erase(key);
    answering_.erase(key);
    unproven_.erase(key);
    proven_.erase(key);
}

void request_ledger::move_to(entry_map::iterator at, phase state, std::size_t held,
                             base::time_point now)
{
    auto& [number, changed] = *at;
    dequeue(number, changed);
    received_bytes_ = received_bytes_ - changed.held + held;
    changed.last_progress = now;
    changed.held = held;
    changed.state = state;
    enqueue(number, changed);
}

std::optional<request_ledger::connection> request_ledger::first_to_close(connection except,
                                                                         base::time_point now) const
{
    const bool unread =
        !answering_.empty() && now - answering_.begin()->first >= options_.unread_time;
    if (unread) {
        return answering_.begin()->second;
    }
    for (const auto* const candidates : {&unproven_, &proven_, &answering_}) {
        for (const auto& [last_progress, each] : *candidates) {
            if (each != except) {
                return each;
            }
        }
    }
    return std::nullopt;
}

} // namespace poplarstile::net
