#pragma once

#include "duty.hpp"

#include "dispatch/dispatcher.hpp"
#include "events/event_log.hpp"
#include "membership/membership.hpp"
#include "metrics.hpp"
#include "net/http_client.hpp"
#include "rules/ruleset.hpp"
#include "scheduling/scheduler.hpp"
#include "settings/vm_settings.hpp"
#include "table/table_client.hpp"
#include "workers/worker_client.hpp"

#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace poplarstile::daemon
{

/// What is known of the scheduler lease of this VM's failure domain.
struct scheduler_view {
    std::string holder{};
    std::uint64_t epoch = 0;
    /// True while this VM holds the lease.
    bool is_self = false;
    /// True once the holder has rebuilt its state; only said by the holder itself.
    bool active = false;
    scheduling::scheduler_counters counters{};
    std::vector<scheduling::job_view> jobs{};
    std::vector<scheduling::worker_view> workers{};
    scheduling::room_view room{};
};

/// What the duties of one VM share: settings, clients, the event log and each duty's newest view.
struct node {
    settings::vm_settings settings{};
    /// Distinguishes this run of the VM from earlier ones.
    std::string run_id{};
    std::unique_ptr<events::event_log> events{};
    std::unique_ptr<daemon_metrics> metrics{};
    std::unique_ptr<net::http_client> client{};
    std::unique_ptr<table::table_client> table{};
    std::unique_ptr<workers::worker_client> workers{};

    published<std::shared_ptr<const rules::ruleset>> rules{};
    published<std::vector<membership::member>> members{};
    published<scheduler_view> scheduler{};
    published<dispatch::dispatcher_counters> dispatch{};

    /// Set once; the VM takes no new work from then on.
    std::atomic<bool> leaving{false};
    /// When the table last told this VM which rules version is the newest, in microseconds since
    /// the epoch; 0 when it never did.
    std::atomic<std::int64_t> rules_confirmed_us{0};
    /// Set when the rules are known, which is when the VM first takes work.
    std::atomic<bool> ready{false};

    [[nodiscard]] bool takes_work() const
    {
        return ready && !leaving;
    }

    void note(std::string_view part, std::string kind, std::string subject, std::string cause,
              std::string detail) const
    {
        events->append({std::string{part}, std::move(kind), std::move(subject), std::move(cause),
                        std::move(detail)},
                       base::wall_clock_us());
    }

    /// The rules in force here; never null.
    [[nodiscard]] std::shared_ptr<const rules::ruleset> current_rules() const
    {
        auto current = *rules.get();
        return current ? current : std::make_shared<const rules::ruleset>();
    }

    /// Peer address of a live VM.
    [[nodiscard]] std::optional<std::string> address_of(std::string_view vm) const
    {
        const auto known = members.get();
        for (const auto& member : *known) {
            if (member.vm == vm && member.state != peer::member_state::dead) {
                return member.address;
            }
        }
        return std::nullopt;
    }
};

} // namespace poplarstile::daemon
