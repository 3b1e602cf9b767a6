#include "site_metrics.hpp"

#include "base/event_line.hpp"
#include "drain_metrics.hpp"
#include "metrics.hpp"

#include <array>

namespace poplarstile::daemon
{
namespace
{

constexpr double milliseconds_per_second = 1'000.0;

std::string_view name_of(frontend::call_kind kind)
{
    static constexpr std::array<std::string_view, 3> names{"submit", "show", "cancel"};
    return names.at(static_cast<std::size_t>(kind));
}

std::string_view outcome_of(const frontend::caller_answer& answer)
{
    static constexpr std::array<std::string_view, 11> names{
        "accepted",    "cancel_accepted", "shown",         "queue_shown",
        "refused",     "unsettled",       "no_such_queue", "no_such_job",
        "key_unknown", "key_not_allowed", "malformed"};
    return names.at(answer.index());
}

} // namespace

struct site_metrics::implementation {
    implementation(std::string_view vm_name, std::string_view vm_domain)
        : own{vm_name, vm_domain}, vm{vm_name}, failure_domain{vm_domain}
    {
    }

    void count(std::string_view name, std::uint64_t value)
    {
        own.set_counter(name, static_cast<double>(value));
    }

    void waiting(std::string_view cause, std::size_t units)
    {
        own.set_gauge_of_cause(cause, "poplarstile_waiting_units", static_cast<double>(units));
    }

    void leader(const control::leader& leading)
    {
        const auto counted = leading.counters();
        count("poplarstile_starts_total", counted.starts);
        count("poplarstile_stops_total", counted.stops);
        count("poplarstile_looks_total", counted.polls);
        count("poplarstile_reclaims_total", counted.preemptions);
        count("poplarstile_lost_runs_total", counted.lost_runs);
        for (std::size_t index = 0; index < control::run_evidence_count; ++index) {
            own.set_counter_of_cause(control::name_of(static_cast<control::run_evidence>(index)),
                                     "poplarstile_given_up_runs_total",
                                     static_cast<double>(counted.lost_runs_by_evidence.at(index)));
        }
        for (std::size_t index = 0; index < control::loss_cause_count; ++index) {
            own.set_counter_of_cause(control::name_of(static_cast<control::loss_cause>(index)),
                                     "poplarstile_lost_core_seconds_total",
                                     counted.lost_core_seconds.at(index));
        }
        count("poplarstile_worker_crashes_total", counted.worker_crashes);
        count("poplarstile_crashed_runs_total", counted.crashed_runs);
        count("poplarstile_jobs_failed_by_crashes_total", counted.jobs_failed_by_crashes);
        count("poplarstile_plans_total", counted.plans);
        count("poplarstile_unusable_registrations_total", counted.unreadable_workers);
        count("poplarstile_unreadable_rows_total", counted.unreadable_rows);
        count("poplarstile_commits_total", counted.commits);
        count("poplarstile_commit_retries_total", counted.commit_retries);
        count("poplarstile_end_times_stored_anew_total", counted.end_times_stored_anew);
        count("poplarstile_expired_rows_removed_total", counted.expired_rows_removed);
        count("poplarstile_duplicate_rows_removed_total", counted.duplicate_rows_removed);
        own.set_gauge("poplarstile_ended_jobs", static_cast<double>(leading.stored_ends()));
        own.set_gauge("poplarstile_open_jobs", static_cast<double>(leading.open_jobs()));
        own.set_gauge("poplarstile_known_workers", static_cast<double>(leading.known_workers()));
        for (std::size_t index = 0; index < planning::waiting_cause_count; ++index) {
            waiting(planning::name_of(static_cast<planning::waiting_cause>(index)),
                    leading.waiting_by_cause().at(index));
        }
        waiting("not_examined", leading.waiting_unexamined());
        own.set_gauge("poplarstile_short_queues", static_cast<double>(leading.short_queues()));
        own.set_gauge("poplarstile_commit_backlog", static_cast<double>(counted.commit_backlog));
        if (const auto learned = leading.learned_run_times()) {
            run_times(*learned);
        }
    }

