#pragma once

#include "dispatch/messages.hpp"
#include "dispatch/request_queue.hpp"
#include "limits/retry_budget.hpp"
#include "limits/token_bucket.hpp"
#include "routing/worker_pool.hpp"

#include <cstddef>
#include <memory>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace poplarstile::dispatch
{

struct dispatcher_options {
    std::string vm{};
    /// Distinguishes the attempts of this run of the VM from those of earlier ones.
    std::string run_id{};
    std::size_t max_queued_requests = 2'000;
    base::milliseconds default_deadline{10'000};
    base::milliseconds max_deadline{120'000};
    double retry_budget_share = 0.1;
    routing::pool_options pool{};
    std::uint64_t seed = 1;
};

struct dispatcher_counters {
    std::size_t queued = 0;
    std::size_t in_flight = 0;
    std::uint64_t late_answers = 0;
    std::uint64_t retries = 0;
    std::uint64_t hedges = 0;
    std::uint64_t dropped_late = 0;
    /// Ends of ledger rows that the table has not confirmed, and those given up.
    std::size_t unconfirmed_records = 0;
    std::uint64_t abandoned_records = 0;
};

/// Takes short requests to workers and answers each exactly once.
///
/// Idempotent requests are retried on other workers within a retry budget. Others pass through the
/// ledger: a row is written before the first byte leaves, and a lost attempt is fenced or asked
/// after at its worker, so that they run at most once and `not_run` is said only when it is true.
/// Pure: time comes with each event, effects leave as actions.
class dispatcher
{
public:
    dispatcher(const dispatcher_options& options,
               std::span<const routing::worker_description> workers);

    /// Takes one event and returns what has to be done.
    [[nodiscard]] actions decide(event happened, base::time_point now);

    [[nodiscard]] dispatcher_counters counters() const;
    [[nodiscard]] const routing::worker_pool& workers() const
    {
        return pool_;
    }

private:
    enum class stage {
        queued,
        /// The ledger row is being written before an attempt.
        reserving,
        executing,
        /// The fate of an attempt is being found out at its worker.
        resolving,
        /// Waits before asking the worker again.
        waiting_to_resolve,
    };

    struct attempt_state {
        std::string id{};
        routing::worker_index worker = 0;
        base::time_point started{};
        /// When its worker is next asked about it.
        base::time_point next_query{};
    };

    struct pending_request {
        incoming_request request{};
        rules::class_rule kind{};
        base::time_point deadline{};
        stage where = stage::queued;
        std::uint32_t rank = 0;
        std::vector<attempt_state> attempts{};
        std::vector<routing::worker_index> tried{};
        bool hedged = false;
        /// Attempts that may have run: sent, and neither refused nor fenced by their worker.
        std::size_t uncertain_attempts = 0;
        // The ledger's side, for work that is not idempotent.
        std::string ledger_key{};
        table::row_version ledger_version = 0;
        ledger::ledger_entry entry{};
        routing::worker_index reserved_worker = 0;
        /// True while the row is another request's and only its fate is wanted.
        bool asks_for_other = false;
        /// True once the key was seen to have another request's row, so that the work may have run.
        bool key_taken = false;
        /// True once a write of this attempt's row got no answer, so that a later conflict may be
        /// its own.
        bool write_in_doubt = false;
        /// Since when the worker has not seen the attempt.
        std::optional<base::time_point> unseen_since{};
        base::time_point next_query{};
    };

    // One function for each happened.
    void handle(request_received& happened);
    void handle(attempt_reported& happened);
    void handle(ledger_written& happened);
    void handle(ledger_read& happened);
    void handle(time_passed& happened);
    void handle(rules_changed& happened);
    void handle(sharing_vms_changed& happened);

    // Admission.
    [[nodiscard]] std::optional<caller_answer> refusal(const incoming_request& request,
                                                       const rules::class_rule* kind);
    [[nodiscard]] bool within_rate(std::string_view workspace, base::milliseconds& wait);
    [[nodiscard]] bool can_be_in_time(const pending_request& pending) const;
    [[nodiscard]] std::uint32_t rank_of(const rules::class_rule& kind);

    // Idempotent work.
    void pump();
    [[nodiscard]] bool start(pending_request& pending);
    void release_reserved(pending_request& pending);
    void start_attempt(pending_request& pending, routing::worker_index worker);
    void finish_attempt(pending_request& pending, const workers::execute_answer& answer,
                        const attempt_state& attempt);
    void retry_or_answer(pending_request& pending, const workers::execute_answer& answer,
                         const std::string& worker);
    void hedge_slow_requests();
    void ask_after_silent_attempts();
    void handle_word_on_attempt(pending_request& pending, const attempt_state& attempt,
                                const workers::execute_answer& answer);

    // Work that is not idempotent.
    void reserve(pending_request& pending, routing::worker_index worker);
    void write_entry(pending_request& pending);
    void settle(pending_request& pending, const workers::execute_answer& answer);
    void finish_fenced(pending_request& pending);
    void record_fenced(pending_request& pending);
    void give_up_unsent(pending_request& pending);
    void send_reserved(pending_request& pending);
    void answer_repeat(pending_request& pending, const ledger::ledger_entry& settled);
    void handle_entry(pending_request& pending, const table::table_row& row);
    void resolve(pending_request& pending, bool fence);
    void handle_resolution(pending_request& pending, const workers::execute_answer& answer);
    void wait_to_resolve(pending_request& pending);
    void send_due_queries();

    // Writes that record an end, retried behind the caller's back.
    void record_end(const pending_request& pending, ledger::ledger_entry entry);
    void finish_record(request_number number, const table::commit_result& result);
    void send_due_records();

    // The table's health.
    void note_table(bool answers);
    [[nodiscard]] bool table_trusted() const;

    // Ends.
    void expire_overdue();
    void answer(pending_request& pending, outcome result, std::optional<base::error> failure = {},
                std::string worker = {}, std::string body = {},
                base::milliseconds retry_after = base::milliseconds{0});
    void answer_not_run(pending_request& pending, base::error_code code, std::string detail);
    [[nodiscard]] pending_request* find(request_number number);
    [[nodiscard]] std::string next_id(char kind);
    [[nodiscard]] base::milliseconds time_left(const pending_request& pending) const;
    [[nodiscard]] routing::attempt_verdict silence_verdict(const attempt_state& attempt) const;
    void note(std::string kind, const pending_request& pending, std::string detail);

    /// A row's last state that the table has not confirmed yet.
    struct unconfirmed_record {
        table::table_transaction transaction{};
        std::uint32_t tries = 0;
        base::time_point next_try{};
        bool in_flight = true;
    };

    dispatcher_options options_;
    routing::worker_pool pool_;
    limits::retry_budget retries_;
    std::shared_ptr<const rules::ruleset> rules_ = std::make_shared<rules::ruleset>();
    std::unordered_map<std::string, limits::token_bucket> rates_;
    std::size_t sharing_vms_ = 1;
    std::unordered_map<request_number, pending_request> pending_;
    request_queue queue_;
    std::unordered_map<request_number, unconfirmed_record> records_;
    /// Rank of each class under the rules in force.
    std::unordered_map<std::string, std::uint32_t> ranks_;
    /// Calls to the table in a row that got no answer.
    std::uint32_t table_failures_ = 0;
    std::size_t reserving_ = 0;
    dispatcher_counters counters_;
    /// Mean service time of recent requests, for estimates of waiting.
    double mean_service_ms_ = 5.0;
    std::uint64_t next_number_ = 1;
    base::time_point now_{};
    actions out_;
};

} // namespace poplarstile::dispatch
