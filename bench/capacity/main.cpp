// Measures how state, processor time and bytes of each part grow with their sizes.
#include "bench/capacity/measurement.hpp"
#include "bench/capacity/report.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iterator>

ABSL_FLAG(std::string, json, "", "file for the slopes as JSON");
ABSL_FLAG(std::string, report, "", "folder for a page with plots");
ABSL_FLAG(bool, quick, false, "small sizes, once each: shows that the program works, no figures");

namespace poplarstile::bench::capacity
{
namespace
{

constexpr int exit_done = 0;
constexpr int exit_not_written = 2;
constexpr effort quick_effort{.divisor = 16, .repeats = 1};

std::vector<slope> measure_all(const effort& how)
{
    std::vector<slope> all;
    for (auto* const part :
         {scheduler_slopes, rules_slopes, request_slopes, membership_slopes, wire_slopes}) {
        std::ranges::move(part(how), std::back_inserter(all));
    }
    return all;
}

int run()
{
    const auto slopes = measure_all(absl::GetFlag(FLAGS_quick) ? quick_effort : effort{});
    std::fputs(to_text(slopes).c_str(), stdout);
    if (const auto file = absl::GetFlag(FLAGS_json); !file.empty()) {
        std::ofstream out{file};
        out << to_json_text(slopes);
        if (!out.flush()) {
            fmt::print(stderr, "capacity: {} can't be written\n", file);
            return exit_not_written;
        }
    }
    if (const auto folder = absl::GetFlag(FLAGS_report); !folder.empty()) {
        if (const auto written = write_report(slopes, folder); !written.has_value()) {
            fmt::print(stderr, "capacity: {}\n", base::describe(written.error()));
            return exit_not_written;
        }
    }
    return exit_done;
}

} // namespace
} // namespace poplarstile::bench::capacity

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("measures slopes of state, processor time and bytes");
    absl::ParseCommandLine(argc, argv);
    return poplarstile::bench::capacity::run();
}
