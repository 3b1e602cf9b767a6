#pragma once

#include "base/time.hpp"
#include "limits/concurrency_limit.hpp"

#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// Which worker gets the next short request.
namespace poplarstile::routing
{

/// Index of a worker in its pool; stable for the life of the pool.
using worker_index = std::size_t;

struct worker_description {
    std::string id;
    /// `IP:port`.
    std::string address;
    std::uint32_t slots = 8;
};

/// How an attempt on a worker went, as far as the worker's health goes.
enum class attempt_verdict {
    succeeded,
    /// The worker ran it and it failed; many in a row on different requests eject the worker.
    failed,
    /// All slots were taken by other VMs.
    busy,
    /// No connection or no answer.
    unreachable,
    /// Says nothing on the worker: given up by the caller, fenced and the like.
    neutral,
};

struct pool_options {
    std::uint32_t failures_to_eject = 3;
    base::milliseconds first_ejection{2'000};
    base::milliseconds longest_ejection{60'000};
    /// A worker that refused work because it leaves is tried again after this time: it may have
    /// come back since.
    base::milliseconds leaving_recheck{10'000};
    /// At most this share of workers is ejected at once, so that a fault of the requests
    /// themselves can't take the whole pool.
    double max_ejected_share = 0.5;
};

/// Load, limits and health of the workers of one failure domain as one VM sees them.
///
/// Selection takes the less loaded of two random workers (Mitzenmacher, 2001). A worker that fails
/// several attempts in a row is ejected for a time that doubles; then single idempotent canaries
/// decide whether it comes back (outlier ejection).
class worker_pool
{
public:
    worker_pool(std::span<const worker_description> workers, const pool_options& options,
                std::uint64_t seed);

    /// Starting share of a worker's slots: slots divided by the VMs that share the worker.
    void set_sharing_vms(std::size_t vms);

    /// A worker that may take a request now, or nothing. Workers in `excluded` are passed over.
    /// Canaries go only to idempotent work.
    [[nodiscard]] std::optional<worker_index> select(base::time_point now, bool idempotent,
                                                     std::span<const worker_index> excluded);

    /// Counts an attempt as under way.
    void begin(worker_index worker);

    /// Counts an attempt as over.
    void end(worker_index worker, attempt_verdict verdict, base::time_point now);

    /// A worker that said that it leaves gets no new work, but a canary from time to time.
    void set_leaving(worker_index worker, base::time_point now);
    /// A worker that a rule avoids gets no new work.
    void set_avoided(worker_index worker, bool avoided);

    [[nodiscard]] const worker_description& description(worker_index worker) const;
    [[nodiscard]] std::optional<worker_index> find(std::string_view id) const;
    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] std::uint32_t in_flight(worker_index worker) const;
    [[nodiscard]] bool ejected(worker_index worker) const;

    /// Requests that could be under way at once on all workers that may be used.
    [[nodiscard]] std::uint32_t capacity() const;

private:
    enum class health { healthy, ejected, probation };

    struct worker_state {
        worker_description description;
        limits::concurrency_limit limit;
        std::uint32_t in_flight = 0;
        std::uint32_t failures_in_row = 0;
        health condition = health::healthy;
        base::time_point ejected_until{};
        base::milliseconds ejection{0};
        /// When a worker that said that it leaves is tried again.
        std::optional<base::time_point> leaving_until{};
        bool avoided = false;
    };

    [[nodiscard]] bool may_take(const worker_state& worker, bool idempotent) const;
    void start_probations(base::time_point now);
    void eject(worker_state& worker, base::time_point now);
    void record_failure(worker_state& worker, base::time_point now);
    [[nodiscard]] bool may_eject_another() const;

    std::vector<worker_state> workers_;
    pool_options options_;
    std::mt19937_64 random_;
    std::vector<worker_index> candidates_;
};

} // namespace poplarstile::routing
