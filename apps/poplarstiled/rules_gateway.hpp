#pragma once

#include "node.hpp"
#include "rules_duty.hpp"

#include "net/http_server.hpp"
#include "rules/rule_store.hpp"

#include <memory>
#include <string>

namespace poplarstile::daemon
{

/// The operators' calls about rules: apply, show, log and reach.
///
/// A change is accepted when the table said so, also when that answer was lost: the operation in
/// the log settles it. `GET /v1/rules` reads the newest version number from the table, so that a
/// VM that is cut off says that its copy may be old.
class rules_gateway
{
public:
    rules_gateway(node& owner, rules_duty& rules);

    void apply(const std::string& body, const net::http_responder& responder);
    void show(std::uint64_t version, const net::http_responder& responder) const;
    void show_log(std::uint64_t limit, const net::http_responder& responder) const;
    [[nodiscard]] nlohmann::json reach(std::uint64_t version) const;

private:
    /// An operator's wish on its way into the table.
    struct wish {
        rules::rules_proposal proposal{};
        net::http_responder responder;
        base::time_point give_up_at{};
        /// A transaction of this wish may still take effect.
        bool in_doubt = false;
        int tries = 0;
    };
    using shared_wish = std::shared_ptr<wish>;

    void plan(const shared_wish& asked);
    void send(const shared_wish& asked, const rules::planned_change& change);
    void again(const shared_wish& asked);
    void accept(const shared_wish& asked, rules::rules_version version);
    void show_old(std::uint64_t version, const net::http_responder& responder) const;

    node& node_;
    rules_duty& rules_;
};

} // namespace poplarstile::daemon
