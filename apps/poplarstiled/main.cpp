#include "daemon.hpp"
#include "site_daemon.hpp"

#include "base/log.hpp"
#include "settings/site_settings.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

#include <cstdio>
#include <functional>
#include <string>
#include <utility>

ABSL_FLAG(std::string, settings, "", "path of the VM's settings, a JSON file");
ABSL_FLAG(bool, check, false, "check the settings, print every fault and exit");
ABSL_FLAG(std::string, log_level, "",
          "debug, info, warning or error; overrides the settings' log_level");

namespace
{

using poplarstile::base::milliseconds;

constexpr int exit_ok = 0;
constexpr int exit_failed = 1;
constexpr int exit_usage = 2;
constexpr milliseconds drain_poll{100};

int report(const poplarstile::settings::settings_faults& faults)
{
    for (const auto& fault : faults.errors) {
        std::fprintf(stderr, "%s\n", poplarstile::base::describe(fault).c_str());
    }
    return exit_usage;
}

/// Serves on a platform with a row store.
int run_site(const std::string& path, std::string_view text, bool check_only,
             const std::string& level)
{
    auto parsed = poplarstile::settings::parse_site_settings(text);
    if (!parsed.has_value()) {
        return report(parsed.error());
    }
    if (check_only) {
        std::printf("%s: no fault found\n", path.c_str());
        return exit_ok;
    }
    auto settings = std::move(parsed).value();
    if (!level.empty()) {
        settings.log_level = level;
    }
    auto daemon = poplarstile::daemon::site_daemon::start(std::move(settings), path);
    if (!daemon.has_value()) {
        std::fprintf(stderr, "%s\n", poplarstile::base::describe(daemon.error()).c_str());
        return exit_failed;
    }
    daemon.value()->run();
    return exit_ok;
}

/// Runs until a signal or a drain request has led the VM out. A second signal cuts the wait short.
void run_until_left(poplarstile::daemon::vm_daemon& daemon)
{
    asio::io_context context;
    asio::signal_set signals{context, SIGTERM, SIGINT};
    asio::steady_timer timer{context};
    std::function<void()> wait_for_signal = [&] {
        signals.async_wait([&](const std::error_code& failure, int /*number*/) {
            if (failure) {
                return;
            }
            if (daemon.leaving()) {
                context.stop();
                return;
            }
            daemon.leave();
            wait_for_signal();
        });
    };
    std::function<void()> poll_drained = [&] {
        timer.expires_after(drain_poll);
        timer.async_wait([&](const std::error_code& failure) {
            if (failure || daemon.drained()) {
                context.stop();
                return;
            }
            poll_drained();
        });
    };
    wait_for_signal();
    poll_drained();
    context.run();
}

} // namespace

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage(
        "the entry VM's daemon of poplarstile.\n\n"
        "  poplarstiled --settings FILE            run until SIGTERM, then leave gracefully\n"
        "  poplarstiled --check --settings FILE    check the settings only\n\n"
        "Exit codes: 0 left gracefully or settings fine, 1 could not start, 2 wrong usage or "
        "settings.");
    const auto rest = absl::ParseCommandLine(argc, argv);
    const auto path = absl::GetFlag(FLAGS_settings);
    if (path.empty() || rest.size() > 1) {
        std::fprintf(stderr, "%s\n",
                     poplarstile::base::describe({poplarstile::base::error_code::flag_invalid,
                                                  "--settings", "name one settings file", ""})
                         .c_str());
        return exit_usage;
    }
    auto text = poplarstile::settings::read_settings_file(path);
    if (!text.has_value()) {
        return report(text.error());
    }
    if (poplarstile::settings::is_site_settings(text.value())) {
        return run_site(path, text.value(), absl::GetFlag(FLAGS_check),
                        absl::GetFlag(FLAGS_log_level));
    }
    auto loaded = poplarstile::settings::parse_settings(text.value());
    if (!loaded.has_value()) {
        return report(loaded.error());
    }
    if (absl::GetFlag(FLAGS_check)) {
        std::printf("%s: no fault found\n", path.c_str());
        return exit_ok;
    }
    auto settings = std::move(loaded).value();
    const auto level_flag = absl::GetFlag(FLAGS_log_level);
    const auto& level = level_flag.empty() ? settings.log_level : level_flag;
    poplarstile::base::start_log(poplarstile::base::log_level_named(level), settings.vm.id);
    auto daemon = poplarstile::daemon::vm_daemon::start(std::move(settings));
    if (!daemon.has_value()) {
        std::fprintf(stderr, "%s\n", poplarstile::base::describe(daemon.error()).c_str());
        return exit_failed;
    }
    run_until_left(*daemon.value());
    return exit_ok;
}
