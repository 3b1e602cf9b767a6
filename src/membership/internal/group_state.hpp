#pragma once

#include "membership/internal/broadcast_queue.hpp"
#include "membership/internal/roster.hpp"
#include "membership/membership.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

/// The decisions of one VM: probes, answers, news. See membership.hpp for the algorithm.
namespace poplarstile::membership::internal
{

/// Why a probe was sent, which says what its failure means.
enum class probe_kind : std::uint8_t { own_domain, other_domain, revival };

/// A probe whose answer is awaited.
struct pending_probe {
    probe_kind kind{};
    std::string target{};
    /// When others are asked to try.
    time_point indirect_at{};
    /// When the target is doubted.
    time_point fail_at{};
    bool indirect_sent = false;
};

/// A probe made for another VM.
struct relayed_probe {
    std::string requester{};
    std::uint64_t requester_probe{};
    time_point expires_at{};
};

class group_state
{
public:
    group_state(const config& limits, self_description self, std::vector<seed> seeds,
                std::uint64_t random_seed);

    std::vector<action> decide(const event& what);

    [[nodiscard]] const roster& others() const;
    [[nodiscard]] member self() const;
    [[nodiscard]] bool is_delegate() const;
    [[nodiscard]] const std::map<std::string, peer::lease_view, std::less<>>& leases() const;
    [[nodiscard]] unsigned health_score() const;

private:
    // Events.
    void on(const tick& what);
    void on(const message_received& what);
    void on(const probe_failed& what);
    void on(const vm_list_received& what);
    void on(const leave_requested& what);
    void on(const rules_in_force& what);
    void on(const lease_observed& what);

    // Messages.
    void receive(const peer::ping& body);
    void receive(const peer::ping_ack& body);
    void receive(const peer::ping_request& body);
    void receive(const peer::leave& body);
    void receive(const peer::members_request& body);
    void receive(const peer::members_reply& body);
    template <class Other>
    void receive(const Other& /*body*/)
    {
    }

    // Time.
    void notice_pause();
    void check_pending_probes();
    void check_suspicions();
    [[nodiscard]] milliseconds scaled(milliseconds healthy) const;
    void raise_health_score(unsigned by);
    void lower_health_score();

    // Probes.
    void probe_own_domain();
    void probe_other_domain();
    void probe_missing();
    void probe_doubted();
    void ask_for_members();
    void send_probe(probe_kind kind, std::string_view vm, std::string_view address);
    void send_indirect_probes(std::uint64_t number, const pending_probe& probe);
    void fail(const pending_probe& probe);
    [[nodiscard]] const entry* next_own_target();
    [[nodiscard]] std::vector<seed> missing() const;

    // Gossip.
    [[nodiscard]] peer::gossip header_for(std::string_view vm);
    [[nodiscard]] std::vector<peer::member_update> updates_for(std::string_view vm);
    void append_refresh(std::vector<peer::member_update>& updates, std::size_t count);
    [[nodiscard]] std::vector<peer::lease_view> leases_to_send();
    void take_in(const peer::gossip& header);
    void take_in(const peer::member_update& claim);
    void take_in(const peer::lease_view& lease);
    void deny(const peer::member_update& claim);
    void note(std::string_view vm, const change& what);
    void report(const change& what);
    void announce(std::string_view vm);
    void spread_leave(std::string_view vm, std::uint64_t incarnation);
    [[nodiscard]] peer::member_update own_update() const;
    [[nodiscard]] static peer::member_update update_of(const entry& known);

    void send(std::string_view vm, std::string_view address, peer::message body);
    [[nodiscard]] std::string address_of(std::string_view vm) const;
    [[nodiscard]] std::vector<const entry*> pick(std::vector<const entry*> from, std::size_t count);

    config limits_;
    self_description self_;
    std::vector<seed> seeds_;
    std::mt19937_64 random_;
    roster roster_;
    std::map<std::string, peer::lease_view, std::less<>> leases_;
    std::string lease_cursor_;
    bool leaving_ = false;
    std::uint64_t rules_version_ = 0;

    time_point now_{};
    time_point last_event_{};
    bool started_ = false;
    unsigned health_score_ = 0;
    time_point next_own_probe_{};
    time_point next_delegate_probe_{};
    time_point next_missing_probe_{};
    time_point next_doubted_probe_{};
    std::vector<std::string> probe_order_;
    std::size_t delegate_cursor_ = 0;
    /// While joining: the last member of the pages read so far.
    std::optional<std::string> page_cursor_{std::string{}};
    std::uint64_t last_probe_ = 0;
    std::map<std::uint64_t, pending_probe> pending_;
    std::map<std::uint64_t, relayed_probe> relayed_;

    broadcast_queue own_news_;
    broadcast_queue foreign_news_;
    std::string refresh_cursor_;
    std::vector<action> actions_;
};

} // namespace poplarstile::membership::internal
