#include "base/log.hpp"
#include "standins/common/process.hpp"
#include "standins/site_standin/site_host.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <cstdlib>
#include <string>
#include <thread>

ABSL_FLAG(std::string, config, "", "file with VMs, workers and configuration as JSON");
ABSL_FLAG(std::string, log_level, "info", "debug, info, warning or error");

namespace
{

using namespace poplarstile;
namespace stand = poplarstile::standins::site_standin;

base::result<std::unique_ptr<stand::site_host>> start_host(const std::string& path)
{
    BOOST_OUTCOME_TRY(text, standins::read_settings_file(path));
    BOOST_OUTCOME_TRY(config, stand::parse_site_config(text));
    return stand::site_host::start(config);
}

} // namespace

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("Stands in for a site: its row store and its workers.");
    absl::ParseCommandLine(argc, argv);
    base::start_log(base::log_level_named(absl::GetFlag(FLAGS_log_level)), "site_standin");
    const base::logger log{"main"};
    standins::block_termination_signals();
    auto host = start_host(absl::GetFlag(FLAGS_config));
    if (!host) {
        log.error("{}", base::describe(host.error()));
        return EXIT_FAILURE;
    }
    std::thread serving{[&host] { host.value()->run(); }};
    standins::wait_for_termination();
    host.value()->stop();
    serving.join();
    log.info("stopped");
    return EXIT_SUCCESS;
}
