#pragma once

#include "duty.hpp"
#include "node.hpp"

#include "dispatch/dispatcher.hpp"
#include "net/http_server.hpp"

#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

namespace poplarstile::daemon
{

/// The duty that takes short requests to workers; carries out the dispatcher's actions.
class dispatch_duty
{
public:
    explicit dispatch_duty(node& owner);

    void start();
    void stop();

    /// Takes a request over from the gateway. False when there is no room; `responder` is then the
    /// gateway's again.
    [[nodiscard]] bool submit(dispatch::incoming_request request, net::http_responder responder);

    /// Something outside has changed: rules, sharing VMs, a worker's condition.
    void post(dispatch::event event);

private:
    struct waiting_caller {
        net::http_responder responder;
        std::string request_id;
        std::string service;
        base::time_point arrived;
    };

    void handle(dispatch::event event);
    void carry_out(dispatch::actions actions);
    void carry_out_one(dispatch::send_execute& action);
    void carry_out_one(dispatch::send_query& action);
    void carry_out_one(dispatch::send_fence& action);
    void carry_out_one(dispatch::write_ledger& action);
    void carry_out_one(dispatch::read_ledger& action);
    void carry_out_one(dispatch::give_answer& action);
    void carry_out_one(dispatch::note_event& action);
    [[nodiscard]] std::optional<waiting_caller> take_caller(dispatch::request_number number);

    node& node_;
    dispatch::dispatcher dispatcher_;
    std::mutex callers_mutex_;
    std::unordered_map<dispatch::request_number, waiting_caller> callers_;
    std::atomic<dispatch::request_number> next_number_{1};
    duty<dispatch::event> duty_;
};

} // namespace poplarstile::daemon
