#include "control/leader.hpp"

#include "base/event_line.hpp"

#include <algorithm>
#include <utility>

/// What the leader reads of the store and writes to it.
namespace poplarstile::control
{
namespace
{

constexpr base::event_logger log{"leader"};
constexpr base::milliseconds read_retry{150};
constexpr base::milliseconds feed_wait{2'000};
constexpr base::milliseconds feed_retry{100};
constexpr std::uint32_t page_rows = 500;
constexpr std::string_view cancel_suffix = ".cancel";
/// Kept beyond the retention that callers were promised, for clocks and lags.
constexpr base::milliseconds retention_slack{10'000};
constexpr std::size_t rows_forgotten_at_once = 50;

/// The first key after `key`.
std::string after_key(const std::string& key)
{
    return key + '\0';
}

} // namespace

store::row_id leader::jobs_row(const std::string& key) const
{
    return {"jobs", options_.part, key};
}

store::row_id leader::runs_row(const std::string& key) const
{
    return {"runs", options_.part, key};
}

void leader::read_jobs(const std::string& from)
{
    ports_.rows->read(
        {"jobs", options_.part, from, {}, page_rows},
        [this, from, alive = alive_](const store::read_reply& reply) {
            if (!*alive) {
                return;
            }
            if (reply.outcome != store::call_outcome::done) {
                ports_.time->after(read_retry, [this, from, alive] {
                    if (*alive) {
                        read_jobs(from);
                    }
                });
                return;
            }
            if (from.empty()) {
                // Following begins at the first page; what is seen twice changes nothing.
                jobs_version_ = reply.version;
            }
            for (const auto& seen : reply.rows) {
                take_row(seen);
            }
            if (reply.truncated && !reply.rows.empty()) {
                read_jobs(after_key(reply.rows.back().id.key));
            } else {
                read_runs({});
            }
        });
}

void leader::read_runs(const std::string& from)
{
    ports_.rows->read({"runs", options_.part, from, {}, page_rows},
                      [this, from, alive = alive_](const store::read_reply& reply) {
                          if (!*alive) {
                              return;
                          }
                          if (reply.outcome != store::call_outcome::done) {
                              ports_.time->after(read_retry, [this, from, alive] {
                                  if (*alive) {
                                      read_runs(from);
                                  }
                              });
                              return;
                          }
                          for (const auto& stored : reply.rows) {
                              take_run_row(stored);
                          }
                          if (reply.truncated && !reply.rows.empty()) {
                              read_runs(after_key(reply.rows.back().id.key));
                          } else {
                              runs_read_ = true;
                              begin_work();
                          }
                      });
}

void leader::take_run_row(const store::row& stored)
{
    const auto found = jobs_.find(stored.id.key);
    auto record = batch::decode_runs(stored.value);
    if (found == jobs_.end()) {
        log.warning("run_record_without_job", {{"job", stored.id.key}});
        return;
    }
    if (!record.has_value()) {
        log.error("run_record_unreadable",
                  {{"job", stored.id.key}, {"detail", record.error().detail}});
        return;
    }
    auto& entry = found->second;
    if (!entry.state.restore(std::move(record.value().occurrences), record.value().failed)) {
        log.error("run_record_of_another_shape", {{"job", stored.id.key}});
        return;
    }
    entry.shown = entry.state.status();
}

void leader::begin_work()
{
    if (active_ || !runs_read_ || !workers_read_) {
        return;
    }
    active_ = true;
    std::size_t adopted = 0;
    for (auto& [id, entry] : jobs_) {
        adopted += adopt_placed(entry);
        if (!entry.state.open()) {
            stop_job(entry, entry.state.cancelled() ? stop_reason::cancelled : stop_reason::failed);
            mark_dirty(id);
        }
        show(id, entry, entry.state.status());
    }
    log.info("took_over", {{"epoch", epoch_},
                           {"jobs", jobs_.size()},
                           {"placed_tasks", adopted},
                           {"workers", workers_.size()},
                           {"took_ms", base::milliseconds_between(began_, ports_.time->now())}});
    follow_jobs();
    follow_workers();
    tick();
}

void leader::follow_jobs()
{
    ports_.rows->follow(
        {"jobs", jobs_version_, feed_wait}, [this, alive = alive_](const store::feed_reply& reply) {
            if (!*alive) {
                return;
            }
            if (reply.outcome == store::call_outcome::done) {
                for (const auto& changed : reply.rows) {
                    if (!changed.removed && changed.current.id.part == options_.part) {
                        take_row(changed.current);
                    }
                }
                jobs_version_ = std::max(jobs_version_, reply.version);
                follow_jobs();
                return;
            }
            if (reply.outcome == store::call_outcome::expired) {
                log.warning("job_history_gone", {{"after", jobs_version_}});
                reread_jobs({});
                return;
            }
            ports_.time->after(feed_retry, [this, alive] {
                if (*alive) {
                    follow_jobs();
                }
            });
        });
}

void leader::reread_jobs(const std::string& from)
{
    ports_.rows->read({"jobs", options_.part, from, {}, page_rows},
                      [this, from, alive = alive_](const store::read_reply& reply) {
                          if (!*alive) {
                              return;
                          }
                          if (reply.outcome != store::call_outcome::done) {
                              ports_.time->after(read_retry, [this, from, alive] {
                                  if (*alive) {
                                      reread_jobs(from);
                                  }
                              });
                              return;
                          }
                          if (from.empty()) {
                              reread_version_ = reply.version;
                          }
                          for (const auto& seen : reply.rows) {
                              take_row(seen);
                          }
                          if (reply.truncated && !reply.rows.empty()) {
                              reread_jobs(after_key(reply.rows.back().id.key));
                              return;
                          }
                          jobs_version_ = std::max(jobs_version_, reread_version_);
                          follow_jobs();
                      });
}

void leader::hear_row(const store::row& seen)
{
    if (active_) {
        take_row(seen);
    }
}

void leader::take_row(const store::row& seen)
{
    const std::string_view key{seen.id.key};
    if (key.ends_with(cancel_suffix)) {
        cancel_job(std::string{key.substr(0, key.size() - cancel_suffix.size())});
        return;
    }
    if (jobs_.contains(seen.id.key) || ended_ids_.contains(seen.id.key)) {
        return;
    }
    auto decoded = batch::decode_job_row(seen.value);
    if (!decoded.has_value()) {
        log.error("job_row_unreadable",
                  {{"job", seen.id.key}, {"detail", decoded.error().detail}});
        return;
    }
    if (auto* const finished = std::get_if<batch::finished_job>(&decoded.value())) {
        ended_.emplace_back(seen.id.key, finished->ended_store_ms);
        ended_ids_.insert(seen.id.key);
        return;
    }
    add_job(std::get<batch::submission>(std::move(decoded).value()));
}

void leader::add_job(batch::submission accepted)
{
    const auto id = accepted.job;
    const auto queue = accepted.policy.queue;
    const auto age_ms = ports_.time->unix_ms() - accepted.accepted_ms;
    const auto [position, added] = jobs_.emplace(id, job_entry{std::move(accepted)});
    position->second.known_since = ports_.time->now();
    log.info("job_known", {{"job", id},
                           {"queue", queue},
                           {"workspace", position->second.state.accepted().workspace},
                           {"age_ms", age_ms},
                           {"epoch", epoch_}});
    if (early_cancels_.erase(id) > 0) {
        cancel_job(id);
    }
    if (active_) {
        show(id, position->second, batch::job_status::pending);
        plan_soon();
    }
}

void leader::cancel_job(const std::string& id)
{
    const auto found = jobs_.find(id);
    if (found == jobs_.end()) {
        if (!ended_ids_.contains(id)) {
            early_cancels_.insert(id);
        }
        return;
    }
    auto& entry = found->second;
    entry.cancel_row = true;
    if (entry.state.cancelled()) {
        return;
    }
    entry.state.cancel();
    log.info("job_cancelled", {{"job", id}, {"placed_tasks", entry.state.placed_tasks()}});
    if (active_) {
        stop_job(entry, stop_reason::cancelled);
        mark_dirty(id);
    }
}

void leader::mark_dirty(const std::string& id)
{
    dirty_.insert(id);
    flush_soon();
}

void leader::flush_soon()
{
    if (flush_scheduled_) {
        return;
    }
    flush_scheduled_ = true;
    ports_.time->after(base::milliseconds{0}, [this, alive = alive_] {
        if (*alive) {
            flush_scheduled_ = false;
            flush();
        }
    });
}

void leader::flush()
{
    const auto changed = std::exchange(dirty_, {});
    for (const auto& id : changed) {
        const auto found = jobs_.find(id);
        if (found == jobs_.end() || found->second.closing) {
            continue;
        }
        if (found->second.state.over()) {
            close_job(id, found->second);
        } else {
            write_job(id, found->second);
        }
    }
    for (auto& after : std::exchange(after_flush_, {})) {
        journal_->add({{}, std::move(after)});
    }
}

void leader::write_job(const std::string& id, job_entry& entry)
{
    const auto status = entry.state.status();
    auto orders = std::exchange(entry.unsent, {});
    store::journal_entry written;
    written.writes.push_back({runs_row(id), batch::encode_runs(entry.state)});
    written.on_durable = [this, id, status, orders = std::move(orders)] {
        const auto found = jobs_.find(id);
        if (found != jobs_.end()) {
            show(id, found->second, status);
        }
        for (const auto& key : orders) {
            send_start(key);
        }
    };
    journal_->add(std::move(written));
}

void leader::close_job(const std::string& id, job_entry& entry)
{
    entry.closing = true;
    const auto status = entry.state.status();
    const auto& accepted = entry.state.accepted();
    const auto store_ms = journal_->store_ms();
    store::journal_entry written;
    written.writes.push_back(
        {jobs_row(id),
         batch::encode(batch::finished_job{status, accepted.policy.queue, accepted.workspace,
                                           store_ms})});
    written.writes.push_back({runs_row(id), std::nullopt});
    if (entry.cancel_row) {
        written.writes.push_back({jobs_row(id + std::string{cancel_suffix}), std::nullopt});
    }
    written.on_durable = [this, id, status, store_ms] {
        const auto found = jobs_.find(id);
        if (found == jobs_.end()) {
            return;
        }
        const auto& ended = found->second.state.accepted();
        log.info("job_ended", {{"job", id},
                               {"status", batch::name_of(status)},
                               {"queue", ended.policy.queue},
                               {"age_ms", ports_.time->unix_ms() - ended.accepted_ms}});
        show(id, found->second, status);
        jobs_.erase(found);
        ended_.emplace_back(id, store_ms);
        ended_ids_.insert(id);
    };
    journal_->add(std::move(written));
}

void leader::show(const std::string& id, job_entry& entry, batch::job_status status)
{
    entry.shown = status;
    if (active_ && ports_.on_status) {
        const auto& accepted = entry.state.accepted();
        ports_.on_status({id, accepted.policy.queue, accepted.workspace, status});
    }
}

void leader::forget_old_jobs()
{
    const auto keep = options_.status_retention + retention_slack;
    store::journal_entry written;
    while (!ended_.empty() && written.writes.size() < rows_forgotten_at_once &&
           journal_->store_ms() - ended_.front().second > keep.count()) {
        written.writes.push_back({jobs_row(ended_.front().first), std::nullopt});
        ended_ids_.erase(ended_.front().first);
        ended_.pop_front();
    }
    if (!written.writes.empty()) {
        log.info("old_jobs_forgotten", {{"count", written.writes.size()}});
        journal_->add(std::move(written));
    }
}

} // namespace poplarstile::control
