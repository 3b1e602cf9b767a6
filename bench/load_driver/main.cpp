// Drives a deployment's workload through its entry VMs and judges what the run left behind.
#include "base/log.hpp"
#include "bench/checker/promises.hpp"
#include "bench/checker/records.hpp"
#include "bench/load_driver/deployment.hpp"
#include "bench/load_driver/drive.hpp"
#include "bench/load_driver/plan.hpp"
#include "bench/load_driver/report.hpp"
#include "bench/load_driver/workload.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <fmt/format.h>

#include <cstdio>
#include <filesystem>
#include <fstream>

ABSL_FLAG(std::string, deployment, "", "folder with settings/, workers/, rules.txt, workload.json");
ABSL_FLAG(std::string, workload, "", "workload file; workload.json of the deployment when empty");
ABSL_FLAG(std::uint32_t, seconds, 30, "length of the run in seconds");
ABSL_FLAG(std::uint32_t, settle_seconds, 8, "longest wait for open requests and jobs afterwards");
ABSL_FLAG(std::uint64_t, seed, 20261204, "seed of every random choice");
ABSL_FLAG(std::string, faults, "", "JSON lines of injected faults, read after the run");
ABSL_FLAG(std::string, summary, "", "file for the JSON summary");
ABSL_FLAG(std::uint32_t, lease_ms, 3000, "lease time of workers: longest time for a partial gang");
ABSL_FLAG(std::string, extra_rule, "", "rule, with its comment, applied at 40% of the run");
ABSL_FLAG(std::string, log, "warning", "least level written to the log");

namespace poplarstile::bench::load_driver
{
namespace
{

constexpr int exit_kept = 0;
constexpr int exit_broken = 1;
constexpr int exit_unusable = 2;
constexpr int rule_at_percent = 40;
constexpr base::milliseconds records_timeout{5'000};

base::result<std::string> fetch(net::http_client& client, const std::string& address,
                                std::string_view path)
{
    constexpr std::size_t max_records_bytes = 256UL * 1024 * 1024;
    const auto reply = client.send_and_wait({.url = fmt::format("http://{}{}", address, path),
                                             .timeout = records_timeout,
                                             .max_response_bytes = max_records_bytes});
    if (!reply.ok()) {
        return base::error{base::error_code::worker_unreachable, address + std::string{path},
                           fmt::format("status {} {}", reply.status, reply.failure)};
    }
    return reply.body;
}

base::result<void> add_all_records(const deployment& target, checker::history& seen)
{
    BOOST_OUTCOME_TRY(client, net::http_client::start({}));
    for (const auto& address : target.control_addresses) {
        BOOST_OUTCOME_TRY(records, fetch(*client, address, "/records"));
        BOOST_OUTCOME_TRY(checker::add_records(records, seen));
    }
    BOOST_OUTCOME_TRY(counts, fetch(*client, target.platform_address, "/control/counters"));
    return checker::add_platform_counts(counts, seen);
}

base::result<void> add_all_faults(checker::history& seen)
{
    const auto path = absl::GetFlag(FLAGS_faults);
    if (path.empty() || !std::filesystem::exists(path)) {
        return base::success();
    }
    BOOST_OUTCOME_TRY(text, read_file(path));
    return checker::add_faults(text, seen);
}

void show_progress(const drive_progress& now)
{
    fmt::print("{:>4} s  sent {:>6}  completed {:>6}  in flight {:>4}  jobs open {:>4} "
               "ended {:>4}  VMs ready {}\n",
               now.elapsed.count() / 1'000, now.sent, now.completed, now.in_flight, now.jobs_open,
               now.jobs_ended, now.vms_ready);
    std::fflush(stdout);
}

base::result<int> run()
{
    const auto folder = absl::GetFlag(FLAGS_deployment);
    const auto named = absl::GetFlag(FLAGS_workload);
    BOOST_OUTCOME_TRY(target, load_deployment(folder));
    BOOST_OUTCOME_TRY(text, read_file(named.empty() ? folder + "/workload.json" : named));
    BOOST_OUTCOME_TRY(work, parse_workload(text));
    const base::milliseconds length = std::chrono::seconds{absl::GetFlag(FLAGS_seconds)};
    const auto plan = plan_calls(work, {.length = length,
                                        .seed = absl::GetFlag(FLAGS_seed),
                                        .run_name = fmt::format("r{}", base::wall_clock_us())});
    const drive_options options{.length = length,
                                .settle = std::chrono::seconds{absl::GetFlag(FLAGS_settle_seconds)},
                                .observer = {.rule_after = length * rule_at_percent / 100,
                                             .rule = absl::GetFlag(FLAGS_extra_rule)}};
    BOOST_OUTCOME_TRY(seen, drive(target, plan, options, show_progress));
    BOOST_OUTCOME_TRY(add_all_records(target, seen));
    BOOST_OUTCOME_TRY(add_all_faults(seen));
    const auto found = checker::check(
        seen, {.partial_gang = checker::wall_us{absl::GetFlag(FLAGS_lease_ms)} * 1'000});
    const auto report = report_of(seen, target, found);
    fmt::print("{}", report.readable);
    if (const auto path = absl::GetFlag(FLAGS_summary); !path.empty()) {
        std::ofstream{path} << report.summary_json;
    }
    return found.empty() ? exit_kept : exit_broken;
}

} // namespace
} // namespace poplarstile::bench::load_driver

int main(int argc, char** argv)
{
    using namespace poplarstile;
    absl::SetProgramUsageMessage(
        "drives a deployment's workload and checks what the system promises.\n"
        "Exit codes: 0 every promise was kept, 1 a promise was broken, 2 the run was not "
        "possible.");
    absl::ParseCommandLine(argc, argv);
    base::start_log(base::log_level_named(absl::GetFlag(FLAGS_log)), "load_driver");
    const auto ended = bench::load_driver::run();
    if (!ended) {
        fmt::print(stderr, "load_driver: {}\n", base::describe(ended.error()));
        return bench::load_driver::exit_unusable;
    }
    return ended.value();
}
