#pragma once

#include "duty.hpp"
#include "node.hpp"
#include "peer_link.hpp"

#include "membership/membership.hpp"
#include "net/http_server.hpp"

#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace poplarstile::daemon
{

/// The duty that knows which VMs are there: probes, answers probes, spreads news.
class peer_duty
{
public:
    /// A message of another VM and where its answer goes.
    struct received {
        peer::message body{};
        net::http_responder responder;
    };
    using message = std::variant<membership::event, received>;
    /// A VM in this failure domain has newer rules.
    using newer_rules_handler =
        std::function<void(const std::string& address, std::uint64_t version)>;
    /// The live VMs of this failure domain have changed.
    using members_handler = std::function<void(std::size_t live_vms)>;
    /// A VM was found dead or is leaving.
    using gone_handler = std::function<void(const std::string& vm)>;

    [[nodiscard]] static base::result<std::unique_ptr<peer_duty>> create(node& owner,
                                                                         peer_link& link);

    void start(newer_rules_handler on_newer_rules, members_handler on_members,
               gone_handler on_gone);
    void stop();

    /// Takes a message over from the peer port.
    void receive(peer::message body, const net::http_responder& responder);
    void rules_in_force(std::uint64_t version);
    /// Tells the other VMs that this one leaves.
    void leave();

private:
    peer_duty(node& owner, peer_link& link, membership::group group);

    void handle(message happened);
    void on_tick();
    void poll_vm_list();
    void carry_out(const std::vector<membership::action>& actions,
                   const net::http_responder* responder, const std::string& sender);
    void send(const membership::send_message& action);
    void publish();
    /// Puts the process's clock into a message to be sent.
    void stamp(peer::message& body);
    /// Takes the sender's clock in, so that later events here are stamped after it.
    void observe(const peer::message& body);

    node& node_;
    peer_link& link_;
    membership::group group_;
    newer_rules_handler on_newer_rules_;
    members_handler on_members_;
    gone_handler on_gone_;
    std::size_t live_vms_ = 0;
    base::time_point vm_list_asked_{};
    duty<message> duty_;
};

} // namespace poplarstile::daemon
