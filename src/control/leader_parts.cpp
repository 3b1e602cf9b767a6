#include "control/leader.hpp"

#include "base/event_line.hpp"
#include "store/row_keys.hpp"

#include <algorithm>
#include <utility>

/// Takeover of the store's parts: acquires their leases and reads the rows stored in them.
namespace poplarstile::control
{
namespace
{

using store::after_key;

constexpr base::event_logger log{"leader"};
constexpr base::milliseconds part_retry{150};
constexpr std::uint32_t page_rows = 500;
/// Failed attempts after which work on the other parts no longer waits for this part.
constexpr std::uint32_t max_blocking_failures = 2;
/// A part without a confirmed commit for longer than this is left out of plans and stops nothing,
/// because none of its tasks could be started.
/// Load pattern: the store is unavailable, or this leader is partitioned and another VM leads.
constexpr base::milliseconds unconfirmed_limit{1'700};

} // namespace

void leader::on_lease_lost(const store::lease_record& found)
{
    if (lost_) {
        return;
    }
    lost_ = true;
    active_ = false;
    log.warning("lease_lost",
                {{"epoch", epoch_}, {"found_holder", found.holder}, {"found_epoch", found.epoch}});
    if (ports_.on_lost) {
        ports_.on_lost(found);
    }
}

void leader::part_failed(std::size_t part, std::function<void()> again)
{
    auto& failed = parts_.at(part);
    if (++failed.failures == max_blocking_failures) {
        log.warning("part_not_served",
                    {{"store_part", options_.parts.name(part)}, {"epoch", epoch_}});
        begin_work();
    }
    ports_.time->after(part_retry, [this, again = std::move(again), alive = alive_] {
        if (*alive && !lost_ && !handing_back_) {
            again();
        }
    });
}

void leader::acquire_part(std::size_t part)
{
    const auto lease = store::lease_row(options_.parts.name(part));
    rows_.read(
        {lease.table, lease.part, lease.key, after_key(lease.key), 1},
        [this, part, sent = ports_.time->now(), alive = alive_](const store::read_reply& reply) {
            if (*alive && !lost_) {
                acquire_part_lease(part, sent, reply);
            }
        });
}

void leader::acquire_part_lease(std::size_t part, base::time_point sent,
                                const store::read_reply& reply)
{
    if (reply.outcome != store::call_outcome::done) {
        part_failed(part, [this, part] { acquire_part(part); });
        return;
    }
    if (reply.rows.empty()) {
        commit_part_lease(part, 0);
        return;
    }
    const auto& row = reply.rows.front();
    const auto decoded = store::decode_lease(row.value);
    if (!decoded.has_value()) {
        log.error("lease_unreadable",
                  {{"store_part", options_.parts.name(part)}, {"detail", decoded.error().detail}});
        commit_part_lease(part, row.version);
        return;
    }
    const auto& record = decoded.value();
    if (record.epoch > epoch_) {
        on_lease_lost(record);
    } else if (record.epoch == epoch_ && store::same_holder(record, lease_)) {
        // An earlier commit of this leader took effect although its reply was lost.
        open_part(part, record, row.version, sent);
        read_runs(part, {});
    } else {
        commit_part_lease(part, row.version);
    }
}

void leader::commit_part_lease(std::size_t part, store::row_version version)
{
    const auto lease = store::lease_row(options_.parts.name(part));
    auto record = lease_;
    record.commit = 0;
    store::transaction acquisition;
    acquisition.expected.push_back({lease, version});
    acquisition.puts.push_back({lease, store::encode(record)});
    rows_.commit(std::move(acquisition), [this, part, record, sent = ports_.time->now(),
                                          alive = alive_](const store::commit_reply& reply) {
        if (!*alive || lost_) {
            return;
        }
        if (reply.outcome == store::call_outcome::done) {
            open_part(part, record, reply.version, sent);
            read_runs(part, {});
        } else if (reply.outcome == store::call_outcome::conflict) {
            acquire_part(part);
        } else {
            part_failed(part, [this, part] { acquire_part(part); });
        }
    });
}

void leader::open_part(std::size_t part, store::lease_record lease, store::row_version version,
                       base::time_point sent)
{
    store::journal_options options;
    options.part = options_.parts.name(part);
    options.acquisition_sent = sent;
    store::journal::events handlers;
    handlers.on_lost = [this](const store::lease_record& found) { on_lease_lost(found); };
    auto& opened = parts_.at(part);
    opened.phase = part_phase::reading;
    opened.acquired_at = ports_.time->now();
    opened.journal = std::make_unique<store::journal>(
        rows_, *ports_.time, options, std::move(lease), version, std::move(handlers));
}

void leader::read_runs(std::size_t part, const std::string& from)
{
    rows_.read({"runs", options_.parts.name(part), from, {}, page_rows},
               [this, part, from, alive = alive_](const store::read_reply& reply) {
                   if (!*alive || lost_) {
                       return;
                   }
                   if (reply.outcome != store::call_outcome::done) {
                       part_failed(part, [this, part, from] { read_runs(part, from); });
                       return;
                   }
                   for (const auto& stored : reply.rows) {
                       note_record_row(part, stored);
                   }
                   if (reply.truncated && !reply.rows.empty()) {
                       read_runs(part, after_key(reply.rows.back().id.key));
                   } else {
                       read_jobs(part, {});
                   }
               });
}

void leader::read_jobs(std::size_t part, const std::string& from)
{
    rows_.read({"jobs", options_.parts.name(part), from, {}, page_rows},
               [this, part, from, sent = ports_.time->now(),
                alive = alive_](const store::read_reply& reply) {
                   if (!*alive || lost_) {
                       return;
                   }
                   if (reply.outcome != store::call_outcome::done) {
                       part_failed(part, [this, part, from] { read_jobs(part, from); });
                       return;
                   }
                   if (from.empty()) {
                       // The feed is followed from here; applying a row twice is harmless.
                       note_first_page(part, sent, reply);
                   }
                   for (const auto& job_row : reply.rows) {
                       apply_row(part, job_row);
                   }
                   if (reply.truncated && !reply.rows.empty()) {
                       read_jobs(part, after_key(reply.rows.back().id.key));
                   } else {
                       part_read(part);
                   }
               });
}

void leader::note_record_row(std::size_t part, const store::row& stored)
{
    auto& state = parts_.at(part);
    state.unclaimed_records.insert_or_assign(stored.id.key, stored.value);
    const auto number = batch::run_row_number(stored.id.key);
    if (number > 0) {
        auto& rows = state.record_rows[std::string{batch::job_of_run_row(stored.id.key)}];
        rows = std::max(rows, number + 1);
    }
}

void leader::restore_runs(job_entry& entry)
{
    const auto& id = entry.state.id();
    const auto stored = batch::take_record(parts_.at(entry.part).unclaimed_records, id);
    if (!stored) {
        return;
    }
    entry.recorded = true;
    auto record = batch::decode_runs(*stored);
    if (!record.has_value()) {
        ++counters_.unreadable_rows;
        log.error("run_record_unreadable", {{"job", id}, {"detail", record.error().detail}});
        return;
    }
    if (!entry.state.restore(std::move(record.value().occurrences), record.value().failed)) {
        ++counters_.unreadable_rows;
        log.error("run_record_of_another_shape", {{"job", id}});
        return;
    }
    entry.published_status =
        entry.state.started() ? batch::job_status::running : batch::job_status::pending;
}

void leader::part_read(std::size_t part)
{
    auto& read = parts_.at(part);
    read.phase = part_phase::active;
    for (const auto& unclaimed : std::exchange(read.unclaimed_records, {})) {
        if (batch::run_row_number(unclaimed.first) == 0) {
            log.warning("run_record_without_job", {{"job", unclaimed.first}});
        }
    }
    if (active_) {
        log.info("part_taken_later",
                 {{"store_part", options_.parts.name(part)}, {"epoch", epoch_}});
        adopt_part(part);
        record_jobs_outside_home();
        follow_jobs();
        return;
    }
    begin_work();
}

bool leader::all_parts_active() const
{
    return std::ranges::all_of(
        parts_, [](const part_state& part) { return part.phase == part_phase::active; });
}

bool leader::runs_read_of(const std::string& job) const
{
    const auto found = jobs_.find(job);
    if (found == jobs_.end()) {
        return all_parts_active();
    }
    // No task of a job without a record was placed, unless another row of it has a record.
    const bool read = parts_.at(found->second.part).phase == part_phase::active;
    return read && (found->second.recorded || all_parts_active());
}

bool leader::part_answers(std::size_t part) const
{
    const auto& journal = parts_.at(part).journal;
    return journal && ports_.time->now() - journal->confirmed_at() <= unconfirmed_limit;
}

void leader::begin_work()
{
    const bool parts_settled = std::ranges::all_of(parts_, [](const part_state& part) {
        return part.phase == part_phase::active || part.failures >= max_blocking_failures;
    });
    if (active_ || lost_ || !workers_read_ || !parts_settled) {
        return;
    }
    active_ = true;
    for (std::size_t part = 0; part < parts_.size(); ++part) {
        if (parts_.at(part).phase == part_phase::active) {
            adopt_part(part);
        }
    }
    record_jobs_outside_home();
    log.keep("took_over", {{"epoch", epoch_},
                           {"jobs", jobs_.size()},
                           {"workers", workers_.size()},
                           {"all_parts", all_parts_active()},
                           {"took_ms", base::milliseconds_between(began_, ports_.time->now())}});
    report_span(leader_span::takeover,
                std::chrono::duration_cast<base::milliseconds>(ports_.time->now() - began_));
    follow_jobs();
    follow_workers();
    tick();
}

void leader::adopt_part(std::size_t part)
{
    std::size_t adopted = 0;
    for (auto& [id, entry] : jobs_) {
        if (entry.part != part) {
            continue;
        }
        adopted += adopt_placed(entry);
        if (!entry.state.open()) {
            stop_job(entry, entry.state.cancelled() ? stop_reason::cancelled : stop_reason::failed);
            mark_dirty(id);
        }
        publish_status(id, entry, entry.published_status);
    }
    log.keep("part_adopted", {{"store_part", options_.parts.name(part)},
                              {"placed_tasks", adopted},
                              {"ended_jobs", ended_.count_in(part)},
                              {"ended_without_time", ended_.count_without_end(part)}});
}

} // namespace poplarstile::control
