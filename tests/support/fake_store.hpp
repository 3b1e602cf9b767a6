#pragma once

#include "store/row_store.hpp"
#include "support/virtual_time.hpp"

#include <algorithm>
#include <functional>
#include <iterator>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace poplarstile::tests
{

/// A linearizable store of rows in memory, with the faults that the real one has. Several VMs share
/// it, each through a port of its own.
class fake_store
{
public:
    /// What the store does to one call.
    enum class fate : std::uint8_t {
        serve,
        /// Answers that it did nothing.
        refuse,
        /// Neither does it nor answers.
        swallow,
        /// Does it and does not answer.
        lose_answer,
        /// Does it some time later, if it still may, and does not answer.
        late,
    };

    /// Decides what happens to a call of a VM.
    std::function<fate(const std::string& vm, bool is_write)> decide =
        [](const std::string& /*vm*/, bool /*is_write*/) { return fate::serve; };

    /// Parts that neither serve nor answer.
    std::set<std::string> away_parts{};

    base::milliseconds latency{4};
    base::milliseconds late_by{2'500};
    base::milliseconds call_timeout{400};

    explicit fake_store(virtual_time& time) : time_{time} {}

    /// The store as one VM reaches it.
    [[nodiscard]] store::row_store port(const std::string& vm)
    {
        store::row_store made;
        made.away = [this, vm](const std::string& part) -> std::optional<base::milliseconds> {
            const bool served = !away_parts.contains(part) && decide(vm, false) == fate::serve;
            return served ? std::nullopt : std::optional{base::milliseconds{1'000}};
        };
        made.commit = [this, vm](store::transaction sent,
                                 const std::function<void(store::commit_reply)>& handler) {
            commit(vm, std::move(sent), handler);
        };
        made.read = [this, vm](store::read_range range,
                               std::function<void(store::read_reply)> handler) {
            read(vm, std::move(range), std::move(handler));
        };
        made.follow = [this, vm](store::feed_request asked,
                                 std::function<void(store::feed_reply)> handler) {
            follow(vm, std::move(asked), std::move(handler));
        };
        return made;
    }

    /// Writes a row as somebody else would.
    void put(const store::row_id& id, std::string value)
    {
        store::transaction made;
        made.puts.push_back({id, std::move(value)});
        (void)apply(made);
    }
    void remove(const store::row_id& id)
    {
        store::transaction made;
        made.removes.push_back(id);
        (void)apply(made);
    }

    [[nodiscard]] std::optional<store::row> find(const store::row_id& id) const
    {
        const auto found = rows_.find(id);
        if (found == rows_.end()) {
            return std::nullopt;
        }
        return store::row{id, found->second.value, found->second.version};
    }
    [[nodiscard]] std::vector<store::row> all(const std::string& table) const
    {
        std::vector<store::row> found;
        for (const auto& [id, row] : rows_) {
            if (id.table == table) {
                found.push_back({id, row.value, row.version});
            }
        }
        return found;
    }

    /// Drops the history: whoever follows from before has to read again.
    void forget_history()
    {
        forgotten_ = version_;
        changes_.clear();
    }

    [[nodiscard]] std::size_t writes() const
    {
        return writes_;
    }

private:
    [[nodiscard]] base::store_time clock_now() const
    {
        return base::store_time{base::milliseconds{time_.now_ms()}};
    }

    struct stored {
        std::string value;
        store::row_version version = 0;
    };

    [[nodiscard]] store::row_version version_of(const store::row_id& id) const
    {
        const auto found = rows_.find(id);
        return found == rows_.end() ? 0 : found->second.version;
    }

    store::commit_reply apply(const store::transaction& sent)
    {
        store::commit_reply reply;
        reply.store_now = clock_now();
        const bool holds = std::ranges::all_of(sent.expected, [this](const auto& condition) {
            return version_of(condition.id) == condition.version;
        });
        if (!holds) {
            reply.outcome = store::call_outcome::conflict;
            for (const auto& condition : sent.expected) {
                reply.current.push_back(
                    find(condition.id).value_or(store::row{condition.id, {}, 0}));
            }
            return reply;
        }
        ++version_;
        ++writes_;
        for (const auto& put : sent.puts) {
            rows_[put.id] = {put.value, version_};
            changes_.push_back({{put.id, put.value, version_}, false});
        }
        for (const auto& id : sent.removes) {
            if (rows_.erase(id) > 0) {
                changes_.push_back({{id, {}, version_}, true});
            }
        }
        reply.outcome = store::call_outcome::done;
        reply.version = version_;
        return reply;
    }

    void commit(const std::string& vm, store::transaction sent,
                const std::function<void(store::commit_reply)>& handler)
    {
        const bool away =
            !sent.expected.empty() && away_parts.contains(sent.expected.front().id.part);
        const auto what = away ? fate::swallow : decide(vm, true);
        const auto unanswered = [this, handler] {
            time_.after(call_timeout, [handler] { handler({}); });
        };
        switch (what) {
        case fate::serve:
            time_.after(latency, [this, sent = std::move(sent), handler] {
                const auto reply = apply(sent);
                time_.after(latency, [handler, reply] { handler(reply); });
            });
            return;
        case fate::refuse:
            time_.after(latency, [handler] {
                store::commit_reply reply;
                reply.outcome = store::call_outcome::refused;
                handler(reply);
            });
            return;
        case fate::swallow:
            unanswered();
            return;
        case fate::lose_answer:
            time_.after(latency, [this, sent = std::move(sent)] { (void)apply(sent); });
            unanswered();
            return;
        case fate::late:
            time_.after(late_by, [this, sent = std::move(sent)] { (void)apply(sent); });
            unanswered();
            return;
        }
    }

    void read(const std::string& vm, store::read_range range,
              std::function<void(store::read_reply)> handler)
    {
        const auto what = away_parts.contains(range.part) ? fate::swallow : decide(vm, false);
        if (what != fate::serve) {
            fail_read(what, [handler](store::call_outcome outcome) {
                store::read_reply reply;
                reply.outcome = outcome;
                handler(reply);
            });
            return;
        }
        time_.after(latency, [this, range = std::move(range), handler = std::move(handler)] {
            store::read_reply reply;
            reply.outcome = store::call_outcome::done;
            reply.version = version_;
            reply.store_now = clock_now();
            for (const auto& [id, row] : rows_) {
                const bool inside = id.table == range.table && id.part == range.part &&
                                    id.key >= range.from && (range.to.empty() || id.key < range.to);
                if (!inside) {
                    continue;
                }
                if (range.limit > 0 && reply.rows.size() == range.limit) {
                    reply.truncated = true;
                    break;
                }
                reply.rows.push_back({id, row.value, row.version});
            }
            time_.after(latency, [handler, reply] { handler(reply); });
        });
    }

    void follow(const std::string& vm, store::feed_request asked,
                std::function<void(store::feed_reply)> handler)
    {
        const auto what = decide(vm, false);
        if (what != fate::serve) {
            fail_read(what, [handler](store::call_outcome outcome) {
                store::feed_reply reply;
                reply.outcome = outcome;
                handler(reply);
            });
            return;
        }
        poll_feed(std::move(asked), std::move(handler), time_.now());
    }

    void poll_feed(store::feed_request asked, std::function<void(store::feed_reply)> handler,
                   base::time_point since)
    {
        constexpr base::milliseconds step{2};
        time_.after(
            step, [this, asked = std::move(asked), handler = std::move(handler), since]() mutable {
                store::feed_reply reply;
                reply.store_now = clock_now();
                reply.version = version_;
                if (asked.after < forgotten_) {
                    reply.outcome = store::call_outcome::expired;
                    handler(reply);
                    return;
                }
                const auto first = std::ranges::upper_bound(
                    changes_, asked.after, {},
                    [](const store::changed_row& change) { return change.current.version; });
                std::copy_if(first, changes_.end(), std::back_inserter(reply.rows),
                             [&asked](const store::changed_row& change) {
                                 return change.current.id.table == asked.table;
                             });
                if (reply.rows.empty() && time_.now() - since < asked.wait) {
                    // What has been looked through is not looked through again.
                    asked.after = std::max(asked.after, version_);
                    poll_feed(std::move(asked), std::move(handler), since);
                    return;
                }
                reply.outcome = store::call_outcome::done;
                time_.after(latency, [handler, reply] { handler(reply); });
            });
    }

    void fail_read(fate what, std::function<void(store::call_outcome)> handler)
    {
        const bool refused = what == fate::refuse;
        time_.after(refused ? latency : call_timeout, [refused, handler = std::move(handler)] {
            handler(refused ? store::call_outcome::refused : store::call_outcome::unknown);
        });
    }

    virtual_time& time_;
    std::map<store::row_id, stored> rows_{};
    std::vector<store::changed_row> changes_{};
    store::row_version version_ = 0;
    store::row_version forgotten_ = 0;
    std::size_t writes_ = 0;
};

} // namespace poplarstile::tests
