#include "net/internal/waiting_calls.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace poplarstile::net::internal
{
namespace
{

/// Moves the calls whose deadlines have come from one list to another.
void move_expired(std::deque<waiting_call>& from, base::time_point now,
                  std::vector<waiting_call>& expired)
{
    const auto first = std::stable_partition(
        from.begin(), from.end(), [now](const waiting_call& call) { return call.deadline > now; });
    std::move(first, from.end(), std::back_inserter(expired));
    from.erase(first, from.end());
}

} // namespace

std::string target_of(std::string_view url)
{
    constexpr std::string_view after_scheme = "://";
    const auto scheme_end = url.find(after_scheme);
    const auto host = scheme_end == std::string_view::npos ? 0 : scheme_end + after_scheme.size();
    return std::string{url.substr(0, url.find('/', host))};
}

void waiting_calls::add(waiting_call added)
{
    auto& target = targets_[added.call->target];
    auto& line = added.call->call.urgent ? target.urgent : target.others;
    line.push_back(std::move(added));
    ++waiting_;
}

std::optional<waiting_call> waiting_calls::take(const std::string& target)
{
    const auto found = targets_.find(target);
    if (found == targets_.end() || found->second.under_way >= most_under_way_) {
        return std::nullopt;
    }
    auto& state = found->second;
    auto& line = state.urgent.empty() ? state.others : state.urgent;
    if (line.empty()) {
        return std::nullopt;
    }
    auto next = std::move(line.front());
    line.pop_front();
    --waiting_;
    ++state.under_way;
    return next;
}

void waiting_calls::end(const std::string& target)
{
    const auto found = targets_.find(target);
    if (found == targets_.end()) {
        return;
    }
    found->second.under_way -= found->second.under_way > 0 ? 1 : 0;
    forget_if_idle(target);
}

std::vector<waiting_call> waiting_calls::take_expired(base::time_point now)
{
    std::vector<waiting_call> expired;
    for (auto& [target, state] : targets_) {
        move_expired(state.urgent, now, expired);
        move_expired(state.others, now, expired);
    }
    waiting_ -= expired.size();
    for (const auto& call : expired) {
        forget_if_idle(call.call->target);
    }
    return expired;
}

std::optional<base::time_point> waiting_calls::next_deadline() const
{
    std::optional<base::time_point> earliest;
    const auto consider = [&earliest](const std::deque<waiting_call>& line) {
        for (const auto& call : line) {
            earliest = std::min(earliest.value_or(call.deadline), call.deadline);
        }
    };
    if (waiting_ == 0) {
        return earliest;
    }
    for (const auto& [target, state] : targets_) {
        consider(state.urgent);
        consider(state.others);
    }
    return earliest;
}

void waiting_calls::forget_if_idle(const std::string& target)
{
    const auto found = targets_.find(target);
    const bool idle = found != targets_.end() && found->second.under_way == 0 &&
                      found->second.urgent.empty() && found->second.others.empty();
    if (idle) {
        targets_.erase(found);
    }
}

} // namespace poplarstile::net::internal
