#pragma once

#include "net/request_ledger.hpp"

#include <atomic>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace poplarstile::net::internal
{

/// A connection that can be closed from any thread.
class closable_connection
{
public:
    closable_connection() = default;
    virtual ~closable_connection() = default;
    closable_connection(const closable_connection&) = delete;
    closable_connection& operator=(const closable_connection&) = delete;

    /// From now on nothing more that it receives is handled.
    virtual void close_soon() = 0;
};

/// The ledger of a port, shared by its connections, and the connections that it closes.
/// Thread-safe.
class connection_meter
{
public:
    connection_meter(const request_ledger_options& options, std::size_t max_body_bytes)
        : ledger_{options}, max_body_bytes_{max_body_bytes}
    {
    }

    [[nodiscard]] std::size_t max_body_bytes() const
    {
        return max_body_bytes_;
    }
    void set_max_body_bytes(std::size_t limit)
    {
        max_body_bytes_ = limit;
    }

    /// Returns the connection's number.
    [[nodiscard]] request_ledger::connection open(const std::weak_ptr<closable_connection>& opened);
    void receive(request_ledger::connection receiver, const request_size& size);
    /// The request is whole, unless it is the one that is closed for memory.
    void complete(request_ledger::connection completed, const request_size& size);
    void answer(request_ledger::connection answering);
    void wait(request_ledger::connection waiting);
    void close(request_ledger::connection closed);
    /// Counts a connection that answers 413 and then closes.
    void refuse_body(request_ledger::connection refused);

    /// The returned value stands for the request's memory until the last copy is gone.
    [[nodiscard]] static std::shared_ptr<void>
    handle(const std::shared_ptr<connection_meter>& meter, const request_size& size);

    void close_stalled();
    /// For the end of the server: closes all connections, and new ones at once. Not counted.
    void close_everything();
    [[nodiscard]] request_bounds_counters counters() const;

private:
    using doomed_connections = std::vector<std::shared_ptr<closable_connection>>;

    /// Takes the connection out of the books; `mutex_` is held.
    void expel(request_ledger::connection expelled, closing_cause cause,
               doomed_connections& doomed);

    mutable std::mutex mutex_;
    request_ledger ledger_;
    std::unordered_map<request_ledger::connection, std::weak_ptr<closable_connection>> open_;
    request_ledger::connection last_ = 0;
    bool ending_ = false;
    request_bounds_counters counters_;
    std::atomic<std::size_t> max_body_bytes_;
};

} // namespace poplarstile::net::internal
