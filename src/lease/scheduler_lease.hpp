#pragma once

#include "base/time.hpp"
#include "table/table.hpp"
#include "workers/worker_messages.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// The lease by which one VM of a failure domain is its scheduler.
namespace poplarstile::lease
{

struct lease_options {
    std::string vm{};
    std::string run_id{};
    std::string failure_domain{};
    base::milliseconds renewal{500};
    /// Silence of the heartbeat row after which another VM takes over.
    base::milliseconds timeout{1'500};
};

// Events.

struct rows_read {
    /// Nothing when the read failed.
    bool readable = false;
    std::optional<table::table_row> lease{};
    std::optional<table::table_row> heartbeat{};
};
struct write_answered {
    table::commit_result result{};
};
/// A worker or the table showed a newer holder.
struct deposed {
};
/// This VM leaves and hands the lease over.
struct leaving {
};
struct time_passed {
};
/// Membership calls a VM dead or leaving: a hint to look at once, never the truth.
struct vm_gone {
    std::string vm{};
};
/// This process did not run for a while; another VM may hold the lease by now.
struct paused {
};

using event =
    std::variant<rows_read, write_answered, deposed, leaving, time_passed, vm_gone, paused>;

// Actions.

struct read_rows {
    std::string lease_key{};
    std::string heartbeat_key{};
};
struct write_rows {
    table::table_transaction transaction{};
};
struct gained {
    workers::fencing_token token = 0;
    std::string lease_key{};
    table::row_version lease_version = 0;
};
struct lost {
    std::string reason{};
};

using action = std::variant<read_rows, write_rows, gained, lost>;
using actions = std::vector<action>;

/// Takes, renews and gives up the scheduler lease of a failure domain.
///
/// Two table rows: `lease/<domain>` names holder and epoch and changes only when the holder does,
/// so that the scheduler's own writes can be conditional on it; `heartbeat/<domain>` shows that the
/// holder lives. Time decides only when to try: the epoch, as a fencing token at the workers and as
/// a condition in the table, is what protects (Burrows, "The Chubby lock service", 2006).
class scheduler_lease
{
public:
    explicit scheduler_lease(const lease_options& options);

    [[nodiscard]] actions decide(const event& happened, base::time_point now);

    [[nodiscard]] bool held() const
    {
        return held_;
    }
    /// False from a pause until the table answered: the holder must not act on its own belief
    /// meanwhile. When the table can't answer, the fencing token alone protects.
    [[nodiscard]] bool confirmed() const
    {
        return !doubtful_;
    }
    [[nodiscard]] std::uint64_t epoch() const
    {
        return epoch_;
    }
    /// The holder as last read; empty when none is known.
    [[nodiscard]] const std::string& holder() const
    {
        return holder_;
    }

private:
    void handle(const rows_read& happened);
    void handle(const write_answered& happened);
    void handle(const deposed& happened);
    void handle(const leaving& happened);
    void handle(const time_passed& happened);
    void handle(const vm_gone& happened);
    void handle(const paused& happened);

    void renew();
    void take_over();
    void read();
    void gain();
    void lose(std::string reason);
    [[nodiscard]] base::milliseconds patience() const;
    [[nodiscard]] std::string operation_prefix() const;
    [[nodiscard]] std::string next_operation();

    lease_options options_;
    std::string lease_key_;
    std::string heartbeat_key_;
    bool held_ = false;
    bool leaving_ = false;
    bool doubtful_ = false;
    /// The write under way was sent before a pause, so its answer proves nothing of now.
    bool stale_answer_ = false;
    /// Membership calls the holder dead.
    bool holder_gone_ = false;
    std::uint64_t last_held_epoch_ = 0;
    std::uint64_t epoch_ = 0;
    std::string holder_;
    table::row_version lease_version_ = 0;
    table::row_version heartbeat_version_ = 0;
    base::time_point heartbeat_seen_{};
    base::time_point asked_at_{};
    bool waiting_ = false;
    /// Operation of a takeover whose answer is awaited or was lost.
    std::string takeover_;
    std::uint64_t next_number_ = 1;
    base::time_point now_{};
    actions out_;
};

} // namespace poplarstile::lease
