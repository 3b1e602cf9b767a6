#pragma once

#include "base/json_text.hpp"
#include "base/time.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

/// What is said to workers and what they answer (docs/ASSUMPTIONS.md).
namespace poplarstile::workers
{

/// Fencing token: epoch times 65,536 plus the rank of a named successor.
using fencing_token = std::uint64_t;

inline constexpr fencing_token token_ranks_per_epoch = 65'536;

/// A short request for one slot of a worker.
struct execute_call {
    std::string request{};
    std::string attempt{};
    std::string service{};
    base::milliseconds deadline{0};
    bool idempotent = true;
    /// The caller's JSON text, unchanged.
    std::string body{};
};

/// What is known of a short request after talking to its worker.
enum class execute_state {
    /// Ran to its end; `body` is the whole answer.
    completed,
    failed,
    /// The worker says that it did not start the attempt: busy or leaving.
    refused,
    /// The worker says that the attempt is fenced: it never ran and never will.
    fenced,
    /// The attempt runs now.
    running,
    /// The worker has not seen this attempt id so far.
    never_seen,
    /// Nothing left this process.
    not_sent,
    /// May or may not have run.
    lost,
};

struct execute_answer {
    execute_state state = execute_state::lost;
    std::string request{};
    std::string attempt{};
    std::string worker{};
    /// JSON text of the worker's answer.
    std::string body{};
    /// True when the worker refused because it is leaving.
    bool leaving = false;
    base::microseconds elapsed{0};
};

/// One member of a gang on one worker.
struct hold_call {
    fencing_token token = 0;
    std::string failure_domain{};
    std::string task{};
    std::string job{};
    std::uint32_t gang_size = 1;
    std::uint32_t member = 0;
    std::vector<std::uint32_t> accelerators{};
    base::milliseconds lease{0};
    bool checkpointable = false;
    base::json_text payload{};
};

enum class task_state { held, running, completed, failed, stopped, expired, absent };

/// True when the task does not occupy accelerators any more.
[[nodiscard]] constexpr bool ended(task_state state)
{
    return state != task_state::held && state != task_state::running;
}

/// A task as its worker reports it.
struct task_report {
    std::string task{};
    std::string job{};
    std::uint32_t gang_size = 1;
    std::uint32_t member = 0;
    std::vector<std::uint32_t> accelerators{};
    task_state state = task_state::absent;
    base::milliseconds progress{0};
};

/// How a worker took an order about one task.
struct task_answer {
    enum class kind {
        accepted,
        /// The worker refused; `reason` says why and nothing was changed.
        refused,
        /// No answer; what the worker did is not known.
        lost,
        /// Nothing left this process.
        not_sent,
    };
    kind result = kind::lost;
    task_state state = task_state::absent;
    std::string reason{};
    base::milliseconds progress{0};
};

/// A worker's answer to a lease renewal: the truth about its tasks.
struct lease_report {
    std::string worker{};
    fencing_token token = 0;
    std::vector<task_report> tasks{};
    std::vector<std::uint32_t> broken_accelerators{};
    bool leaving = false;
};

struct lease_answer {
    enum class kind { renewed, refused, lost };
    kind result = kind::lost;
    /// The greatest token the worker has seen, when it refused.
    fencing_token greatest = 0;
    lease_report report{};
};

[[nodiscard]] std::string_view to_string(task_state state);
[[nodiscard]] task_state task_state_named(std::string_view name);

} // namespace poplarstile::workers
