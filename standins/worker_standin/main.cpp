#include "base/log.hpp"
#include "standins/common/process.hpp"
#include "standins/worker_standin/worker_host.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <cstdlib>
#include <string>

ABSL_FLAG(std::string, config, "", "file with the workers as JSON; see docs/STANDINS.md");
ABSL_FLAG(std::string, log_level, "info", "debug, info, warning or error");

namespace
{

using namespace poplarstile;
namespace stand = poplarstile::standins::worker_standin;

base::result<std::unique_ptr<stand::worker_host>> start_host(const std::string& path)
{
    BOOST_OUTCOME_TRY(text, standins::read_settings_file(path));
    BOOST_OUTCOME_TRY(config, stand::parse_host_config(text));
    return stand::worker_host::start(config);
}

} // namespace

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("Stands in for many workers, each on its own port.");
    absl::ParseCommandLine(argc, argv);
    base::start_log(base::log_level_named(absl::GetFlag(FLAGS_log_level)), "worker_standin");
    const base::logger log{"main"};
    standins::block_termination_signals();
    auto host = start_host(absl::GetFlag(FLAGS_config));
    if (!host) {
        log.error("{}", base::describe(host.error()));
        return EXIT_FAILURE;
    }
    log.info("serving {} workers, control port {}", host.value()->worker_ports().size(),
             host.value()->control_port());
    standins::wait_for_termination();
    host.value().reset();
    log.info("stopped");
    return EXIT_SUCCESS;
}
