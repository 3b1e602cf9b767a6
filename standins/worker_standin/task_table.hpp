#pragma once

#include "standins/worker_standin/checkpoint_store.hpp"
#include "standins/worker_standin/record_book.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_set>
#include <variant>
#include <vector>

namespace poplarstile::standins::worker_standin
{

enum class task_state { held, running, completed, failed, stopped, expired };

/// The state's name on the wire.
[[nodiscard]] std::string_view name_of(task_state state);

/// A reservation as `POST /v1/tasks` carries it.
struct reserve_message {
    std::uint64_t token = 0;
    std::string domain{};
    std::string task{};
    std::string job{};
    std::uint32_t gang_size = 1;
    std::uint32_t member = 0;
    std::vector<std::uint32_t> accelerators{};
    base::milliseconds lease{0};
    bool checkpointable = false;
    /// How long the work takes at full share, counted from its start.
    base::milliseconds run_time{0};
    /// Progress that the scheduler knows to be saved; the task starts no earlier than there.
    base::milliseconds resume{0};
    bool fail = false;
};

/// A task as the worker reports it.
struct task_view {
    std::string task{};
    std::string job{};
    std::uint32_t gang_size = 1;
    std::uint32_t member = 0;
    std::vector<std::uint32_t> accelerators{};
    task_state state = task_state::stopped;
    base::milliseconds progress{0};
};

enum class task_refusal { token, known, accelerators, broken, leaving, unknown };

[[nodiscard]] std::string_view name_of(task_refusal reason);

struct task_refused {
    task_refusal reason = task_refusal::unknown;
    /// The greatest token seen for the domain.
    std::uint64_t greatest_token = 0;
};

using task_answer = std::variant<task_view, task_refused>;

struct lease_renewed {
    std::vector<task_view> tasks{};
};

using lease_answer = std::variant<lease_renewed, task_refused>;

/// The accelerator tasks of one worker: leases, tokens, progress. Not synchronized.
/// Every operation first ends what has run out by `now`.
class task_table
{
public:
    task_table(std::string worker, std::uint32_t accelerators, record_book& records,
               checkpoint_store& checkpoints);

    [[nodiscard]] task_answer reserve(const reserve_message& message, bool leaving,
                                      const instant& now);
    /// Starts a held task; with `failing` it fails soon after.
    [[nodiscard]] task_answer release(const std::string& task, std::uint64_t token, bool failing,
                                      const instant& now);
    [[nodiscard]] task_answer checkpoint(const std::string& task, std::uint64_t token,
                                         const instant& now);
    [[nodiscard]] task_answer throttle(const std::string& task, std::uint64_t token, double share,
                                       const instant& now);
    /// Stops a task, or forbids an id never seen.
    [[nodiscard]] task_answer stop(const std::string& task, std::uint64_t token,
                                   const instant& now);
    [[nodiscard]] task_answer forget(const std::string& task, std::uint64_t token,
                                     const instant& now);
    [[nodiscard]] lease_answer renew(const std::string& domain, std::uint64_t token,
                                     base::milliseconds lease, const instant& now);

    [[nodiscard]] std::vector<task_view> list(const instant& now);

    /// Ends leases and work that have run out by `now`, and forgets what ended long ago.
    void advance(const instant& now);

    /// When `advance` has something to end next.
    [[nodiscard]] std::optional<base::time_point> next_due() const;

    /// Tasks that run on an accelerator that broke fail at once.
    void set_broken(std::set<std::uint32_t> broken, const instant& now);
    [[nodiscard]] const std::set<std::uint32_t>& broken() const
    {
        return broken_;
    }

    /// Ends and forgets all tasks; their ids and the tokens stay known.
    void die(const instant& now);

    [[nodiscard]] std::uint64_t accelerators_busy() const;
    [[nodiscard]] std::uint32_t accelerators() const
    {
        return accelerators_;
    }

private:
    struct entry {
        reserve_message message{};
        task_state state = task_state::held;
        base::time_point lease_ends{};
        base::time_point ended_at{};
        /// Progress at `progress_at`; grows by `share` from there while running.
        std::chrono::duration<double, std::micro> progress{0};
        base::time_point progress_at{};
        double share = 1.0;
        record_index record{};
    };

    [[nodiscard]] static bool is_live(const entry& task);
    [[nodiscard]] static task_view view_of(const entry& task, base::time_point now);
    [[nodiscard]] static base::time_point completes_at(const entry& task);
    static void update_progress(entry& task, base::time_point now);
    [[nodiscard]] std::optional<task_refused> check_token(const std::string& domain,
                                                          std::uint64_t token);
    [[nodiscard]] std::optional<task_refused> check_accelerators(const reserve_message& message);
    [[nodiscard]] std::variant<entry*, task_refused> find(const std::string& task,
                                                          std::uint64_t token, const instant& now);
    [[nodiscard]] bool uses_broken(const entry& task) const;
    void remember(const std::string& task);
    void end(entry& task, task_state state, const instant& now);

    std::string worker_;
    std::uint32_t accelerators_;
    record_book& records_;
    checkpoint_store& checkpoints_;
    std::map<std::string, entry, std::less<>> tasks_;
    std::unordered_set<std::string> known_ids_;
    std::deque<std::string> known_oldest_first_;
    std::map<std::string, std::uint64_t, std::less<>> greatest_tokens_;
    std::set<std::uint32_t> broken_;
};

} // namespace poplarstile::standins::worker_standin
