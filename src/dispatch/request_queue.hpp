#pragma once

#include "dispatch/messages.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace poplarstile::dispatch
{

/// Requests that wait for a worker: urgent classes first, then by the rules' precedence, then in
/// the order in which they came. Bounded by its user through `size`.
class request_queue
{
public:
    /// `rank` is smaller for work that goes first.
    void push(request_number number, std::uint32_t rank)
    {
        const place where{rank, next_sequence_++};
        waiting_.emplace(where, number);
        places_.emplace(number, where);
        ++counts_[rank];
    }

    [[nodiscard]] std::optional<request_number> front() const
    {
        return waiting_.empty() ? std::nullopt
                                : std::optional<request_number>{waiting_.begin()->second};
    }

    /// Removes a request wherever it waits; does nothing when it does not.
    void remove(request_number number)
    {
        const auto found = places_.find(number);
        if (found != places_.end()) {
            const auto count = counts_.find(found->second.first);
            if (--count->second == 0) {
                counts_.erase(count);
            }
            waiting_.erase(found->second);
            places_.erase(found);
        }
    }

    [[nodiscard]] std::size_t size() const
    {
        return waiting_.size();
    }

    /// How many wait with this rank or a smaller one.
    [[nodiscard]] std::size_t size_up_to(std::uint32_t rank) const
    {
        std::size_t count = 0;
        for (auto entry = counts_.begin(); entry != counts_.end() && entry->first <= rank;
             ++entry) {
            count += entry->second;
        }
        return count;
    }

    /// Visits every waiting request, first to last, until `visit` returns false.
    template <class Visit>
    void for_each(Visit visit) const
    {
        for (const auto& entry : waiting_) {
            if (!visit(entry.second)) {
                return;
            }
        }
    }

private:
    /// Rank, then order of arrival.
    using place = std::pair<std::uint32_t, std::uint64_t>;

    std::map<place, request_number> waiting_;
    std::unordered_map<request_number, place> places_;
    /// Waiting requests of each rank; ranks are few, so that an estimate of waiting stays cheap.
    std::map<std::uint32_t, std::size_t> counts_;
    std::uint64_t next_sequence_ = 0;
};

} // namespace poplarstile::dispatch
