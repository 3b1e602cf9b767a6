#pragma once

#include "batch/job.hpp"
#include "fleet/worker_facts.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace poplarstile::fleet
{

/// An order that is not answered within this time is given up. The scheduler decides earlier
/// whether to send it again: a late answer still counts, and giving up sooner would cost a
/// connection.
constexpr base::milliseconds order_timeout{2'500};

/// Whom an order goes to.
struct worker_address {
    batch::worker_incarnation life{};
    std::string address{};
};

/// Asked right before an order leaves this VM, which may be seconds after it was handed over: it
/// waits for a connection until then. False withdraws the order. It gives no orders itself, and may
/// be asked again when a connection breaks. An empty one withdraws nothing.
using order_check = std::function<bool()>;

/// How a worker took an order.
enum class order_outcome : std::uint8_t {
    accepted,
    /// It has seen a higher fencing token.
    fenced,
    /// That run, or a higher one, has been stopped or has ended there.
    outdated,
    /// The order arrived after the lease that it names.
    late,
    no_room,
    no_ticket,
    /// The worker is unhealthy and has done nothing.
    unavailable,
    /// Another life of the worker answers at this address.
    other_life,
    malformed,
    /// No answer: it may have been carried out, or may be carried out seconds later.
    unanswered,
    /// It has not left: it was withdrawn, or there was no connection in time. It is not carried
    /// out.
    not_sent,
};

[[nodiscard]] std::string_view name_of(order_outcome outcome);

struct start_order {
    worker_address to{};
    batch::task_id task{};
    std::uint32_t run = 0;
    std::string payload{};
    /// Milliseconds on the worker's clock until which the worker may run what it runs.
    std::int64_t lease_until = 0;
    std::uint64_t token = 0;
    std::string checkpoint{};
    order_check may_leave{};
};

struct stop_order {
    worker_address to{};
    batch::task_id task{};
    std::uint32_t run = 0;
    std::uint64_t token = 0;
};

struct order_reply {
    order_outcome outcome = order_outcome::unanswered;
    /// The worker's clock when it answered.
    std::optional<std::int64_t> worker_ms{};
    /// HTTP status of the answer; 0 without one.
    std::uint16_t status = 0;
    /// The connection was refused, by the host or by anything on the way to it.
    bool connection_refused = false;
    /// Its `may_leave` has withdrawn it.
    bool withdrawn = false;
};

/// Asks what a worker runs and what has ended there, and may extend its lease.
struct look_order {
    worker_address to{};
    std::uint64_t token = 0;
    /// Ends up to this number are stored and may be forgotten.
    std::uint64_t acknowledged = 0;
    /// As in `start_order`; nothing extends nothing.
    std::optional<std::int64_t> lease_until{};
    /// How long the worker may wait for an end before it answers.
    base::milliseconds wait{0};
    /// How much longer than `wait` the answer may take before the call is given up.
    base::milliseconds margin{600};
};

struct running_task {
    batch::task_id task{};
    std::uint32_t run = 0;
    std::string checkpoint{};
    std::uint32_t percent = 0;
};

struct ended_task {
    /// Position in the worker's list of ends, from 1 in each of its lives.
    std::uint64_t number = 0;
    batch::task_id task{};
    std::uint32_t run = 0;
    batch::run_end how = batch::run_end::lost;
    std::string checkpoint{};
};

struct look_reply {
    order_outcome outcome = order_outcome::unanswered;
    std::optional<std::int64_t> worker_ms{};
    /// Start of the life that answered; nothing when it did not say.
    std::optional<std::uint64_t> born{};
    std::vector<running_task> running{};
    std::vector<ended_task> ended{};
    /// Entries of the two lists that could not be read.
    std::uint32_t unreadable = 0;
    /// Those of them that are in `running`.
    std::uint32_t unreadable_running = 0;
    /// The worker may have more ends than it lists at once.
    bool more_ends = false;
    /// The connection was refused, by the host or by anything on the way to it.
    bool connection_refused = false;

    /// True when a run that is in neither list is not on the worker.
    [[nodiscard]] bool complete() const
    {
        return unreadable == 0 && !more_ends;
    }
};

/// The port to the workers. Handlers are called once, later, on the thread of the caller.
struct worker_orders {
    std::function<void(start_order, std::function<void(order_reply)>)> start{};
    std::function<void(stop_order, std::function<void(order_reply)>)> stop{};
    std::function<void(look_order, std::function<void(look_reply)>)> look{};
};

} // namespace poplarstile::fleet
