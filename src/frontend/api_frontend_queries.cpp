#include "frontend/api_frontend.hpp"

#include "base/event_line.hpp"
#include "batch/run_rows.hpp"
#include "frontend/internal/pending_call.hpp"
#include "store/row_keys.hpp"

#include <fmt/format.h>

#include <memory>
#include <set>
#include <utility>
#include <vector>

/// Queries for jobs and queues, answered from the leader's heartbeats where these are current, else
/// from the store.
namespace poplarstile::frontend
{

/// How many jobs of a queue wait, as far as the parts of the store have been read.
struct api_frontend::waiting_count {
    /// Index of the part that is being read.
    std::size_t part = 0;
    /// Jobs of this part that have not ended, without those that are known to have started.
    std::set<std::string> unstarted{};
    /// Jobs that wait in the parts before it.
    std::uint32_t waiting = 0;
};

namespace
{

using internal::min_outage_retry;
using internal::retry_after_outage;

constexpr base::event_logger log{"door"};
constexpr std::uint32_t max_rows_per_read = 500;

/// True when a record of runs shows that a task was placed; one that can't be read counts as such.
/// Adds the ids of those jobs of a queue that have not ended.
void collect_open_jobs(const std::vector<store::row>& rows, const std::string& queue,
                       std::set<std::string>& open)
{
    for (const auto& row : rows) {
        const auto decoded = batch::decode_job_row(row.value);
        const auto* const accepted =
            decoded.has_value() ? std::get_if<batch::submission>(&decoded.value()) : nullptr;
        if (accepted != nullptr && accepted->policy.queue == queue) {
            open.insert(row.id.key);
        }
    }
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
    ports_.rows->read(
        {"runs", part, call->job, store::after_key(call->job), 1},
        [this, call, part, alive = alive_](const store::read_reply& reply) {
            if (!*alive) {
                return;
            }
            if (reply.outcome != store::call_outcome::done) {
                repeat_read(call, part, [this, call, part] { show_open_job(call, part); });
            } else if (reply.rows.empty() || !batch::shows_a_run(reply.rows.front().value)) {
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
    count_waiting(call, std::make_shared<waiting_count>());
}

void api_frontend::count_waiting(const call_ptr& call, const waiting_count_ptr& count)
{
    if (count->part == options_.parts.size()) {
        finish(call, queue_shown{count->waiting});
        return;
    }
    ++counters_.store_reads;
    read_open_jobs(call, count, {});
}

void api_frontend::read_open_jobs(const call_ptr& call, const waiting_count_ptr& count,
                                  const std::string& from)
{
    ports_.rows->read(
        {"jobs", options_.parts.name(count->part), from, {}, max_rows_per_read},
        [this, call, count, from, alive = alive_](const store::read_reply& jobs) {
            if (!*alive) {
                return;
            }
            if (jobs.outcome != store::call_outcome::done) {
                retry(
                    call, [this, call, count, from] { read_open_jobs(call, count, from); },
                    call_outcome_unknown{});
                return;
            }
            collect_open_jobs(jobs.rows, call->queue->policy.queue, count->unstarted);
            if (jobs.truncated && !jobs.rows.empty()) {
                read_open_jobs(call, count, store::after_key(jobs.rows.back().id.key));
            } else {
                remove_started_jobs(call, count, {});
            }
        });
}

void api_frontend::remove_started_jobs(const call_ptr& call, const waiting_count_ptr& count,
                                       const std::string& from)
{
    ports_.rows->read(
        {"runs", options_.parts.name(count->part), from, {}, max_rows_per_read},
        [this, call, count, from, alive = alive_](const store::read_reply& runs) {
            if (!*alive) {
                return;
            }
            if (runs.outcome != store::call_outcome::done) {
                retry(
                    call, [this, call, count, from] { remove_started_jobs(call, count, from); },
                    call_outcome_unknown{});
                return;
            }
            for (const auto& record : runs.rows) {
                if (batch::run_row_number(record.id.key) == 0 && batch::shows_a_run(record.value)) {
                    count->unstarted.erase(record.id.key);
                }
            }
            if (runs.truncated && !runs.rows.empty()) {
                remove_started_jobs(call, count, store::after_key(runs.rows.back().id.key));
                return;
            }
            count->waiting += static_cast<std::uint32_t>(count->unstarted.size());
            count->unstarted.clear();
            ++count->part;
            count_waiting(call, count);
        });
}

} // namespace poplarstile::frontend
