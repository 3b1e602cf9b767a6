#pragma once

#include "base/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace poplarstile::net
{

/// Why a server closed a connection of its own accord.
enum class closing_cause : std::uint8_t {
    /// Unanswered requests of all connections took more memory than they may.
    memory,
    /// More connections than the port may have.
    connections,
    /// A part of a request came, and then nothing for too long.
    stalled,
    /// The body is longer than the limit, as announced or as sent.
    body_too_long,
};
inline constexpr std::size_t closing_cause_count = 4;

/// Such as `body_too_long`.
[[nodiscard]] std::string_view name_of(closing_cause cause);

/// What the bounds of a port have done so far.
struct request_bounds_counters {
    std::array<std::uint64_t, closing_cause_count> closed{};
    /// Estimated memory of all requests that are received or handled at the moment.
    std::size_t held_bytes = 0;

    [[nodiscard]] std::uint64_t closed_for(closing_cause cause) const;
    [[nodiscard]] std::uint64_t all_closed() const;
};

/// Parts of a request that take memory.
struct request_size {
    /// Method, target and header fields.
    std::size_t head_bytes = 0;
    std::size_t body_bytes = 0;
    /// Chunks that the body came in.
    std::size_t chunks = 0;
};

/// Estimated memory of a request, including the spare capacity of buffers that grow by doubling.
[[nodiscard]] std::size_t memory_of(const request_size& request);

struct request_ledger_options {
    /// Memory of all requests that are not answered yet.
    std::size_t max_bytes = 0;
    std::size_t max_connections = 0;
    /// How long a request may be incomplete without anything more of it arriving.
    base::milliseconds stall_timeout{0};
    /// An answer of which nothing has been taken for this long makes its connection the first to be
    /// closed when there are too many.
    base::milliseconds unread_time{1'000};
};

/// Decides which connections of a port are closed so that it stays within its memory and
/// connections. Load pattern: many clients that send most of a request each, or nothing, or read no
/// answers, and stay connected. An ordinary request arrives at once and its caller takes the
/// answer, so it is rarely the one that has waited longest. Not thread-safe; times must not
/// decrease.
class request_ledger
{
public:
    using connection = std::uint64_t;

    explicit request_ledger(const request_ledger_options& options) : options_{options} {}

    /// A new connection. Returns the one to close when there are too many, which may be the new
    /// one. In this order, and of several the one that has been quiet for longest: one whose answer
    /// has not been read for `unread_time`, one that has never completed a request, one that waits
    /// for its next request, one whose answer is being sent. Connections whose request is handled
    /// are not closed.
    [[nodiscard]] std::optional<connection> open(connection opened, base::time_point now);

    /// More of a request came; `held` is its memory so far. Returns the connections to close, those
    /// without progress for longest first. `receiver` itself is among them if the others were not
    /// enough.
    [[nodiscard]] std::vector<connection> receive(connection receiver, std::size_t held,
                                                  base::time_point now);

    /// The request is whole. From now on its memory is that of `handle`.
    void complete(connection completed, base::time_point now);

    /// A part of the answer is handed to the system, which takes it as the client reads.
    void answer(connection answering, base::time_point now);

    /// The connection waits for its next request.
    void wait(connection waiting, base::time_point now);

    void close(connection closed);

    /// Memory of a request from its completion until it is answered.
    void handle(std::size_t held);
    void finish(std::size_t held);

    /// Connections with an incomplete request and no progress for too long.
    [[nodiscard]] std::vector<connection> stalled(base::time_point now) const;

    [[nodiscard]] std::size_t connections() const
    {
        return entries_.size();
    }
    [[nodiscard]] std::size_t held_bytes() const
    {
        return received_bytes_ + handled_bytes_;
    }

private:
    enum class phase : std::uint8_t { waiting, receiving, handling, answering };
    struct entry {
        base::time_point last_progress{};
        std::size_t held = 0;
        phase state = phase::waiting;
        bool has_completed = false;
    };
    /// Those without progress for longest first.
    using queue = std::set<std::pair<base::time_point, connection>>;
    using entry_map = std::unordered_map<connection, entry>;

    void enqueue(connection queued, const entry& described);
    void dequeue(connection queued, const entry& described);
    /// Changes an entry, so that it stays in the queues in which it belongs.
    void move_to(entry_map::iterator at, phase state, std::size_t held, base::time_point now);
    [[nodiscard]] std::optional<connection> first_to_close(connection except,
                                                           base::time_point now) const;

    request_ledger_options options_;
    entry_map entries_;
    queue receiving_;
    queue answering_;
    /// Neither handling nor answering, and without a completed request; with one.
    queue unproven_;
    queue proven_;
    std::size_t received_bytes_ = 0;
    std::size_t handled_bytes_ = 0;
};

} // namespace poplarstile::net
