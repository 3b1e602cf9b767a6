#pragma once

#include "net/http_client.hpp"
#include "workers/worker_messages.hpp"

#include <functional>
#include <string_view>

namespace poplarstile::workers
{

/// The port to workers. Handlers are called once, on the HTTP client's thread.
/// `address` is always the worker's `IP:port`.
class worker_client
{
public:
    using execute_handler = std::function<void(execute_answer)>;
    using task_handler = std::function<void(task_answer)>;
    using lease_handler = std::function<void(lease_answer)>;

    explicit worker_client(net::http_client& client);

    /// Runs a short request. One that is not idempotent goes on a connection of its own.
    void execute(std::string_view address, const execute_call& call, execute_handler on_answer);

    /// Asks what became of an attempt.
    void query_attempt(std::string_view address, std::string_view attempt,
                       base::milliseconds timeout, execute_handler on_answer);

    /// Forbids an attempt that has not started.
    void fence_attempt(std::string_view address, std::string_view attempt,
                       base::milliseconds timeout, execute_handler on_answer);

    void hold(std::string_view address, const hold_call& call, base::milliseconds timeout,
              task_handler on_answer);

    /// `order` is `release`, `checkpoint`, `stop` or `forget`.
    void order(std::string_view address, std::string_view task, std::string_view order,
               fencing_token token, base::milliseconds timeout, task_handler on_answer);

    /// Renews all tasks of the failure domain's scheduler and lists them.
    void renew(std::string_view address, std::string_view worker, std::string_view failure_domain,
               fencing_token token, base::milliseconds lease, base::milliseconds timeout,
               lease_handler on_answer);

    /// Lists the tasks without renewing anything.
    void list(std::string_view address, std::string_view worker, base::milliseconds timeout,
              lease_handler on_answer);

private:
    net::http_client& client_;
};

/// Reads a worker's answer to an execute, query or fence call; checks it against the ids sent, so
/// that no answer of another request is ever taken.
[[nodiscard]] execute_answer read_execute_answer(const net::http_reply& reply,
                                                 std::string_view request,
                                                 std::string_view attempt);

[[nodiscard]] task_answer read_task_answer(const net::http_reply& reply, std::string_view task);

/// `lost` unless it is a whole report of this worker: the scheduler takes a task that a report does
/// not list for one that is over.
[[nodiscard]] lease_answer read_lease_answer(const net::http_reply& reply, std::string_view worker);

} // namespace poplarstile::workers
