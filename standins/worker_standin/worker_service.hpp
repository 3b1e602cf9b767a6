#pragma once

#include "net/http_server.hpp"
#include "standins/common/json_http.hpp"
#include "standins/common/timer_thread.hpp"
#include "standins/worker_standin/attempt_table.hpp"
#include "standins/worker_standin/task_table.hpp"
#include "standins/worker_standin/usage_history.hpp"
#include "standins/worker_standin/worker_config.hpp"

#include <mutex>
#include <string>

namespace poplarstile::standins::worker_standin
{

/// Faults of one worker, as a test sets them.
struct worker_faults {
    /// Everything started fails.
    bool failing = false;
    bool leaving = false;
    base::milliseconds answer_late{0};
    /// Each message takes effect as if it had been delivered twice; the first answer is sent.
    bool answer_twice = false;
    /// Messages take effect and get no answer.
    bool silent = false;
    /// Nothing takes effect and nothing is answered.
    bool dead = false;
};

/// One worker behind its HTTP address. Safe from any thread.
class worker_service
{
public:
    /// What the workers of one process share; outlives them.
    struct shared_parts {
        record_book& records;
        checkpoint_store& checkpoints;
        timer_thread& timer;
    };

    worker_service(worker_config config, base::milliseconds usage_lag, const shared_parts& shared);

    void handle(const net::http_request& request, const net::http_responder& responder);

    /// Changes the faults that `body` names; others stay.
    [[nodiscard]] net::http_response set_faults(const json& body);

    [[nodiscard]] const worker_config& config() const
    {
        return config_;
    }

private:
    void execute(const net::http_request& request, const net::http_responder& responder);
    void finish(const std::string& attempt, const net::http_responder& responder);
    void respond(const net::http_responder& responder, net::http_response response);
    [[nodiscard]] net::http_response route(const net::http_request& request, const instant& now);
    [[nodiscard]] net::http_response route_attempt(const net::http_request& request,
                                                   const std::string& attempt);
    [[nodiscard]] net::http_response route_task(const std::string& task, std::string_view action,
                                                const json& body, const instant& now);
    [[nodiscard]] net::http_response health() const;
    [[nodiscard]] net::http_response usage(const instant& now);
    [[nodiscard]] net::http_response reserve(const json& body, const instant& now);
    [[nodiscard]] net::http_response renew(const json& body, const instant& now);
    [[nodiscard]] json accelerators_json() const;
    [[nodiscard]] net::http_response refuse_task(const task_refused& refused);
    void note_changes(const instant& now);
    void advance(base::time_point due);

    worker_config config_;
    shared_parts shared_;
    std::mutex mutex_;
    attempt_table attempts_;
    task_table tasks_;
    usage_history usage_;
    worker_faults faults_;
    base::time_point next_advance_ = base::time_point::max();
};

} // namespace poplarstile::standins::worker_standin
