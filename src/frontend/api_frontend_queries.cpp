#include "frontend/api_frontend.hpp"

#include "base/event_line.hpp"
#include "frontend/internal/pending_call.hpp"
#include "store/row_keys.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

/// Queries for jobs and queues, answered from the leader's heartbeats where these are current, else
/// from the store.
namespace poplarstile::frontend
{
namespace
{

using internal::min_outage_retry;
using internal::retry_after_outage;

constexpr base::event_logger log{"door"};
constexpr std::uint32_t max_rows_per_read = 500;

/// Counts the jobs of a queue that have no record of runs.
std::uint32_t count_unstarted_jobs(const store::read_reply& jobs, const store::read_reply& runs,
                                   const std::string& queue)
{
    std::uint32_t waiting = 0;
    for (const auto& row : jobs.rows) {
        const bool started = std::ranges::any_of(
            runs.rows, [&row](const store::row& run) { return run.id.key == row.id.key; });
        const auto decoded = batch::decode_job_row(row.value);
        if (started || !decoded.has_value()) {
            continue;
        }
        const auto* const accepted = std::get_if<batch::submission>(&decoded.value());
        waiting += accepted != nullptr && accepted->policy.queue == queue ? 1 : 0;
    }
    return waiting;
}

} // namespace

void api_frontend::show(const call_ptr& call)
{
    ++counters_.shown;
    if (const auto view = ports_.views->find(call->job)) {
        if (!view->workspace.empty() && view->workspace != call->workspace) {
            finish(call, key_of_another_workspace{});
        } else {
            finish(call, job_shown{view->status});
        }
        return;
    }
    find_job(call, [this, call](const store::row* row) { show_row(call, row); });
}

void api_frontend::find_job(const call_ptr& call, std::function<void(const store::row*)> found)
{
    ++counters_.store_reads;
    find_job_in(call, 0, std::move(found));
}

void api_frontend::find_job_in(const call_ptr& call, std::size_t parts_tried,
                               std::function<void(const store::row*)> found)
{
    if (parts_tried == options_.parts.size()) {
        log.info("job_not_found", {{"job", call->job}, {"read", call->empty_parts}});
        found(nullptr);
        return;
    }
    const auto part = (options_.parts.home_of(call->job) + parts_tried) % options_.parts.size();
    const auto& part_name = options_.parts.name(part);
    ports_.rows->read({"jobs", part_name, call->job, store::after_key(call->job), 1},
                      [this, call, parts_tried, part_name, found = std::move(found),
                       alive = alive_](const store::read_reply& reply) {
                          if (!*alive) {
                              return;
                          }
                          if (reply.outcome != store::call_outcome::done) {
                              // The job may be stored in this part, so it can't be reported as
                              // missing.
                              repeat_read(call, part_name, [this, call, parts_tried, found] {
                                  find_job_in(call, parts_tried, found);
                              });
                          } else if (reply.rows.empty()) {
                              call->empty_parts +=
                                  fmt::format("{}{}@{}", call->empty_parts.empty() ? "" : " ",
                                              part_name, reply.version);
                              find_job_in(call, parts_tried + 1, found);
                          } else {
                              found(&reply.rows.front());
                          }
                      });
}

void api_frontend::repeat_read(const call_ptr& call, const std::string& part,
                               std::function<void()> read)
{
    if (const auto outage = ports_.rows->away(part)) {
        finish(call, call_refused{call_refused::cause::store_away, retry_after_outage(*outage)});
    } else {
        retry(call, std::move(read), call_outcome_unknown{});
    }
}

void api_frontend::show_row(const call_ptr& call, const store::row* row)
{
    if (row == nullptr) {
        finish(call, no_such_job{});
        return;
    }
    const auto decoded = batch::decode_job_row(row->value);
    if (!decoded.has_value()) {
        log.error("job_row_unreadable", {{"job", call->job}, {"detail", decoded.error().detail}});
        finish(call, call_outcome_unknown{});
        return;
    }
    if (const auto* const finished = std::get_if<batch::finished_job>(&decoded.value())) {
        ports_.views->note({call->job, finished->queue, finished->workspace, finished->status});
        finish(call, job_shown{finished->status});
        return;
    }
    show_open_job(call, row->id.part);
}

void api_frontend::show_open_job(const call_ptr& call, const std::string& part)
{
    // The record of a job's runs shows whether a task has started.
    ports_.rows->read({"runs", part, call->job, store::after_key(call->job), 1},
                      [this, call, part, alive = alive_](const store::read_reply& reply) {
                          if (!*alive) {
                              return;
                          }
                          if (reply.outcome != store::call_outcome::done) {
                              repeat_read(call, part,
                                          [this, call, part] { show_open_job(call, part); });
                          } else if (reply.rows.empty()) {
                              show_unstarted_job(call, part);
                          } else {
                              finish(call, job_shown{batch::job_status::running});
                          }
                      });
}

void api_frontend::show_unstarted_job(const call_ptr& call, const std::string& part)
{
    // The record of runs is removed with the end of the job, so the job is pending only if it has
    // still not ended after the record was found missing.
    ports_.rows->read(
        {"jobs", part, call->job, store::after_key(call->job), 1},
        [this, call, part, alive = alive_](const store::read_reply& reply) {
            if (!*alive) {
                return;
            }
            if (reply.outcome != store::call_outcome::done) {
                repeat_read(call, part, [this, call, part] { show_unstarted_job(call, part); });
                return;
            }
            if (reply.rows.empty()) {
                show(call);
                return;
            }
            const auto decoded = batch::decode_job_row(reply.rows.front().value);
            const bool open =
                decoded.has_value() && std::holds_alternative<batch::submission>(decoded.value());
            if (open) {
                finish(call, job_shown{batch::job_status::pending});
            } else {
                show_row(call, &reply.rows.front());
            }
        });
}

void api_frontend::show_queue(const call_ptr& call)
{
    if (const auto load = ports_.views->load_of(call->queue->policy.queue)) {
        finish(call, queue_shown{load->waiting});
        return;
    }
    count_waiting(call, 0, 0);
}

void api_frontend::count_waiting(const call_ptr& call, std::size_t part, std::uint32_t counted)
{
    if (part == options_.parts.size()) {
        finish(call, queue_shown{counted});
        return;
    }
    ++counters_.store_reads;
    const auto again = [this, call, part, counted] { count_waiting(call, part, counted); };
    const auto& name = options_.parts.name(part);
    ports_.rows->read(
        {"jobs", name, {}, {}, max_rows_per_read},
        [this, call, part, counted, again, name, alive = alive_](const store::read_reply& jobs) {
            if (!*alive) {
                return;
            }
            if (jobs.outcome != store::call_outcome::done) {
                retry(call, again, call_outcome_unknown{});
                return;
            }
            ports_.rows->read(
                {"runs", name, {}, {}, max_rows_per_read},
                [this, call, part, counted, again, jobs, alive](const store::read_reply& runs) {
                    if (!*alive) {
                        return;
                    }
                    if (runs.outcome != store::call_outcome::done) {
                        retry(call, again, call_outcome_unknown{});
                        return;
                    }
                    count_waiting(call, part + 1,
                                  counted +
                                      count_unstarted_jobs(jobs, runs, call->queue->policy.queue));
                });
        });
}

} // namespace poplarstile::frontend
