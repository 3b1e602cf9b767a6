#pragma once

#include "base/result.hpp"
#include "base/timers.hpp"
#include "batch/job_codec.hpp"
#include "catalog/configuration_cache.hpp"
#include "frontend/job_views.hpp"
#include "store/part_map.hpp"
#include "store/row_store.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace poplarstile::frontend
{

enum class call_kind : std::uint8_t { submit, show, cancel };

/// A caller's call, whole. Host and path select the queue.
struct caller_call {
    call_kind kind = call_kind::show;
    std::string host{};
    std::string path{};
    std::optional<std::string> key{};
    /// How long the caller waits for the answer.
    base::milliseconds timeout{3'000};
    std::string body{};
};

/// The job is stored and will run.
struct job_accepted {
};
/// The cancel is stored, or there was nothing left to cancel.
struct cancel_accepted {
};
struct job_shown {
    batch::job_status status = batch::job_status::pending;
};
struct queue_shown {
    std::uint32_t waiting = 0;
};
/// Nothing of the call was or will be done.
struct call_refused {
    enum class cause : std::uint8_t { no_configuration, store_away, overloaded, leaving };
    cause why = cause::store_away;
    base::milliseconds retry_after{1'000};
};
/// Nobody knows yet whether it was done; the same call again settles it.
struct call_outcome_unknown {
};
struct no_such_queue {
};
struct no_such_job {
};
struct key_unknown {
};
struct key_of_another_workspace {
};
struct call_malformed {
    std::string detail{};
};

using caller_answer = std::variant<job_accepted, cancel_accepted, job_shown, queue_shown,
                                   call_refused, call_outcome_unknown, no_such_queue, no_such_job,
                                   key_unknown, key_of_another_workspace, call_malformed>;

using answer_handler = std::function<void(caller_answer)>;

struct frontend_options {
    store::part_map parts{};
    /// A configuration whose proof is older decides nothing any more.
    base::milliseconds oldest_configuration{6'500};
    /// Left of the caller's patience when the last answer is given.
    base::milliseconds answer_margin{400};
};

struct frontend_ports {
    const store::row_store* rows = nullptr;
    const base::timers* time = nullptr;
    catalog::configuration_cache* configuration = nullptr;
    job_views* views = nullptr;
    /// Told of every row of the jobs table that a caller has brought about.
    std::function<void(const store::row&)> on_stored{};
    /// Told of a submission whose effect is not known, so that other API frontends hear of it.
    std::function<void(const std::string& job)> on_uncertain_submission{};
    /// Reads a submission's body. Error: `request_malformed`.
    std::function<base::result<batch::job_spec>(std::string_view body)> decode{};
};

struct frontend_counters {
    std::uint64_t submitted = 0;
    std::uint64_t accepted = 0;
    std::uint64_t refused = 0;
    std::uint64_t unsettled = 0;
    std::uint64_t shown = 0;
    std::uint64_t store_reads = 0;
    std::uint64_t cancelled = 0;
};

/// Answers callers. Every answer tells only what is stored, or that nothing is known.
class api_frontend
{
public:
    api_frontend(frontend_ports ports, frontend_options options);
    ~api_frontend();
    api_frontend(const api_frontend&) = delete;
    api_frontend& operator=(const api_frontend&) = delete;

    void handle(caller_call call, answer_handler answer);

    /// Another API frontend does not know whether its submission of the job took effect.
    void mark_uncertain(const std::string& job);

    [[nodiscard]] const frontend_counters& counters() const
    {
        return counters_;
    }
    /// True while this VM may decide by the configuration that it has.
    [[nodiscard]] bool has_valid_configuration() const;
    /// How long no part of the store has been served; zero while any is.
    [[nodiscard]] base::milliseconds store_outage() const;

private:
    struct pending_call;
    using call_ptr = std::shared_ptr<pending_call>;

    void submit(const call_ptr& call);
    void store_submission(const call_ptr& call);
    void take_submission_reply(const call_ptr& call, const store::commit_reply& reply);
    void show(const call_ptr& call);
    /// Looks for the job's row in all parts, its home first.
    void find_job(const call_ptr& call, std::function<void(const store::row*)> found);
    void find_job_in(const call_ptr& call, std::size_t tried,
                     std::function<void(const store::row*)> found);
    void show_row(const call_ptr& call, const store::row* row);
    void show_queue(const call_ptr& call);
    void count_waiting(const call_ptr& call, std::size_t part, std::uint32_t counted);
    /// The part for a new row about the job: its home, or the next that is served.
    [[nodiscard]] std::optional<std::size_t> choose_part(const std::string& job) const;
    void cancel(const call_ptr& call);
    void store_cancel(const call_ptr& call);
    /// Runs `again` after a pause, or gives the last answer when the caller's patience is over.
    void retry(const call_ptr& call, std::function<void()> again, caller_answer otherwise);
    void finish(const call_ptr& call, caller_answer answer);
    [[nodiscard]] store::row_id jobs_row(std::size_t part, const std::string& key) const;

    [[nodiscard]] bool doubtful(const std::string& job);

    frontend_ports ports_;
    frontend_options options_;
    /// Submissions whose effect is not known, and until when that may matter.
    std::map<std::string, base::time_point> doubtful_{};
    frontend_counters counters_{};
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace poplarstile::frontend
