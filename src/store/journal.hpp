#pragma once

#include "base/timers.hpp"
#include "store/lease_record.hpp"
#include "store/row_store.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace poplarstile::store
{

/// The row is removed.
struct row_removal {
};

/// Makes the row's value anew for each try, so that a time in it is that of the try.
using value_maker = std::function<std::string()>;

/// What happens to a row: removed, or written with a value.
using row_change = std::variant<row_removal, std::string, value_maker>;

/// One row to be written or removed.
struct journal_write {
    row_id id{};
    row_change change{};
};

/// Rows that become durable together.
struct journal_entry {
    std::vector<journal_write> writes{};
    /// Called once the rows are durable; not called when the lease is lost first.
    std::function<void()> on_durable{};
};

struct journal_options {
    std::string part{};
    /// When the call was sent that showed the lease row to be this VM's; the first confirmation.
    base::time_point acquisition_sent{};
    /// The lease row is put again after this time without another commit.
    base::milliseconds renewal{1'000};
    base::milliseconds retry_delay{60};
    /// Retries back off up to this delay while the store refuses.
    base::milliseconds longest_retry_delay{300};
    /// Bytes of values that one transaction may carry.
    std::size_t max_bytes = std::size_t{600} * 1024;
};

/// What the journal has done since it started.
struct journal_counters {
    std::uint64_t commits = 0;
    std::uint64_t renewals = 0;
    std::uint64_t retries = 0;
    std::uint64_t unanswered = 0;
};

/// Group commit under the lease row: entries become durable in the order in which they were added,
/// one transaction at a time, each conditional on the lease row and rewriting it. A try without an
/// answer is followed by another on the same version; at most one of them is applied, and the
/// conflict of the next shows which.
class journal
{
public:
    struct events {
        /// Another holder was found; nothing more becomes durable.
        std::function<void(const lease_record& found)> on_lost{};
    };

    /// `record` and `version` are the lease row as this VM has just written it.
    journal(const row_store& rows, const base::timers& time, journal_options options,
            lease_record record, row_version version, events told);
    ~journal();
    journal(const journal&) = delete;
    journal& operator=(const journal&) = delete;

    void add(journal_entry entry);

    /// Writes the lease row as vacant after everything that was added; `on_done` is told once.
    void hand_back(std::function<void()> on_done);

    /// Version of the lease row as this journal last wrote it.
    [[nodiscard]] row_version version() const
    {
        return version_;
    }
    /// When the newest commit that is known to be applied was sent.
    [[nodiscard]] base::time_point confirmed_at() const
    {
        return confirmed_at_;
    }
    /// Entries that are not durable yet.
    [[nodiscard]] std::size_t backlog() const
    {
        return entries_.size();
    }
    [[nodiscard]] const journal_counters& counters() const
    {
        return counters_;
    }

private:
    /// One try: its commit number and how many entries from the front it carries.
    struct attempt {
        std::uint64_t commit = 0;
        std::size_t entries = 0;
        base::time_point sent{};
    };

    void commit_soon();
    void commit_now();
    [[nodiscard]] std::size_t entries_that_fit() const;
    [[nodiscard]] transaction make_transaction(const attempt& next) const;
    void receive(std::uint64_t commit, const commit_reply& reply);
    void applied(std::uint64_t commit, row_version version);
    void settle_conflict(const commit_reply& reply);
    void retry_later();
    void schedule_renewal();
    void lose(const lease_record& found);

    const row_store& rows_;
    const base::timers& time_;
    journal_options options_;
    lease_record record_;
    row_version version_;
    events told_;
    std::deque<journal_entry> entries_{};
    std::vector<attempt> attempts_{};
    std::uint64_t last_commit_ = 0;
    bool under_way_ = false;
    bool soon_ = false;
    bool lost_ = false;
    bool vacate_ = false;
    std::function<void()> on_vacant_{};
    base::milliseconds retry_delay_{};
    base::time_point confirmed_at_{};
    base::time_point last_sent_{};
    journal_counters counters_{};
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace poplarstile::store
