#pragma once

#include "base/time.hpp"
#include "soak/soak_site.hpp"

#include <array>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace poplarstile::soak
{

enum class fault_kind : std::uint8_t {
    vm_killed,
    vm_paused,
    vm_terminated,
    rolling_restart,
    power_lost,
    settings_changed,
    store_link,
    worker_link,
    peer_link,
    caller_link,
    store_calls,
    store_part,
    store_history,
    worker_crashed,
    worker_reborn,
    worker_drained,
    worker_calls,
    /// Its capacity shrinks for a while.
    worker_shrunk,
    /// The store is away for all, and registrations expire meanwhile.
    registrations_lapsed,
    /// It does not reach the store, and its registration expires; it runs on.
    worker_cut_off,
    /// It drains and serves on before it leaves.
    worker_serving_out,
    /// It is cut off, crashes behind the cut and comes back as another incarnation.
    worker_reborn_apart,
    /// The operator drains a failure domain, which is the `variant`.
    domain_drained,
    /// Clients outside the limits send to a VM; the `variant` is one of `crowd_variants`.
    client_crowd,
};

/// Ports and shapes of `client_crowd`.
constexpr std::array<std::string_view, 8> crowd_variants{
    "unread_answers", "empty_steps",  "many_members", "unended_texts",
    "tiny_chunks",    "unended_body", "peer_texts",   "metrics"};

[[nodiscard]] std::string_view name_of(fault_kind kind);

/// Stands for the VM that leads when the fault begins.
constexpr std::string_view leading_vm = "@leader";
constexpr std::string_view every_vm = "*";

struct planned_fault {
    base::milliseconds at{0};
    base::milliseconds lasts{0};
    fault_kind kind = fault_kind::vm_killed;
    /// A VM's name, `leading_vm` or `every_vm`.
    std::string vm{};
    /// Empty where the fault is none of a worker's.
    std::string worker{};
    /// What a link, the store or a worker does meanwhile, by its name on the control ports.
    std::string variant{};
    /// Of a link; or until a worker that is cut off comes back behind its cut.
    base::milliseconds delay{0};
    /// What is left of a worker's capacity.
    int percent = 100;
};

/// Faults of a run, in order of time, until `span`; the same seed gives the same plan. They come
/// in series and overlap.
[[nodiscard]] std::vector<planned_fault> plan_faults(std::uint64_t seed,
                                                     std::span<const std::string> vms,
                                                     std::span<const std::string> workers,
                                                     base::milliseconds span);

/// Workers that shrink and grow again, in order of time; drawn apart, so that the other faults of a
/// seed stay what they are.
[[nodiscard]] std::vector<planned_fault> plan_capacity_changes(std::uint64_t seed,
                                                               std::span<const std::string> workers,
                                                               base::milliseconds span);

/// Registrations that expire while their workers drain and run on, with links to these that break
/// as they do; drawn apart too.
[[nodiscard]] std::vector<planned_fault>
plan_lapsing_registrations(std::uint64_t seed, std::span<const std::string> workers,
                           base::milliseconds span);

/// The leading VM is terminated, killed or paused every few seconds, while workers carry out orders
/// late and lose answers; drawn apart too.
[[nodiscard]] std::vector<planned_fault>
plan_handovers(std::uint64_t seed, std::span<const std::string> workers, base::milliseconds span);

/// Several workers at once are cut off and reborn, again and again; drawn apart too.
[[nodiscard]] std::vector<planned_fault>
plan_rebirths(std::uint64_t seed, std::span<const std::string> workers, base::milliseconds span);

/// Failure domains that are drained, beside hand-overs and outages of the store; drawn apart too.
[[nodiscard]] std::vector<planned_fault> plan_domain_drains(std::uint64_t seed,
                                                            std::span<const std::string> domains,
                                                            base::milliseconds span);

/// Both plans as one, in order of time.
[[nodiscard]] std::vector<planned_fault> merge_plans(std::vector<planned_fault> faults,
                                                     const std::vector<planned_fault>& more);

/// One line for the journal of a run.
[[nodiscard]] std::string describe(const planned_fault& fault);

/// Clients outside the limits on some VMs, in order of time; drawn apart.
[[nodiscard]] std::vector<planned_fault>
plan_client_crowds(std::uint64_t seed, std::span<const std::string> vms, base::milliseconds span);

} // namespace poplarstile::soak
