#include "standins/common/process.hpp"

#include <csignal>
#include <fstream>
#include <iterator>

namespace poplarstile::standins
{
namespace
{

sigset_t termination_signals()
{
    sigset_t signals{};
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

} // namespace

void block_termination_signals()
{
    const auto signals = termination_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void wait_for_termination()
{
    const auto signals = termination_signals();
    int received = 0;
    sigwait(&signals, &received);
}

base::result<json> read_settings_file(const std::string& path)
{
    std::ifstream file{path};
    if (!file) {
        return base::error{base::error_code::settings_unreadable, path, "cannot be opened", ""};
    }
    const std::string text{std::istreambuf_iterator<char>{file}, std::istreambuf_iterator<char>{}};
    auto parsed = parse_object(text);
    if (!parsed) {
        return base::error{base::error_code::settings_wrong_type, path, "is not a JSON object", ""};
    }
    return *std::move(parsed);
}

} // namespace poplarstile::standins
