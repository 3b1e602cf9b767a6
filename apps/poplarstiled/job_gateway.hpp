#pragma once

#include "node.hpp"
#include "peer_link.hpp"
#include "scheduler_duty.hpp"

#include "net/http_server.hpp"

#include <string_view>

namespace poplarstile::daemon
{

/// Accepts, shows and cancels jobs. A job is accepted when its row is in the table; the scheduler
/// is only nudged, and finds the row by itself if the nudge is lost.
class job_gateway
{
public:
    job_gateway(node& owner, scheduler_duty& scheduler, peer_link& link);

    void submit(const net::http_request& request, const net::http_responder& responder);
    void show(std::string_view id, const net::http_responder& responder);
    void cancel(std::string_view id, const net::http_responder& responder);

    /// Answers a call that another VM passes to the scheduler.
    [[nodiscard]] peer::scheduler_answer answer(const peer::scheduler_forward& call);

    /// Answers with what the scheduler of this failure domain says, wherever it runs.
    void ask_scheduler(peer::scheduler_call kind, const nlohmann::json& payload,
                       const net::http_responder& responder);

private:
    void write(const scheduling::stored_job& job, const net::http_responder& responder,
               int tries_left);
    void settle(const scheduling::stored_job& job, const net::http_responder& responder,
                int tries_left);
    void accept(const scheduling::stored_job& job, const net::http_responder& responder);
    void nudge(peer::scheduler_call kind, const scheduling::stored_job& job);
    void write_cancel(const scheduling::stored_job& job, const net::http_responder& responder);
    void find_row(std::string_view id, const net::http_responder& responder,
                  std::function<void(scheduling::stored_job, bool live)> on_found);

    node& node_;
    scheduler_duty& scheduler_;
    peer_link& link_;
    std::atomic<std::uint64_t> next_operation_{1};
};

} // namespace poplarstile::daemon
