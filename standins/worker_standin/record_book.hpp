#pragma once

#include "base/time.hpp"
#include "standins/common/json_http.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// What truly happened on the workers, for checkers.
namespace poplarstile::standins::worker_standin
{

/// One moment on both clocks.
struct instant {
    base::time_point steady{};
    /// Microseconds since the epoch.
    std::int64_t wall_us = 0;

    /// Reads both clocks.
    [[nodiscard]] static instant now();
};

/// One run of a short request. `ended_us` is 0 and `outcome` is `running` until it ends.
struct execution_record {
    std::string worker{};
    std::string request{};
    std::string attempt{};
    std::string service{};
    bool idempotent = false;
    json marker{};
    std::int64_t started_us = 0;
    std::int64_t ended_us = 0;
    std::string_view outcome = "running";
};

/// One task from its reservation to its end; times that did not come are 0.
struct task_record {
    std::string worker{};
    std::string task{};
    std::string job{};
    std::uint32_t gang_size = 1;
    std::uint32_t member = 0;
    std::uint64_t token = 0;
    std::string domain{};
    std::int64_t held_us = 0;
    std::int64_t released_us = 0;
    std::int64_t ended_us = 0;
    std::string_view state = "held";
    std::int64_t progress_ms = 0;
    std::vector<std::uint32_t> accelerators{};
};

struct leaving_record {
    std::string worker{};
    std::int64_t since_us = 0;
    /// 0 while the worker is still leaving.
    std::int64_t until_us = 0;
};

/// Names a record that may be completed later; nothing when the record was dropped.
using record_index = std::optional<std::size_t>;

/// Append-only records of all workers of one process, bounded in number. Safe from any thread.
class record_book
{
public:
    explicit record_book(std::size_t capacity) : capacity_{capacity} {}

    [[nodiscard]] record_index add(execution_record record);
    [[nodiscard]] record_index add(task_record record);

    void end_execution(record_index index, std::string_view outcome, std::int64_t at_us);
    void release_task(record_index index, std::int64_t at_us);
    void end_task(record_index index, std::string_view state, std::int64_t progress_ms,
                  std::int64_t at_us);
    void set_leaving(const std::string& worker, bool leaving, std::int64_t at_us);
    void count_refusal(std::string_view reason);

    /// Everything as the JSON object that docs/STANDINS.md describes.
    [[nodiscard]] json to_json() const;

private:
    [[nodiscard]] bool has_room();

    mutable std::mutex mutex_;
    std::size_t capacity_;
    std::uint64_t dropped_ = 0;
    std::deque<execution_record> executions_;
    std::deque<task_record> tasks_;
    std::vector<leaving_record> leaving_;
    std::map<std::string, std::uint64_t, std::less<>> refused_;
};

} // namespace poplarstile::standins::worker_standin
