#pragma once

#include "base/bounded_ring.hpp"
#include "bench/checker/history.hpp"
#include "bench/load_driver/deployment.hpp"
#include "net/http_client.hpp"

#include <cstddef>
#include <memory>
#include <stop_token>
#include <string>
#include <variant>

/// The duty that watches the VMs from outside, as the balancer and an operator do.
namespace poplarstile::bench::load_driver
{

/// An exchange of a short request ended.
struct request_done {
    std::size_t exchange = 0;
    net::http_reply reply{};
    checker::wall_us at = 0;
};

/// An answer about a job arrived; `submission` for the answer to `POST /v1/jobs`.
struct job_answered {
    std::size_t job = 0;
    bool submission = false;
    net::http_reply reply{};
};

/// What one VM said of itself; `rules_version` 0 when it did not answer.
struct vm_seen {
    std::size_t vm = 0;
    bool ready = false;
    std::uint64_t rules_version = 0;
    checker::wall_us at = 0;
};

struct rule_accepted {
    checker::rule_change change{};
};

using message = std::variant<request_done, job_answered, vm_seen, rule_accepted>;
using message_ring = base::bounded_ring<message>;

struct observer_options {
    base::milliseconds interval{200};
    /// When the extra rule is applied, counted from the start; it is left out when `rule` is empty.
    base::milliseconds rule_after{0};
    std::string rule{};
};

/// Polls `/readyz` and `/v1/status` of every VM until `stop`, and applies the extra rule once.
void observe(const deployment& target, const observer_options& options, net::http_client& client,
             message_ring& into, const std::stop_token& stop);

} // namespace poplarstile::bench::load_driver
