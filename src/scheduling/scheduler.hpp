#pragma once

#include "scheduling/gang.hpp"
#include "scheduling/messages.hpp"
#include "scheduling/placement.hpp"

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
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
};

/// What is shown of a job that this scheduler knows.
struct job_view {
    job_spec spec{};
    job_state state = job_state::queued;
    std::string detail{};
    std::int64_t started_us = 0;
};

struct scheduler_counters {
    std::size_t queued = 0;
    std::size_t starting = 0;
    std::size_t running = 0;
    std::uint64_t placements = 0;
    std::uint64_t requeued = 0;
};

struct worker_view {
    std::string id{};
    std::string state{};
    std::uint32_t free_accelerators = 0;
};

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
    [[nodiscard]] std::vector<worker_capacity> free_capacity() const;

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
        base::time_point asked_at{};
        base::time_point heard_at{};
        /// When the last renewal that may have reached the worker was sent.
        base::time_point renewed_at{};
        std::vector<bool> broken{};
        /// Task that occupies each accelerator; empty when free.
        std::vector<std::string> occupant{};
        std::vector<workers::task_report> last_report{};
    };

    struct job_record {
        stored_job stored{};
        job_state state = job_state::queued;
        std::string detail{};
        std::optional<gang> attempt{};
        std::uint32_t attempts = 0;
        std::vector<std::string> failed_on{};
        std::uint64_t sequence = 0;
        std::int64_t started_us = 0;
        base::time_point queued_since{};
        /// Operation of the table write under way; empty when none is.
        std::string writing{};
        bool final_write = false;
        base::time_point write_again_at{};
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
    void note_silence(worker_state& worker);
    void take_report(worker_state& worker, const workers::lease_report& report);
    void stop_orphan(const worker_state& worker, const workers::task_report& task);
    [[nodiscard]] worker_state* find_worker(std::string_view id);
    [[nodiscard]] std::size_t index_of(const worker_state& worker) const;

    // Rebuilding.
    void finish_rebuilding_if_ready();
    void rebuild_job(job_record& job);

    // Jobs.
    void add_job(stored_job job);
    void place_queued();
    [[nodiscard]] bool try_place(job_record& job);
    void drive(job_record& job);
    void release_members(job_record& job);
    void stop_members(const job_record& job);
    void finish_attempt(job_record& job);
    void requeue(job_record& job, std::string detail);
    void finish_job(job_record& job, job_state state, std::string detail);
    void write_final(job_record& job);
    void write_released(job_record& job);
    void free_accelerators(const job_record& job);
    void forget_tasks(const job_record& job);
    [[nodiscard]] bool can_ever_fit(const rules::shape& shape) const;
    [[nodiscard]] std::vector<std::string> placement_order() const;
    [[nodiscard]] std::string next_operation();
    void note(std::string kind, const job_record& job, std::string detail);

    scheduler_options options_;
    std::vector<worker_state> workers_;
    std::map<std::string, job_record, std::less<>> jobs_;
    /// Job of each task of a current attempt.
    std::unordered_map<std::string, std::string> task_jobs_;
    std::shared_ptr<const rules::ruleset> rules_ = std::make_shared<rules::ruleset>();
    phase phase_ = phase::inactive;
    workers::fencing_token token_ = 0;
    std::string lease_key_;
    platform::row_version lease_version_ = 0;
    base::time_point lease_gained_at_{};
    base::time_point scanned_at_{};
    bool jobs_known_ = false;
    bool place_again_ = false;
    std::uint64_t next_sequence_ = 1;
    scheduler_counters counters_;
    base::time_point now_{};
    actions out_;
};

} // namespace poplarstile::scheduling
