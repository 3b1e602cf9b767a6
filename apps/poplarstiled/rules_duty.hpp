#pragma once

#include "duty.hpp"
#include "node.hpp"
#include "peer_link.hpp"

#include "net/http_server.hpp"
#include "rules/rules_replica.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace poplarstile::daemon
{

/// The duty that keeps this VM's rules at the newest accepted version, from the table or, while the
/// table is out of reach, from peers. A version never goes back.
///
/// The live VM of the failure domain with the lowest id reads `rules/head` each poll interval, the
/// next one half as often, the others seldom: they learn of a newer version by gossip and fetch the
/// changes from a peer. The table's cost therefore does not grow with the number of VMs.
class rules_duty
{
public:
    using changed_handler = std::function<void(const std::shared_ptr<const rules::ruleset>&)>;

    rules_duty(node& owner, peer_link& link);

    void start(changed_handler on_changed);
    void stop();

    /// A peer is known to have newer rules.
    void ask_peer(const std::string& address);
    /// Answers a peer that asks for rules after a version.
    void answer_peer(std::uint64_t after_version, const net::http_responder& responder) const;
    /// A change was accepted just now: reads the table at once.
    void look_now();
    /// Does `work` on this duty's thread after a delay, to the precision of its tick.
    void defer(base::milliseconds delay, std::function<void()> work);

private:
    struct head_read {
        /// Nothing when the table did not answer.
        std::optional<rules::rules_version> version{};
    };
    struct change_read {
        /// Nothing when the row is gone or the table did not answer.
        std::optional<rules::change_record> change{};
        rules::rules_version newest = 0;
    };
    struct all_read {
        std::optional<rules::stored_rules> stored{};
    };
    struct peer_answered {
        peer::rules_reply reply{};
    };
    struct look_requested {
    };
    struct deferred {
        base::time_point due{};
        std::function<void()> work{};
    };
    using message =
        std::variant<head_read, change_read, all_read, peer_answered, look_requested, deferred>;

    void handle(message happened);
    void handle_one(head_read& happened);
    void handle_one(change_read& happened);
    void handle_one(all_read& happened);
    void handle_one(peer_answered& happened);
    void handle_one(look_requested& happened);
    void handle_one(deferred& happened);
    void run_deferred();
    void on_tick();
    [[nodiscard]] base::milliseconds poll_interval() const;
    void read_head();
    void read_change(rules::rules_version version, rules::rules_version newest);
    void read_all();
    void publish();
    void become_ready();
    [[nodiscard]] bool newest_among_peers() const;

    node& node_;
    peer_link& link_;
    changed_handler on_changed_;
    rules::rules_replica replica_;
    published<rules::rules_replica> shared_;
    base::time_point started_at_{};
    base::time_point asked_at_{};
    bool reading_ = false;
    std::vector<deferred> deferred_;
    /// The table said at least once which version is the newest, and this VM has it.
    bool confirmed_ = false;
    duty<message> duty_;
};

} // namespace poplarstile::daemon
