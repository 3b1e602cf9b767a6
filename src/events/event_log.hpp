#pragma once

#include "events/event.hpp"
#include "events/hybrid_logical_clock.hpp"

#include <boost/circular_buffer.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// The latest events of one process, in bounded memory.
namespace poplarstile::events
{

/// A part of the log.
struct event_page {
    std::vector<event> events{};
    /// How many events were overwritten before this page was read, since the process started.
    std::uint64_t dropped{};
};

/// Keeps the latest `capacity` events; older ones are overwritten and counted.
/// Any thread may call it.
class event_log
{
public:
    /// A log for the process named `process`; `operator_argument_invalid` for a capacity of 0.
    [[nodiscard]] static base::result<std::unique_ptr<event_log>> create(std::string process,
                                                                         std::size_t capacity);

    /// Stamps and keeps an observation made at `wall_us`; returns its stamp.
    hlc_stamp append(observation seen, std::int64_t wall_us);

    /// Events with a greater `seq`, oldest first, at most `limit`.
    /// With a `subject`, only those whose subject or cause it is.
    [[nodiscard]] event_page read_after(std::uint64_t seq, std::optional<std::string_view> subject,
                                        std::size_t limit) const;

    /// How many events were overwritten.
    [[nodiscard]] std::uint64_t dropped() const;

    /// The clock of the process, for the stamps of messages.
    [[nodiscard]] hybrid_logical_clock& clock();

private:
    event_log(std::string process, std::size_t capacity);

    mutable std::mutex mutex_;
    hybrid_logical_clock clock_;
    std::string process_;
    boost::circular_buffer<event> events_;
    std::uint64_t last_seq_ = 0;
    std::uint64_t dropped_ = 0;
};

} // namespace poplarstile::events
