#pragma once

#include "bench/scheduling/run_record.hpp"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

/// Measures of runs, as JSON, as a table and as plots.
namespace poplarstile::bench::scheduling
{

struct class_times {
    std::string class_name{};
    std::size_t jobs = 0;
    double mean_s = 0;
    double p95_s = 0;
    double p99_s = 0;
};

/// The measures of one run. Jobs that had not ended count with the time until the run's end.
struct run_measures {
    std::string scenario{};
    double load = 0;
    std::string policy{};
    std::size_t completed = 0;
    std::size_t failed = 0;
    std::size_t unfinished = 0;
    /// Completion time over all jobs that were neither cancelled nor refused nor failed.
    class_times all{};
    std::vector<class_times> classes{};
    /// Stranded accelerators as a share of the free ones, both summed while jobs arrived.
    double fragmentation = 0;
    double largest_wait_p99_s = 0;
    double urgent_start_p99_s = 0;
    double urgent_start_max_s = 0;
    /// Samples in which a guaranteed shape could not be had at once.
    std::size_t guarantee_violations = 0;
    std::uint64_t reclaimed_gangs = 0;
    double lost_accelerator_s = 0;
    double decision_p50_us = 0;
    double decision_p99_us = 0;
    double decision_max_us = 0;
};

[[nodiscard]] run_measures measure(const scenario& drawn, const run_record& record);
[[nodiscard]] nlohmann::json to_json(const run_measures& measures);
[[nodiscard]] std::string to_table(const std::vector<run_measures>& rows);

/// One named series of a plot.
struct plot_series {
    std::string name{};
    std::vector<double> values{};
};

/// A bar chart as an SVG document: a group for each label, a bar for each series.
[[nodiscard]] std::string bar_chart(const std::string& title, const std::string& unit,
                                    const std::vector<std::string>& labels,
                                    const std::vector<plot_series>& series);

} // namespace poplarstile::bench::scheduling