    void run_times(const control::run_time_summary& learned)
    {
        const auto& model = learned.model;
        count("poplarstile_run_time_samples_total", model.samples);
        count("poplarstile_run_time_samples_ignored_total", model.ignored);
        own.set_gauge("poplarstile_run_time_keys", static_cast<double>(model.keys));
        own.set_gauge_of_kind("p50", "poplarstile_estimate_error_factor", model.estimated.median);
        own.set_gauge_of_kind("p90", "poplarstile_estimate_error_factor", model.estimated.high);
        own.set_gauge_of_kind("p50", "poplarstile_learned_error_factor", model.predicted.median);
        own.set_gauge_of_kind("p90", "poplarstile_learned_error_factor", model.predicted.high);
        own.set_gauge("poplarstile_rated_workers", static_cast<double>(learned.rated_workers));
        own.set_gauge_of_kind("slowest", "poplarstile_worker_speed", learned.slowest_speed);
        own.set_gauge_of_kind("median", "poplarstile_worker_speed", learned.median_speed);
        own.set_gauge_of_kind("fastest", "poplarstile_worker_speed", learned.fastest_speed);
    }

    daemon_metrics own;
    std::string vm;
    std::string failure_domain;
};

site_metrics::site_metrics(std::string_view vm, std::string_view failure_domain)
    : impl_{std::make_unique<implementation>(vm, failure_domain)}
{
}

site_metrics::~site_metrics() = default;

void site_metrics::record_answer(frontend::call_kind kind, const frontend::caller_answer& answer,
                                 std::int64_t took_ms)
{
    impl_->own.record_answer(name_of(kind), outcome_of(answer),
                             static_cast<double>(took_ms) / milliseconds_per_second);
}

void site_metrics::record_span(control::leader_span span, base::milliseconds took)
{
    impl_->own.record_stage(control::name_of(span),
                            static_cast<double>(took.count()) / milliseconds_per_second);
}

void site_metrics::record_traffic(const net::traffic_account& account)
{
    auto& own = impl_->own;
    for (const auto& [purpose, counted] : account.by_purpose()) {
        own.set_counter_of(purpose, "poplarstile_calls_total", static_cast<double>(counted.calls));
        own.set_counter_of(purpose, "poplarstile_calls_resent_total",
                           static_cast<double>(counted.resent));
        own.set_counter_of(purpose, "poplarstile_sent_bytes_total",
                           static_cast<double>(counted.sent_bytes));
        own.set_counter_of(purpose, "poplarstile_received_bytes_total",
                           static_cast<double>(counted.received_bytes));
    }
}

void site_metrics::record_bounds(std::string_view port, const net::request_bounds_counters& counted)
{
    impl_->own.record_bounds(port, counted);
}

std::string site_metrics::text(const frontend::api_frontend& frontend,
                               const control::cluster_node& node, const store::store_link& link,
                               const catalog::configuration_cache& configuration,
                               base::time_point now)
{
    auto& made = *impl_;
    made.count("poplarstile_store_calls_total", link.counters().calls);
    made.count("poplarstile_store_refused_total", link.counters().refused);
    made.count("poplarstile_store_unanswered_total", link.counters().unanswered);
    made.count("poplarstile_store_relayed_total", link.counters().relayed);
    made.count("poplarstile_status_store_reads_total", frontend.counters().store_reads);
    made.count("poplarstile_cancels_before_job_total", frontend.counters().cancelled_before_job);
    made.count("poplarstile_hopeless_jobs_refused_total", frontend.counters().refused_hopeless);
    made.count("poplarstile_unreadable_leases_total", node.election().unreadable_leases());
    const auto left_out = base::event_lines_left_out();
    made.own.set_counter_of_kind("decisive", "poplarstile_log_lines_left_out_total",
                                 static_cast<double>(left_out.decisive));
    made.own.set_counter_of_kind("routine", "poplarstile_log_lines_left_out_total",
                                 static_cast<double>(left_out.routine));
    made.own.set_gauge("poplarstile_store_served", link.served() ? 1.0 : 0.0);
    made.own.set_gauge(
        "poplarstile_configuration_version",
        configuration.current() ? static_cast<double>(configuration.current()->version()) : 0.0);
    made.own.set_gauge("poplarstile_leading", node.local_leader() != nullptr ? 1.0 : 0.0);
    made.own.set_gauge("poplarstile_leader_epoch", static_cast<double>(node.election().epoch()));
    made.own.set_gauge("poplarstile_known_vms", static_cast<double>(node.known_vms()));
    if (node.local_leader() != nullptr) {
        made.leader(*node.local_leader());
    }
    return made.own.text() + drain_metrics_text({made.vm, made.failure_domain},
                                                configuration.drains(), node.local_leader(), now);
}

} // namespace poplarstile::daemon
