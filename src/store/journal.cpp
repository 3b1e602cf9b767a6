#include "store/journal.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace poplarstile::store
{
namespace
{

/// The lease row stands once among the expectations and once among the puts.
constexpr std::size_t lease_entries = 2;

/// Bytes that a change sends.
struct change_size {
    std::size_t operator()(const row_removal& /*removal*/) const
    {
        return 0;
    }
    std::size_t operator()(const std::string& value) const
    {
        return value.size();
    }
    std::size_t operator()(const value_maker& make) const
    {
        return make().size();
    }
};

/// Adds a change of a row to a transaction.
struct change_writer {
    const row_id& id;
    transaction& made;

    void operator()(const row_removal& /*removal*/) const
    {
        made.removes.push_back(id);
    }
    void operator()(const std::string& value) const
    {
        made.puts.push_back({id, value});
    }
    void operator()(const value_maker& make) const
    {
        made.puts.push_back({id, make()});
    }
};

std::size_t bytes_of(const journal_entry& entry)
{
    std::size_t bytes = 0;
    for (const auto& write : entry.writes) {
        bytes += write.id.key.size() + std::visit(change_size{}, write.change);
    }
    return bytes;
}

} // namespace

journal::journal(const row_store& rows, const base::timers& time, journal_options options,
                 lease_record record, row_version version, events told)
    : rows_{rows}, time_{time}, options_{std::move(options)}, record_{std::move(record)},
      version_{version}, told_{std::move(told)}, last_commit_{record_.commit},
      retry_delay_{options_.retry_delay}, confirmed_at_{options_.acquisition_sent}, last_sent_{
                                                                                        time.now()}
{
    schedule_renewal();
}

journal::~journal()
{
    *alive_ = false;
}

void journal::add(journal_entry entry)
{
    if (lost_ || vacate_) {
        return;
    }
    entries_.push_back(std::move(entry));
    commit_soon();
}

void journal::hand_back(std::function<void()> on_done)
{
    vacate_ = true;
    on_vacant_ = std::move(on_done);
    commit_soon();
}

void journal::commit_soon()
{
    // What is added during one turn of the reactor goes into one transaction.
    if (under_way_ || soon_ || lost_) {
        return;
    }
    soon_ = true;
    time_.after(base::milliseconds{0}, [this, alive = alive_] {
        if (*alive) {
            soon_ = false;
            commit_now();
        }
    });
}

void journal::commit_now()
{
    if (under_way_ || lost_) {
        return;
    }
    under_way_ = true;
    last_sent_ = time_.now();
    const attempt next{++last_commit_, entries_that_fit(), last_sent_};
    attempts_.push_back(next);
    rows_.commit(make_transaction(next),
                 [this, commit = next.commit, alive = alive_](const commit_reply& reply) {
                     if (*alive) {
                         receive(commit, reply);
                     }
                 });
}

std::size_t journal::entries_that_fit() const
{
    // A retry must carry at least what an earlier try carried: entries become durable in order.
    const auto least = attempts_.empty() ? 0 : attempts_.back().entries;
    std::size_t count = 0;
    std::size_t rows = lease_entries;
    std::size_t bytes = 0;
    for (const auto& entry : entries_) {
        rows += entry.writes.size();
        bytes += bytes_of(entry);
        const bool fits = rows <= max_transaction_entries && bytes <= options_.max_bytes;
        if (count >= least && count > 0 && !fits) {
            break;
        }
        ++count;
    }
    return count;
}

transaction journal::make_transaction(const attempt& next) const
{
    transaction made;
    auto record = record_;
    record.commit = next.commit;
    if (vacate_ && next.entries == entries_.size()) {
        record.holder.clear();
    }
    const auto lease = lease_row(options_.part);
    made.expected.push_back({lease, version_});
    made.puts.push_back({lease, encode(record)});
    // The last write of a row wins.
    std::map<row_id, const journal_write*> newest;
    for (std::size_t index = 0; index < next.entries; ++index) {
        for (const auto& write : entries_.at(index).writes) {
            newest[write.id] = &write;
        }
    }
    for (const auto& [id, write] : newest) {
        std::visit(change_writer{id, made}, write->change);
    }
    return made;
}

void journal::receive(std::uint64_t commit, const commit_reply& reply)
{
    under_way_ = false;
    switch (reply.outcome) {
    case call_outcome::done:
        applied(commit, reply.version);
        return;
    case call_outcome::conflict:
        settle_conflict(reply);
        return;
    case call_outcome::refused:
        std::erase_if(attempts_, [commit](const attempt& tried) { return tried.commit == commit; });
        retry_later();
        return;
    default:
        ++counters_.unanswered;
        retry_later();
        return;
    }
}

void journal::applied(std::uint64_t commit, row_version version)
{
    const auto found = std::ranges::find(attempts_, commit, &attempt::commit);
    const auto carried = *found;
    attempts_.clear();
    version_ = version;
    retry_delay_ = options_.retry_delay;
    confirmed_at_ = std::max(confirmed_at_, carried.sent);
    ++counters_.commits;
    counters_.renewals += carried.entries == 0 ? 1 : 0;
    std::vector<journal_entry> durable;
    for (std::size_t index = 0; index < carried.entries; ++index) {
        durable.push_back(std::move(entries_.front()));
        entries_.pop_front();
    }
    const auto alive = alive_;
    for (const auto& entry : durable) {
        if (*alive && entry.on_durable) {
            entry.on_durable();
        }
    }
    if (!*alive) {
        return;
    }
    if (vacate_ && entries_.empty()) {
        lost_ = true;
        if (on_vacant_) {
            on_vacant_();
        }
        return;
    }
    if (!entries_.empty() || vacate_) {
        commit_soon();
    }
}

void journal::settle_conflict(const commit_reply& reply)
{
    const auto lease = lease_row(options_.part);
    const auto row = std::ranges::find(reply.current, lease, &row::id);
    if (row == reply.current.end() || row->version == 0) {
        lose({});
        return;
    }
    const auto found = decode_lease(row->value);
    if (!found.has_value()) {
        lose({});
        return;
    }
    const auto& current = found.value();
    const bool mine = current.epoch == record_.epoch && same_holder(current, record_);
    const auto tried = std::ranges::find(attempts_, current.commit, &attempt::commit);
    if (!mine || tried == attempts_.end()) {
        lose(current);
        return;
    }
    applied(current.commit, row->version);
}

void journal::retry_later()
{
    ++counters_.retries;
    const auto delay = retry_delay_;
    retry_delay_ = std::min(retry_delay_ * 2, options_.longest_retry_delay);
    under_way_ = true;
    time_.after(delay, [this, alive = alive_] {
        if (*alive) {
            under_way_ = false;
            commit_now();
        }
    });
}

void journal::schedule_renewal()
{
    time_.after(options_.renewal, [this, alive = alive_] {
        if (!*alive || lost_) {
            return;
        }
        if (time_.now() - last_sent_ >= options_.renewal) {
            commit_now();
        }
        schedule_renewal();
    });
}

void journal::lose(const lease_record& found)
{
    lost_ = true;
    entries_.clear();
    if (told_.on_lost) {
        told_.on_lost(found);
    }
}

} // namespace poplarstile::store
