#include "base/log.hpp"
#include "net/http_server.hpp"
#include "standins/common/process.hpp"
#include "standins/platform_standin/platform_service.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <cstdint>
#include <cstdlib>
#include <string>

ABSL_FLAG(std::string, address, "127.0.0.1", "IP number to listen on");
ABSL_FLAG(std::uint16_t, port, 9000, "port to listen on");
ABSL_FLAG(double, transact_rate, 400, "transactions and object writes a second");
ABSL_FLAG(double, read_rate, 2000, "reads a second");
ABSL_FLAG(std::int64_t, vm_list_lag_ms, 2000, "how far the served VM list lags behind the truth");
ABSL_FLAG(std::string, log_level, "info", "debug, info, warning or error");

namespace
{

using namespace poplarstile;
namespace stand = poplarstile::standins::platform_standin;

constexpr std::size_t max_connections = 8'192;
constexpr std::size_t max_body_bytes = std::size_t{64} * 1024 * 1024;
constexpr base::milliseconds handle_timeout{30'000};
constexpr base::milliseconds idle_timeout{60'000};

} // namespace

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("Stands in for the platform: table, object store, list of VMs.");
    absl::ParseCommandLine(argc, argv);
    base::start_log(base::log_level_named(absl::GetFlag(FLAGS_log_level)), "platform_standin");
    const base::logger log{"main"};
    standins::block_termination_signals();
    stand::platform_service service{
        {.transact_rate = absl::GetFlag(FLAGS_transact_rate),
         .read_rate = absl::GetFlag(FLAGS_read_rate),
         .vm_list_lag = base::milliseconds{absl::GetFlag(FLAGS_vm_list_lag_ms)}}};
    auto server = net::http_server::start(
        {.address = absl::GetFlag(FLAGS_address),
         .port = absl::GetFlag(FLAGS_port),
         .threads = 2,
         .max_connections = max_connections,
         .max_body_bytes = max_body_bytes,
         .read_timeout = idle_timeout,
         .handle_timeout = handle_timeout},
        [&service](const net::http_request& request, const net::http_responder& responder) {
            service.handle(request, responder);
        });
    if (!server) {
        log.error("{}", base::describe(server.error()));
        return EXIT_FAILURE;
    }
    log.info("serving on {}:{}", absl::GetFlag(FLAGS_address), server.value()->port());
    standins::wait_for_termination();
    service.stop();
    log.info("stopped");
    return EXIT_SUCCESS;
}
