#include "bench/scheduling/measures.hpp"
#include "scheduling/scheduler.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/strings/str_split.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>

ABSL_FLAG(std::string, json, "", "file for the measures as JSON");
ABSL_FLAG(std::string, plots, "", "folder for the plots as SVG");
ABSL_FLAG(std::vector<std::string>, shapes, (std::vector<std::string>{"camara", "utility"}),
          "camara, utility and target");
ABSL_FLAG(std::vector<std::string>, loads, (std::vector<std::string>{"0.6", "0.9", "1.2"}),
          "arriving work as shares of the hardware");
ABSL_FLAG(std::vector<std::string>, with,
          (std::vector<std::string>{"steady", "small_burst", "large_burst", "cancel_wave",
                                    "rack_lost", "bad_workers"}),
          "disturbances");
ABSL_FLAG(std::vector<std::string>, policy,
          (std::vector<std::string>{"fcfs_strict", "fcfs_first_fit", "previous", "tree"}),
          "policies to compare in this run");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the workloads");
ABSL_FLAG(std::int64_t, seconds, 600, "virtual seconds during which jobs arrive");

namespace
{

namespace product = poplarstile::scheduling;
namespace bench_scheduling = poplarstile::bench::scheduling;

bench_scheduling::run_record run_policy(const std::string& policy, const bench_scheduling::scenario& drawn)
{
    if (policy == "fcfs_strict") {
        return bench_scheduling::run_baseline(drawn, bench_scheduling::baseline_kind::strict);
    }
    if (policy == "fcfs_first_fit") {
        return bench_scheduling::run_baseline(drawn, bench_scheduling::baseline_kind::first_fit);
    }
    product::scheduler_options options;
    auto record = bench_scheduling::run_scheduler(drawn, options);
    record.policy = policy;
    return record;
}

std::vector<bench_scheduling::scenario_request> requests()
{
    constexpr std::array all{bench_scheduling::disturbance::none,        bench_scheduling::disturbance::small_burst,
                             bench_scheduling::disturbance::large_burst, bench_scheduling::disturbance::cancel_wave,
                             bench_scheduling::disturbance::rack_lost,   bench_scheduling::disturbance::bad_workers};
    std::vector<bench_scheduling::scenario_request> wanted;
    for (const auto& shape : absl::GetFlag(FLAGS_shapes)) {
        for (const auto& name : absl::GetFlag(FLAGS_with)) {
            for (const auto& load : absl::GetFlag(FLAGS_loads)) {
                const auto* const with = std::ranges::find(all, name, bench_scheduling::to_string);
                if (with == all.end()) {
                    continue;
                }
                wanted.push_back({.shape = shape,
                                  .load = std::stod(load),
                                  .with = *with,
                                  .seed = absl::GetFlag(FLAGS_seed),
                                  .arrivals = std::chrono::seconds{absl::GetFlag(FLAGS_seconds)}});
            }
        }
    }
    return wanted;
}

void write_plot(const std::string& name, const std::string& title, const std::string& unit,
                const std::vector<bench_scheduling::run_measures>& rows,
                const std::function<double(const bench_scheduling::run_measures&)>& value)
{
    std::vector<std::string> labels;
    std::vector<bench_scheduling::plot_series> series;
    for (const auto& row : rows) {
        const auto label = fmt::format("{} {:.0f}%", row.scenario, row.load * 100);
        if (labels.empty() || labels.back() != label) {
            labels.push_back(label);
        }
        const auto found = std::ranges::find(series, row.policy, &bench_scheduling::plot_series::name);
        auto& one = found == series.end() ? series.emplace_back(bench_scheduling::plot_series{row.policy, {}})
                                          : *found;
        one.values.push_back(value(row));
    }
    std::ofstream file{std::filesystem::path{absl::GetFlag(FLAGS_plots)} / (name + ".svg")};
    file << bench_scheduling::bar_chart(title, unit, labels, series);
}

void write_plots(const std::vector<bench_scheduling::run_measures>& rows)
{
    std::filesystem::create_directories(absl::GetFlag(FLAGS_plots));
    using row = const bench_scheduling::run_measures&;
    write_plot("completion", "Mean completion time", "s", rows, [](row one) { return one.all.mean_s; });
    write_plot("fragmentation", "Free accelerators that can't serve the largest guaranteed shape",
               "share", rows, [](row one) { return one.fragmentation; });
    write_plot("largest_wait", "Wait of the largest gangs, p99", "s", rows,
               [](row one) { return one.largest_wait_p99_s; });
    write_plot("urgent_start", "Start of urgent jobs, p99", "s", rows,
               [](row one) { return one.urgent_start_p99_s; });
    write_plot("guarantee_violations", "Samples with a guarantee that could not be had", "samples",
               rows, [](row one) { return static_cast<double>(one.guarantee_violations); });
    write_plot("lost_work", "Work lost to reclaim", "accelerator s", rows,
               [](row one) { return one.lost_accelerator_s; });
    write_plot("decision_cost", "Cost of a decision, p99", "us", rows,
               [](row one) { return one.decision_p99_us; });
}

} // namespace

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("Measures the scheduler and a naive policy on one workload.");
    absl::ParseCommandLine(argc, argv);
    std::vector<bench_scheduling::run_measures> rows;
    for (const auto& request : requests()) {
        const auto drawn = bench_scheduling::make_scenario(request);
        for (const auto& policy : absl::GetFlag(FLAGS_policy)) {
            rows.push_back(bench_scheduling::measure(drawn, run_policy(policy, drawn)));
            std::cerr << fmt::format("{} {} {}\n", drawn.name, drawn.load, policy);
        }
    }
    std::cout << bench_scheduling::to_table(rows);
    if (const auto path = absl::GetFlag(FLAGS_json); !path.empty()) {
        auto document = nlohmann::json::array();
        for (const auto& row : rows) {
            document.push_back(to_json(row));
        }
        std::ofstream{path} << document.dump(2) << '\n';
    }
    if (!absl::GetFlag(FLAGS_plots).empty()) {
        write_plots(rows);
    }
    return 0;
}
