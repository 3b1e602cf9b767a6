#pragma once

#include "duty.hpp"
#include "node.hpp"
#include "peer_link.hpp"

#include "net/http_server.hpp"
#include "platform/table.hpp"
#include "rules/ruleset.hpp"

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
class rules_duty
{
public:
    using changed_handler = std::function<void(const std::shared_ptr<const rules::ruleset>&)>;

    rules_duty(node& owner, peer_link& link);

    void start(changed_handler on_changed);
    void stop();

    /// A peer is known to have newer rules.
    void ask_peer(std::string address);
    /// Answers a peer that asks for rules after a version.
    void answer_peer(std::uint64_t after_version, const net::http_responder& responder) const;

    /// Operators' calls.
    void apply(const std::string& body, const net::http_responder& responder);
    void show(std::uint64_t version, const net::http_responder& responder) const;
    void show_log(std::uint64_t limit, const net::http_responder& responder);
    [[nodiscard]] nlohmann::json reach(std::uint64_t version) const;

private:
    struct head_read {
        /// False when the table did not answer.
        bool readable = false;
        std::optional<platform::table_row> row{};
    };
    struct lines_read {
        std::uint64_t version = 0;
        std::vector<platform::table_row> rows{};
    };
    struct peer_answered {
        std::uint64_t version = 0;
        std::string text{};
    };
    struct look_now {
    };
    using message = std::variant<head_read, lines_read, peer_answered, look_now>;

    void handle(message happened);
    void handle_one(head_read& happened);
    void handle_one(lines_read& happened);
    void handle_one(peer_answered& happened);
    void handle_one(look_now& happened);
    void on_tick();
    void read_head();
    void read_lines(std::uint64_t version);
    void take(std::shared_ptr<const rules::ruleset> rules);

    node& node_;
    peer_link& link_;
    changed_handler on_changed_;
    base::time_point asked_at_{};
    bool reading_ = false;
    duty<message> duty_;
};

} // namespace poplarstile::daemon
