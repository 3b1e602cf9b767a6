#pragma once

#include "base/result.hpp"
#include "base/time.hpp"
#include "batch/resources.hpp"
#include "standins/common/json_http.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// Stands in for a site of the users' platform: its row store and its workers, in one process.
namespace poplarstile::standins::site_standin
{

/// One VM's view of the site. Each has a store port of its own, so that the store can fail for it
/// alone and can name workers by addresses of its own.
struct vm_config {
    std::string name{};
    std::uint16_t store_port = 0;
    /// By worker, `IP:port`; a worker that isn't named is reached directly.
    std::map<std::string, std::string> worker_addresses{};
};

struct worker_config {
    std::string id{};
    std::uint16_t port = 0;
    std::string rack{};
    std::string failure_domain = "domain";
    batch::resources capacity{};
};

struct site_config {
    std::string address = "127.0.0.1";
    std::uint16_t control_port = 0;
    std::vector<vm_config> vms{};
    std::vector<worker_config> workers{};
    /// The most that workers keep a lease for.
    base::milliseconds longest_lease{6'000};
    /// How long a task takes to end once it is told to stop.
    base::milliseconds stop_time{100};
    /// The operator's configuration, as text.
    std::string configuration{};
};

/// Reads the settings. Error: `settings_wrong_type`.
[[nodiscard]] base::result<site_config> parse_site_config(const json& text);

} // namespace poplarstile::standins::site_standin
