#pragma once

#include "membership/membership.hpp"
#include "peer/peer_codec.hpp"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

/// Groups that exchange their messages in memory, at made-up times and with made-up faults.
namespace poplarstile::membership
{

/// Of every message, sent or received, besides the body: HTTP request or status line and headers.
inline constexpr std::uint64_t http_overhead_bytes = 150;

/// What happens to messages on their way.
struct network_faults {
    double loss = 0;
    double duplication = 0;
    milliseconds min_delay{1};
    milliseconds max_delay{2};
    std::function<bool(const std::string& from, const std::string& to)> is_cut{};
};

/// A change that one VM saw in another.
struct sighting {
    time_point at{};
    std::string observer{};
    member_changed what{};
};

class message_bag
{
public:
    explicit message_bag(std::uint64_t random_seed, config limits = {})
        : limits_{limits}, random_{random_seed}
    {
    }

    network_faults faults{};
    std::vector<sighting> sightings{};
    std::vector<std::pair<std::string, pause_noticed>> pauses{};
    std::map<std::string, std::uint64_t> bytes{};
    std::map<std::string, std::size_t> refutations{};

    /// Starts a VM; its seeds are the VMs started before it.
    void start(const std::string& vm, const std::string& domain, std::uint64_t incarnation = 1)
    {
        auto made = create(limits_, {vm, domain, vm, incarnation}, seeds_, random_());
        if (!made) {
            throw std::logic_error{base::describe(made.error())};
        }
        groups_.insert_or_assign(vm, std::move(made).value());
        next_tick_[vm] = now_ + milliseconds{random_() % tick_ms};
        if (std::ranges::find(seeds_, vm, &seed::vm) == seeds_.end()) {
            seeds_.push_back({vm, domain, vm});
        }
    }

    /// Starts `count` VMs in `domains` failure domains, `vm000` in `d0`, `vm001` in `d1`, ...
    void start_many(std::size_t count, std::size_t domains)
    {
        for (std::size_t i = 0; i < count; ++i) {
            auto number = std::to_string(i);
            number.insert(0, 3 - std::min<std::size_t>(3, number.size()), '0');
            start("vm" + number, "d" + std::to_string(i % domains));
        }
    }

    void kill(const std::string& vm)
    {
        groups_.erase(vm);
        next_tick_.erase(vm);
    }

    void freeze(const std::string& vm)
    {
        frozen_.insert(vm);
    }

    void thaw(const std::string& vm)
    {
        frozen_.erase(vm);
    }

    void give(const std::string& vm, const event& what)
    {
        take(vm, groups_.at(vm).decide(what));
    }

    void run_for(milliseconds span)
    {
        const auto end = now_ + span;
        while (now_ < end) {
            now_ += milliseconds{step_ms};
            deliver();
            run_ticks();
        }
    }

    [[nodiscard]] time_point now() const
    {
        return now_;
    }

    [[nodiscard]] group& at(const std::string& vm)
    {
        return groups_.at(vm);
    }

    [[nodiscard]] std::vector<std::string> running() const
    {
        std::vector<std::string> ids;
        for (const auto& [vm, each] : groups_) {
            ids.push_back(vm);
        }
        return ids;
    }

    /// How many of the running VMs hold `vm` to be in `state`.
    [[nodiscard]] std::size_t holders_of(const std::string& vm, peer::member_state state) const
    {
        return static_cast<std::size_t>(std::ranges::count_if(groups_, [&](const auto& item) {
            const auto known = item.second.find(vm);
            return known && known->state == state;
        }));
    }

    /// Runs until `done`, at most for `limit`; the time it took, or nothing.
    [[nodiscard]] std::optional<milliseconds> run_until(milliseconds limit,
                                                        const std::function<bool()>& done)
    {
        const auto begin = now_;
        while (now_ - begin < limit) {
            if (done()) {
                return std::chrono::duration_cast<milliseconds>(now_ - begin);
            }
            run_for(milliseconds{tick_ms});
        }
        return done() ? std::optional{limit} : std::nullopt;
    }

    /// Whether every running VM holds exactly the running VMs to be alive.
    [[nodiscard]] bool agreed() const
    {
        const auto ids = running();
        return std::ranges::all_of(ids, [&](const std::string& vm) {
            return holders_of(vm, peer::member_state::alive) == ids.size();
        });
    }

private:
    static constexpr std::uint64_t tick_ms = 100;
    static constexpr std::uint64_t step_ms = 5;

    struct letter {
        std::string to{};
        peer::message body{};
        std::uint64_t size{};
    };

    [[nodiscard]] bool chance(double share)
    {
        return std::uniform_real_distribution<double>{0, 1}(random_) < share;
    }

    void take(const std::string& vm, std::vector<action> actions)
    {
        for (auto& each : actions) {
            if (auto* out = std::get_if<send_message>(&each)) {
                post(vm, *out);
            } else if (auto* seen = std::get_if<member_changed>(&each)) {
                sightings.push_back({now_, vm, *seen});
            } else if (auto* pause = std::get_if<pause_noticed>(&each)) {
                pauses.emplace_back(vm, *pause);
            } else if (std::holds_alternative<refuted>(each)) {
                ++refutations[vm];
            }
        }
    }

    void post(const std::string& from, const send_message& out)
    {
        const auto size = peer::encode(out.body).value().size() + http_overhead_bytes;
        bytes[from] += size;
        const bool cut = faults.is_cut && faults.is_cut(from, out.vm);
        if (cut || chance(faults.loss)) {
            return;
        }
        const auto copies = chance(faults.duplication) ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            const auto span = (faults.max_delay - faults.min_delay).count() + 1;
            const auto delay =
                faults.min_delay + milliseconds{static_cast<std::int64_t>(
                                       random_() % static_cast<std::uint64_t>(span))};
            in_flight_.emplace(now_ + delay, letter{out.vm, out.body, size});
        }
    }

    void deliver()
    {
        while (!in_flight_.empty() && in_flight_.begin()->first <= now_) {
            auto next = std::move(in_flight_.begin()->second);
            in_flight_.erase(in_flight_.begin());
            if (frozen_.contains(next.to)) {
                in_flight_.emplace(now_ + milliseconds{step_ms}, std::move(next));
            } else if (groups_.contains(next.to)) {
                bytes[next.to] += next.size;
                give(next.to, message_received{now_, std::move(next.body)});
            }
        }
    }

    void run_ticks()
    {
        for (auto& [vm, at] : next_tick_) {
            if (at <= now_ && !frozen_.contains(vm)) {
                at = now_ + milliseconds{tick_ms};
                give(vm, tick{now_});
            }
        }
    }

    config limits_;
    std::mt19937_64 random_;
    time_point now_{std::chrono::seconds{1'000}};
    std::vector<seed> seeds_;
    std::map<std::string, group> groups_;
    std::map<std::string, time_point> next_tick_;
    std::set<std::string> frozen_;
    std::multimap<time_point, letter> in_flight_;
};

} // namespace poplarstile::membership
