#pragma once

#include "standins/worker_standin/record_book.hpp"

#include <cstddef>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>

namespace poplarstile::standins::worker_standin
{

enum class attempt_state { never_seen, running, completed, failed, fenced };

/// The state's name on the wire.
[[nodiscard]] std::string_view name_of(attempt_state state);

/// A short request as `POST /v1/execute` carries it.
struct execute_message {
    std::string request{};
    std::string attempt{};
    std::string service{};
    bool idempotent = false;
    json body{};
};

/// What a worker knows of one attempt id.
struct attempt_view {
    attempt_state state = attempt_state::never_seen;
    std::string request{};
    json body{};
};

/// The attempt runs now and ends after `service_time`.
struct attempt_started {
    base::milliseconds service_time{0};
};

enum class execute_refusal { busy, fenced, known, leaving };

struct attempt_refused {
    execute_refusal reason = execute_refusal::busy;
    attempt_state state = attempt_state::never_seen;
};

using execute_answer = std::variant<attempt_started, attempt_refused>;

/// How the worker is at the moment of a start.
struct worker_condition {
    bool failing = false;
    bool leaving = false;
};

/// The short requests of one worker: its slots, and which attempt ids it has seen or fenced.
class attempt_table
{
public:
    attempt_table(std::string worker, std::size_t slots, record_book& records);

    /// Starts the attempt when its id is new and a slot is free.
    [[nodiscard]] execute_answer start(const execute_message& message,
                                       const worker_condition& condition, const instant& now);

    /// Ends a running attempt; never seen as ended when the worker died meanwhile.
    [[nodiscard]] std::optional<attempt_view> finish(const std::string& attempt,
                                                     const instant& now);

    [[nodiscard]] attempt_view find(const std::string& attempt) const;

    /// Forbids an id that never started; returns what is known after that.
    [[nodiscard]] attempt_view fence(const std::string& attempt);

    /// Ends everything that runs, without an answer to anyone. The ids stay known.
    void die(const instant& now);

    [[nodiscard]] std::size_t slots_busy() const
    {
        return slots_busy_;
    }

private:
    struct entry {
        attempt_view view{};
        json marker{};
        bool will_fail = false;
        record_index record{};
    };

    entry& remember(const std::string& attempt, entry fresh);

    std::string worker_;
    std::size_t slots_;
    std::size_t slots_busy_ = 0;
    record_book& records_;
    std::unordered_map<std::string, entry> attempts_;
    std::deque<std::string> oldest_first_;
};

} // namespace poplarstile::standins::worker_standin
