#include "bench/scheduling/measures.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>

namespace poplarstile::bench::scheduling
{
namespace
{

using poplarstile::scheduling::job_state;

/// The value at the nearest rank; 0 when there is none.
template <class Value>
double percentile(std::vector<Value>& values, double share)
{
    if (values.empty()) {
        return 0;
    }
    const auto rank = std::ceil(share * static_cast<double>(values.size()));
    const auto index = static_cast<std::size_t>(std::max(rank, 1.0)) - 1;
    const auto at = values.begin() + static_cast<std::ptrdiff_t>(index);
    std::nth_element(values.begin(), at, values.end());
    return static_cast<double>(*at);
}

double seconds(base::milliseconds time)
{
    return std::chrono::duration<double>(time).count();
}

class_times times_of(std::string name, std::vector<double> values)
{
    class_times times{.class_name = std::move(name), .jobs = values.size()};
    const auto sum = std::accumulate(values.begin(), values.end(), 0.0);
    times.mean_s = values.empty() ? 0 : sum / static_cast<double>(values.size());
    times.p95_s = percentile(values, 0.95);
    times.p99_s = percentile(values, 0.99);
    return times;
}

bool counts(const planned_job& job, const job_times& times)
{
    return !job.cancelled_at && !job.kills_workers &&
           (!times.ended || times.state == job_state::completed);
}

void measure_jobs(const scenario& drawn, const run_record& record, run_measures& measures)
{
    std::vector<double> all;
    std::map<std::string, std::vector<double>> by_class;
    std::vector<double> largest_waits;
    std::vector<double> urgent_starts;
    const auto largest = drawn.guaranteed_shape().total();
    for (std::size_t index = 0; index < drawn.jobs.size(); ++index) {
        const auto& job = drawn.jobs[index];
        const auto& times = record.jobs[index];
        measures.completed += times.state == job_state::completed ? 1 : 0;
        measures.failed += times.state == job_state::failed ? 1 : 0;
        measures.unfinished += times.ended ? 0 : 1;
        if (!counts(job, times)) {
            continue;
        }
        const double completion = seconds(times.ended.value_or(drawn.ends) - job.arrives);
        const double wait = seconds(times.started.value_or(drawn.ends) - job.arrives);
        all.push_back(completion);
        by_class[job.spec.class_name].push_back(completion);
        if (job.spec.shape.total() == largest) {
            largest_waits.push_back(wait);
        }
        if (job.urgent) {
            urgent_starts.push_back(wait);
        }
    }
    measures.all = times_of("all", std::move(all));
    for (auto& [name, values] : by_class) {
        measures.classes.push_back(times_of(name, std::move(values)));
    }
    measures.largest_wait_p99_s = percentile(largest_waits, 0.99);
    measures.urgent_start_p99_s = percentile(urgent_starts, 0.99);
    measures.urgent_start_max_s = percentile(urgent_starts, 1.0);
}

} // namespace

run_measures measure(const scenario& drawn, const run_record& record)
{
    run_measures measures{.scenario = drawn.name, .load = drawn.load, .policy = record.policy};
    measure_jobs(drawn, record, measures);
    std::uint64_t free = 0;
    std::uint64_t stranded = 0;
    for (const auto& sample : record.samples) {
        if (sample.at < drawn.arrivals_end) {
            free += sample.free;
            stranded += sample.stranded;
        }
        measures.guarantee_violations += sample.guarantees_short > 0 ? 1 : 0;
    }
    measures.fragmentation =
        free == 0 ? 0 : static_cast<double>(stranded) / static_cast<double>(free);
    measures.reclaimed_gangs = record.reclaimed_gangs;
    measures.lost_accelerator_s = static_cast<double>(record.lost_accelerator_ms) / 1'000;
    auto costs = record.decision_us;
    measures.decision_p50_us = percentile(costs, 0.5);
    measures.decision_p99_us = percentile(costs, 0.99);
    measures.decision_max_us = percentile(costs, 1.0);
    return measures;
}

nlohmann::json to_json(const run_measures& measures)
{
    auto classes = nlohmann::json::array();
    for (const auto& times : measures.classes) {
        classes.push_back({{"class", times.class_name},
                           {"jobs", times.jobs},
                           {"mean_s", times.mean_s},
                           {"p95_s", times.p95_s},
                           {"p99_s", times.p99_s}});
    }
    return {{"scenario", measures.scenario},
            {"load", measures.load},
            {"policy", measures.policy},
            {"completed", measures.completed},
            {"failed", measures.failed},
            {"unfinished", measures.unfinished},
            {"mean_s", measures.all.mean_s},
            {"p95_s", measures.all.p95_s},
            {"p99_s", measures.all.p99_s},
            {"classes", std::move(classes)},
            {"fragmentation", measures.fragmentation},
            {"largest_wait_p99_s", measures.largest_wait_p99_s},
            {"urgent_start_p99_s", measures.urgent_start_p99_s},
            {"urgent_start_max_s", measures.urgent_start_max_s},
            {"guarantee_violations", measures.guarantee_violations},
            {"reclaimed_gangs", measures.reclaimed_gangs},
            {"lost_accelerator_s", measures.lost_accelerator_s},
            {"decision_p50_us", measures.decision_p50_us},
            {"decision_p99_us", measures.decision_p99_us},
            {"decision_max_us", measures.decision_max_us}};
}

std::string to_table(const std::vector<run_measures>& rows)
{
    auto table = fmt::format("{:<20} {:>4} {:<16} {:>6} {:>5} {:>6} {:>7} {:>7} {:>7} {:>5} {:>7} "
                             "{:>7} {:>5} {:>7} {:>8} {:>7}\n",
                             "scenario", "load", "policy", "done", "fail", "open", "mean", "p95",
                             "p99", "frag", "lrg99", "urg99", "viol", "lost", "dec99us", "maxus");
    for (const auto& row : rows) {
        table += fmt::format("{:<20} {:>4.2f} {:<16} {:>6} {:>5} {:>6} {:>7.1f} {:>7.1f} {:>7.1f} "
                             "{:>5.2f} {:>7.1f} {:>7.2f} {:>5} {:>7.0f} {:>8.0f} {:>7.0f}\n",
                             row.scenario, row.load, row.policy, row.completed, row.failed,
                             row.unfinished, row.all.mean_s, row.all.p95_s, row.all.p99_s,
                             row.fragmentation, row.largest_wait_p99_s, row.urgent_start_p99_s,
                             row.guarantee_violations, row.lost_accelerator_s, row.decision_p99_us,
                             row.decision_max_us);
    }
    return table;
}

} // namespace poplarstile::bench::scheduling
