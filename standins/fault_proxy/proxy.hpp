#pragma once

#include "base/result.hpp"
#include "standins/fault_proxy/link_table.hpp"
#include "standins/fault_proxy/proxy_config.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace poplarstile::standins::fault_proxy
{

/// A TCP proxy on its own thread whose links can be made to fail.
class proxy
{
public:
    /// Listens on every port of the settings. Error: `listen_failed`.
    [[nodiscard]] static base::result<std::unique_ptr<proxy>> start(const std::string& address,
                                                                    const proxy_config& config);

    ~proxy();
    proxy(const proxy&) = delete;
    proxy& operator=(const proxy&) = delete;

    /// Applies a fault to open and new connections, then calls `done` on the proxy's thread.
    void set_fault(link_rule rule, std::function<void()> done);

    /// Removes all faults; connections that lost bytes stay silent.
    void heal(std::function<void()> done);

    /// Hands rules and counters to `done` on the proxy's thread.
    void report(std::function<void(json)> done);

    /// The port of the source or forward called `name`; 0 when there is none.
    [[nodiscard]] std::uint16_t port_of(const std::string& name) const;

private:
    struct implementation;
    explicit proxy(std::unique_ptr<implementation> impl);
    std::unique_ptr<implementation> impl_;
};

} // namespace poplarstile::standins::fault_proxy
