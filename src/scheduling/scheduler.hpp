#pragma once

#include "ordering/job_queue.hpp"
#include "placement/allocation.hpp"
#include "scheduling/ended_rows.hpp"
#include "scheduling/gang.hpp"
#include "scheduling/job_view.hpp"
#include "scheduling/messages.hpp"

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace poplarstile::scheduling
{

struct scheduler_options {
    std::string failure_domain{};
    /// Distinguishes the operations of this run of the VM from those of earlier ones.
    std::string run_id{};
    base::milliseconds worker_heartbeat{500};
    base::milliseconds worker_lease{3'000};
    /// Interval at which the live jobs are read again from the table.
    base::milliseconds job_scan{2'000};
    /// Different workers on which a job may fail before it is at fault itself.
    std::size_t failures_to_give_up = 3;
    ordering::policy order{};
};

/// Longest time from the decision to reclaim cells to the release of the work that they were
/// reclaimed for, while the workers concerned answer within `reclaim_round_trip` and at most one
/// answer is lost.
inline constexpr base::milliseconds reclaim_bound{1'100};
/// Longest wait for the checkpoints of work that gives way; then it is stopped without.
inline constexpr base::milliseconds checkpoint_wait{400};
/// Longest answer of a worker for which `reclaim_bound` holds.
inline constexpr base::milliseconds reclaim_round_trip{100};

/// Ended jobs that are remembered against rows that are read or told late.
inline constexpr std::size_t max_ended = 16'384;

/// The scheduler of one failure domain: decides which gang starts where, and sees each through.
///
/// It acts only between `lease_gained` and `lease_lost`. After gaining the lease it first fences
/// and lists every worker it can reach, and starts nothing before it has rebuilt its state from the
/// table and the workers. Pure: time comes with each event, effects leave as actions.
class scheduler
{
public:
    scheduler(const scheduler_options& options, std::span<const worker_description> workers);

    [[nodiscard]] actions decide(event happened, base::time_point now);

    [[nodiscard]] bool active() const
    {
        return phase_ == phase::active;
    }
    [[nodiscard]] scheduler_counters counters() const;
    [[nodiscard]] std::vector<worker_view> workers() const;
    [[nodiscard]] std::vector<job_view> jobs() const;
    [[nodiscard]] std::optional<job_view> find_job(std::string_view id) const;
    [[nodiscard]] room_view room() const;
    /// Who has which accelerators; for views and checks.
    [[nodiscard]] const placement::allocation& cells() const
    {
        return allocation_;
    }

private:
    enum class phase { inactive, rebuilding, active };

    enum class worker_condition {
        /// Nothing heard under this token yet.
        unknown,
        healthy,
        /// Renewals stopped; its tasks end when their leases lapse.
        silent,
        /// Every lease that this scheduler renewed has lapsed.
        lost,
    };

    struct worker_state {
        worker_description description{};
        worker_condition condition = worker_condition::unknown;
        bool leaving = false;
        bool avoided = false;
        bool answer_pending = false;
        /// True when the question under way renews leases.
        bool renewing = false;
        std::uint64_t round = 0;
        base::time_point asked_at{};
        base::time_point heard_at{};
        /// When a renewal or hold last may have reached the worker.
        base::time_point renewed_at{};
        std::vector<bool> broken{};
        /// Tasks of current attempts on this worker.
        std::set<std::string, std::less<>> tasks{};
        std::vector<workers::task_report> last_report{};
    };

    /// A gang that gives way to a guarantee.
    struct giving_way {
        std::string workspace{};
        base::time_point checkpoint_due{};
        base::milliseconds least_progress = base::milliseconds::max();
        /// Tasks whose checkpoint has not been answered.
        std::set<std::string, std::less<>> unanswered{};
    };

    struct job_record {
        stored_job stored{};
        job_state state = job_state::queued;
        std::string detail{};
        std::optional<gang> attempt{};
        std::optional<giving_way> yielding{};
        std::uint32_t attempts = 0;
        std::vector<std::string> failed_on{};
        std::uint32_t failures = 0;
        std::uint64_t sequence = 0;
        std::int64_t started_us = 0;
        base::time_point queued_since{};
        /// Not placed again before this time.
        base::time_point retry_at{};
        base::time_point running_since{};
        /// Progress that the last checkpoint keeps, and when it was taken.
        base::milliseconds kept{0};
        base::time_point checkpointed_at{};
        base::time_point orders_sent_at{};
        /// Operation of the table write under way; empty when none is.
        std::string writing{};
        bool final_write = false;
        base::time_point write_again_at{};
        std::vector<job_step> history{};
    };

    void handle(lease_gained& happened);
    void handle(lease_lost& happened);
    void handle(jobs_listed& happened);
    void handle(job_submitted& happened);
    void handle(cancel_requested& happened);
    void handle(worker_reported& happened);
    void handle(task_answered& happened);
    void handle(job_written& happened);
    void handle(rules_changed& happened);
    void handle(time_passed& happened);

    // Workers.
    void contact_workers();
    void contact_worker(worker_state& worker);
    void note_silence(worker_state& worker);
    void take_report(worker_state& worker, const workers::lease_report& report);
    void take_tasks(worker_state& worker);
    /// True when no renewal or hold that may have reached the worker is young enough to count.
    [[nodiscard]] bool leases_lapsed(const worker_state& worker) const;
    void lose_lapsed_workers();
    void stop_gangs_of(const worker_state& worker, bool lapsed);
    void stop_orphan(const worker_state& worker, const workers::task_report& task);
    [[nodiscard]] bool end_is_unstored(std::string_view job) const;
    void refresh_usable(const worker_state& worker);
    [[nodiscard]] worker_state* find_worker(std::string_view id);
    [[nodiscard]] std::size_t index_of(const worker_state& worker) const;

    // Rebuilding.
    struct found_attempt;
    using found_attempts = std::unordered_map<std::string, std::vector<found_attempt>>;
    void reset();
    void finish_rebuilding_if_ready();
    [[nodiscard]] found_attempts find_attempts() const;
    void rebuild_job(job_record& job, std::vector<found_attempt>& found);
    void adopt(job_record& job, const found_attempt& found);

    // Jobs.
    void add_job(stored_job job);
    void settle_new_job(job_record& job);
    void drive(job_record& job);
    void drive_overdue(job_record& job);
    void release_members(job_record& job);
    void stop_members(job_record& job);
    void note_running(job_record& job);
    void finish_attempt(job_record& job);
    void end_attempt(job_record& job, const gang& attempt);
    void requeue(job_record& job, std::string detail);
    void finish_job(job_record& job, job_state state, std::string detail);
    void forget_tasks(const gang& attempt);
    void note(std::string kind, job_record& job, std::string detail);

    // Placement.
    void place_queued();
    void place_arrived(std::span<const std::string> arrived);
    void place_in_order();
    [[nodiscard]] bool try_place(job_record& job);
    void start_holding(job_record& job);
    void hold_member(job_record& job, gang_member& member, std::uint32_t number);
    void advance_claims();
    void yield(job_record& victim, const job_record& claimant);
    void record_checkpoint(job_record& job, const task_answered& happened);
    void stop_yielding(job_record& job);
    [[nodiscard]] placement::work_request request_of(const job_record& job) const;
    [[nodiscard]] double loss_of(placement::work_id work) const;
    [[nodiscard]] base::milliseconds attained_by(const job_record& job) const;
    /// Adds a job without attempt or claim to the waiting ones.
    void enqueue(const job_record& job);

    // Order.
    void make_room();
    [[nodiscard]] bool may_stop(const job_record& victim, const job_record& waiting,
                                ordering::order_reason reason) const;
    [[nodiscard]] std::optional<std::vector<placement::work_id>>
    stoppable_in(const placement::cell& where, const job_record& job,
                 ordering::order_reason reason) const;
    [[nodiscard]] std::optional<placement::placement_plan>
    claim_plan(const job_record& job, ordering::order_reason reason) const;
    [[nodiscard]] bool claim_cell(job_record& job, ordering::order_reason reason);
    void reserve_cell(const job_record& job);

    // Table writes.
    void write_final(job_record& job);
    void write_released(job_record& job);
    void take_conflict(job_record& job, const table::commit_result& result);
    /// The job's live row went at `gone_at`, or before it.
    void erase_job(const std::string& id, table::row_version gone_at);
    [[nodiscard]] std::string next_operation();

    // Views.
    [[nodiscard]] job_view view_of(const job_record& job) const;
    [[nodiscard]] job_reason reason_of(const job_record& job) const;
    [[nodiscard]] bool waits_for_place(const job_record& job) const;
    /// Why a queued job finds no place.
    [[nodiscard]] job_reason place_reason_of(const job_record& job) const;

    scheduler_options options_;
    placement::topology hardware_;
    placement::allocation allocation_;
    ordering::job_queue queue_;
    /// The job that cells are kept free for.
    std::optional<ordering::job_number> reserved_for_{};
    /// In the order of the hardware's workers.
    std::vector<worker_state> workers_;
    std::unordered_map<std::string, std::size_t> worker_indices_;
    std::map<std::string, job_record, std::less<>> jobs_;
    /// Job of each task of a current attempt.
    std::unordered_map<std::string, std::string> task_jobs_;
    /// Jobs by their number in the allocation.
    std::unordered_map<placement::work_id, job_record*> works_;
    /// Jobs whose cells are being reclaimed.
    std::vector<std::string> claimants_;
    ended_rows ended_{max_ended};
    /// Jobs whose live rows the last scan could not read.
    std::set<std::string, std::less<>> unreadable_;
    std::shared_ptr<const rules::ruleset> rules_ = std::make_shared<rules::ruleset>();
    phase phase_ = phase::inactive;
    workers::fencing_token token_ = 0;
    std::string lease_key_;
    table::row_version lease_version_ = 0;
    base::time_point lease_gained_at_{};
    base::time_point scanned_at_{};
    bool jobs_known_ = false;
    bool place_again_ = false;
    /// Jobs that arrived since the last look for places.
    std::vector<std::string> arrived_;
    /// `freed_count` of the allocation, and the time, at the last look through the whole queue.
    std::uint64_t looked_at_freed_ = 0;
    base::time_point looked_at_{};
    std::uint64_t next_sequence_ = 1;
    std::uint64_t next_round_ = 1;
    scheduler_counters counters_;
    base::time_point now_{};
    actions out_;
};

} // namespace poplarstile::scheduling
