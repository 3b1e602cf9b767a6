#include "control/leader.hpp"

#include "base/event_line.hpp"
#include "store/row_keys.hpp"

#include <algorithm>
#include <utility>

/// Reads jobs from the store's feed, and writes the state of jobs to the store.
namespace poplarstile::control
{
namespace
{

using store::after_key;
using store::cancel_suffix;

constexpr base::event_logger log{"leader"};
constexpr base::milliseconds read_retry{150};
constexpr base::milliseconds feed_wait{2'000};
constexpr base::milliseconds feed_retry{100};
/// Rows that change within this time are read with one call. API frontends report new rows
/// themselves, so the feed only has to deliver what got lost.
constexpr base::milliseconds feed_pause{50};
/// No row of an ended job is removed while what was seen of another part is older than this.
constexpr base::milliseconds longest_unseen{10'000};
constexpr std::uint32_t page_rows = 500;

/// Time until the next flush, which writes what changes meanwhile. Each flush encodes the whole
/// records of the jobs that have changed, so flushes of wide jobs take at most a quarter of the
/// leader's time. Load pattern: the tasks of several jobs of a hundred tasks end one by one.
base::milliseconds pause_after_flush(base::milliseconds flush_took)
{
    constexpr base::milliseconds max_pause{40};
    constexpr int pause_factor = 3;
    return std::min(flush_took * pause_factor, max_pause);
}

/// The content of a row of the jobs table. Error: `platform_answer_invalid`, also when the row
/// names another job than its key.
base::result<batch::job_row> decode_row(const store::row& stored)
{
    BOOST_OUTCOME_TRY(decoded, batch::decode_job_row(stored.value));
    const auto* const accepted = std::get_if<batch::submission>(&decoded);
    if (accepted != nullptr && accepted->job != stored.id.key) {
        return base::error{base::error_code::platform_answer_invalid, "job row",
                           "names the job " + accepted->job, ""};
    }
    return decoded;
}

} // namespace

store::row_id leader::jobs_row(std::size_t part, const std::string& key) const
{
    return {"jobs", options_.parts.name(part), key};
}

store::row_id leader::runs_row(std::size_t part, const std::string& key) const
{
    return {"runs", options_.parts.name(part), key};
}

std::optional<store::row_version> leader::followed_version() const
{
    std::optional<store::row_version> earliest;
    for (const auto& part : parts_) {
        if (part.phase == part_phase::active && !part.rereading) {
            earliest = std::min(earliest.value_or(part.seen_version), part.seen_version);
        }
    }
    return earliest;
}

void leader::follow_jobs()
{
    const auto after = followed_version();
    if (following_jobs_ || !after) {
        return;
    }
    following_jobs_ = true;
    rows_.follow({"jobs", *after, feed_wait}, [this, after = *after, sent = ports_.time->now(),
                                               alive = alive_](const store::feed_reply& reply) {
        if (*alive && !lost_) {
            following_jobs_ = false;
            receive_feed(after, sent, reply);
        }
    });
}

void leader::receive_feed(store::row_version after, base::time_point sent,
                          const store::feed_reply& reply)
{
    if (reply.outcome == store::call_outcome::done) {
        for (const auto& changed : reply.rows) {
            if (!changed.removed) {
                receive_row(changed.current);
            }
        }
        for (auto& part : parts_) {
            // A part that was read meanwhile, at an earlier version, has not seen what is between.
            const bool followed = part.phase == part_phase::active && !part.rereading;
            if (followed && part.seen_version >= after && part.seen_version <= reply.version) {
                part.seen_version = reply.version;
                part.seen_at = sent;
            }
        }
        follow_jobs_after(feed_pause);
        return;
    }
    if (reply.outcome == store::call_outcome::expired) {
        log.warning("job_history_gone", {{"after", after}});
        for (std::size_t part = 0; part < parts_.size(); ++part) {
            auto& state = parts_.at(part);
            if (state.phase == part_phase::active && !state.rereading) {
                state.rereading = true;
                reread_jobs(part, {});
            }
        }
        return;
    }
    follow_jobs_after(feed_retry);
}

void leader::follow_jobs_after(base::milliseconds delay)
{
    ports_.time->after(delay, [this, alive = alive_] {
        if (*alive) {
            follow_jobs();
        }
    });
}

void leader::note_first_page(std::size_t part, base::time_point sent,
                             const store::read_reply& reply)
{
    // Rows that change while further pages are read are delivered by the feed.
    auto& state = parts_.at(part);
    state.seen_version = reply.version;
    state.seen_at = sent;
}

void leader::reread_jobs(std::size_t part, const std::string& from)
{
    rows_.read({"jobs", options_.parts.name(part), from, {}, page_rows},
               [this, part, from, sent = ports_.time->now(),
                alive = alive_](const store::read_reply& reply) {
                   if (!*alive || lost_) {
                       return;
                   }
                   if (reply.outcome != store::call_outcome::done) {
                       ports_.time->after(read_retry, [this, part, from, alive] {
                           if (*alive) {
                               reread_jobs(part, from);
                           }
                       });
                       return;
                   }
                   for (const auto& seen : reply.rows) {
                       apply_row(part, seen);
                   }
                   if (from.empty()) {
                       note_first_page(part, sent, reply);
                   }
                   if (reply.truncated && !reply.rows.empty()) {
                       reread_jobs(part, after_key(reply.rows.back().id.key));
                       return;
                   }
                   parts_.at(part).rereading = false;
                   follow_jobs();
               });
}

std::optional<base::time_point> leader::all_rows_seen_at() const
{
    auto earliest = base::time_point::max();
    for (const auto& part : parts_) {
        if (part.phase != part_phase::active || part.rereading) {
            return std::nullopt;
        }
        earliest = std::min(earliest, part.seen_at);
    }
    return earliest;
}

bool leader::all_rows_seen() const
{
    const auto seen_at = all_rows_seen_at();
    return seen_at && ports_.time->now() - *seen_at <= longest_unseen;
}

void leader::receive_row(const store::row& seen)
{
    const auto part = options_.parts.index_of(seen.id.part);
    if (!active_ || part >= parts_.size()) {
        return;
    }
    // Rows of a part that is not loaded yet are read when it is loaded. A version that was seen
    // before may be of a row that is gone.
    const auto& state = parts_.at(part);
    if (state.phase == part_phase::active && seen.version > state.seen_version) {
        apply_row(part, seen);
    }
}

void leader::apply_row(std::size_t part, const store::row& seen)
{
    const std::string_view key{seen.id.key};
    if (key.ends_with(cancel_suffix)) {
        cancel_job(std::string{key.substr(0, key.size() - cancel_suffix.size())}, part);
        return;
    }
    const auto existing = jobs_.find(seen.id.key);
    if (existing != jobs_.end() && existing->second.part == part) {
        return;
    }
    auto decoded = decode_row(seen);
    if (!decoded.has_value()) {
        ++counters_.unreadable_rows;
        log.error("job_row_unreadable", {{"job", seen.id.key}, {"detail", decoded.error().detail}});
        early_cancels_.keep(seen.id.key);
        return;
    }
    if (auto* const finished = std::get_if<batch::finished_job>(&decoded.value())) {
        add_ended_job(part, seen.id.key, *finished, end_origin::earlier_leader);
        drop_open_duplicate(seen.id.key, finished->status);
        return;
    }
    auto& accepted = std::get<batch::submission>(decoded.value());
    if (ended_.contains(seen.id.key)) {
        drop_duplicate(part, seen.id.key);
    } else if (existing != jobs_.end()) {
        settle_second_row(std::move(accepted), part);
    } else {
        add_job(std::move(accepted), part);
    }
}

void leader::add_job(batch::submission accepted, std::size_t part)
{
    const auto id = accepted.job;
    const auto queue = accepted.policy.queue;
    const auto age_ms = ports_.time->unix_ms() - accepted.accepted_ms;
    const auto position = jobs_.emplace(id, job_entry{std::move(accepted), part}).first;
    position->second.known_since = ports_.time->now();
    restore_runs(position->second);
    log.keep("job_known", {{"job", id},
                           {"queue", queue},
                           {"workspace", position->second.state.accepted().workspace},
                           {"store_part", options_.parts.name(part)},
                           {"age_ms", age_ms},
                           {"chain_ms", position->second.state.longest_chain().count()},
                           {"epoch", epoch_}});
    for (const auto cancel_part : early_cancels_.take(id)) {
        cancel_job(id, cancel_part);
    }
    if (active_ && parts_.at(part).phase == part_phase::active) {
        publish_status(id, position->second, batch::job_status::pending);
        if (all_parts_active() && part != options_.parts.home_of(id)) {
            mark_dirty(id);
        }
        schedule_plan();
    }
}

void leader::mark_dirty(const std::string& id)
{
    dirty_.insert(id);
    schedule_flush();
}

void leader::schedule_flush()
{
    if (flush_scheduled_) {
        return;
    }
    flush_scheduled_ = true;
    const auto now = ports_.time->now();
    const auto due = std::max(last_flush_at_ + pause_after_flush(last_flush_took_), now);
    const auto delay = std::chrono::ceil<base::milliseconds>(due - now);
    ports_.time->after(delay, [this, alive = alive_] {
        if (*alive) {
            flush_scheduled_ = false;
            flush();
        }
    });
}

void leader::flush()
{
    const auto began = ports_.time->now();
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
    for (const auto& after : std::exchange(after_flush_, {})) {
        when_durable(after);
    }
    last_flush_at_ = ports_.time->now();
    last_flush_took_ = std::chrono::duration_cast<base::milliseconds>(last_flush_at_ - began);
}

void leader::when_durable(const std::function<void()>& done)
{
    if (handing_back_ || lost_) {
        // Entries added from now on do not become durable under this leader.
        return;
    }
    std::vector<store::journal*> busy;
    for (auto& part : parts_) {
        if (part.journal && part.journal->backlog() > 0) {
            busy.push_back(part.journal.get());
        }
    }
    if (busy.empty()) {
        done();
        return;
    }
    auto left = std::make_shared<std::size_t>(busy.size());
    for (auto* const journal : busy) {
        journal->add({{}, [left, done] {
                          if (--*left == 0) {
                              done();
                          }
                      }});
    }
}

std::vector<store::journal_write> leader::record_writes(std::size_t part, const batch::job& current)
{
    const auto& id = current.id();
    auto writes = record_removals(part, id);
    auto rows = batch::encode_run_rows(current, options_.max_row_bytes);
    if (rows.size() > writes.size()) {
        writes.resize(rows.size());
    }
    for (std::size_t row = 0; row < rows.size(); ++row) {
        writes.at(row) = {runs_row(part, batch::run_row_key(id, row)), std::move(rows.at(row))};
    }
    if (rows.size() > 1) {
        parts_.at(part).record_rows[id] = rows.size();
    }
    return writes;
}

std::vector<store::journal_write> leader::record_removals(std::size_t part, const std::string& id)
{
    const auto stored = parts_.at(part).record_rows.extract(id);
    const auto rows = stored.empty() ? std::size_t{1} : stored.mapped();
    std::vector<store::journal_write> writes;
    for (std::size_t row = 0; row < rows; ++row) {
        writes.push_back({runs_row(part, batch::run_row_key(id, row)), store::row_removal{}});
    }
    return writes;
}

void leader::write_job(const std::string& id, job_entry& entry)
{
    entry.recorded = true;
    const auto status = entry.state.status();
    auto orders = std::exchange(entry.unsent, {});
    store::journal_entry written;
    written.writes = record_writes(entry.part, entry.state);
    written.on_durable = [this, id, status, orders = std::move(orders)] {
        const auto found = jobs_.find(id);
        // How the job ends is settled only once its end is stored.
        if (found != jobs_.end() && !batch::is_final(status)) {
            publish_status(id, found->second, status);
        }
        for (const auto& key : orders) {
            send_start(key);
        }
    };
    parts_.at(entry.part).journal->add(std::move(written));
}

void leader::publish_status(const std::string& id, job_entry& entry, batch::job_status status)
{
    entry.published_status = status;
    if (active_ && ports_.on_status) {
        const auto& accepted = entry.state.accepted();
        ports_.on_status({id, accepted.policy.queue, accepted.workspace, status});
    }
}

} // namespace poplarstile::control
