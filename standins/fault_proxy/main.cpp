#include "base/log.hpp"
#include "standins/common/process.hpp"
#include "standins/fault_proxy/proxy_control.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <cstdint>
#include <cstdlib>
#include <string>

ABSL_FLAG(std::string, address, "127.0.0.1", "IP number to listen on");
ABSL_FLAG(std::uint16_t, control_port, 9100, "port of the control interface");
ABSL_FLAG(std::string, config, "", "file with sources, forwards and targets as JSON");
ABSL_FLAG(std::string, log_level, "info", "debug, info, warning or error");

namespace
{

using namespace poplarstile;
namespace stand = poplarstile::standins::fault_proxy;

base::result<std::unique_ptr<stand::proxy>> start_proxy()
{
    BOOST_OUTCOME_TRY(text, standins::read_settings_file(absl::GetFlag(FLAGS_config)));
    BOOST_OUTCOME_TRY(config, stand::parse_proxy_config(text));
    return stand::proxy::start(absl::GetFlag(FLAGS_address), config);
}

} // namespace

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("A TCP proxy whose links can be made to fail.");
    absl::ParseCommandLine(argc, argv);
    base::start_log(base::log_level_named(absl::GetFlag(FLAGS_log_level)), "fault_proxy");
    const base::logger log{"main"};
    standins::block_termination_signals();
    auto started = start_proxy();
    if (!started) {
        log.error("{}", base::describe(started.error()));
        return EXIT_FAILURE;
    }
    auto& controlled = *started.value();
    auto server = net::http_server::start(
        {.address = absl::GetFlag(FLAGS_address), .port = absl::GetFlag(FLAGS_control_port)},
        [&controlled](const net::http_request& request, const net::http_responder& responder) {
            stand::handle_control(controlled, request, responder);
        });
    if (!server) {
        log.error("{}", base::describe(server.error()));
        return EXIT_FAILURE;
    }
    log.info("control port {}", server.value()->port());
    standins::wait_for_termination();
    // Answers of the proxy's thread refer to connections of the control server.
    started.value().reset();
    log.info("stopped");
    return EXIT_SUCCESS;
}
