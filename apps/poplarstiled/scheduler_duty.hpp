#pragma once

#include "duty.hpp"
#include "node.hpp"

#include "lease/scheduler_lease.hpp"
#include "scheduling/scheduler.hpp"

#include <variant>
#include <vector>

namespace poplarstile::daemon
{

/// The duty that holds or watches the scheduler lease of the failure domain and, while it holds it,
/// schedules the domain's jobs.
class scheduler_duty
{
public:
    using message = std::variant<lease::event, scheduling::event>;

    explicit scheduler_duty(node& owner);

    void start();
    void stop();

    /// A job whose row is in the table already; only a nudge, the periodic scan finds it as well.
    void submitted(scheduling::stored_job job);
    void cancelled(std::string job);
    void rules_changed(std::shared_ptr<const rules::ruleset> rules);
    /// `wanted` itself when the hardware of the failure domain can ever hold it, else the nearest
    /// smaller shape that it can hold; total 0 when there is none.
    [[nodiscard]] rules::shape nearest_possible_shape(const rules::shape& wanted) const;
    /// Body of `GET /v1/fragmentation` from the newest view.
    [[nodiscard]] nlohmann::json fragmentation() const;
    /// Hands the lease over, so that another VM can take it at once.
    void leave();
    /// Membership calls a VM dead or leaving.
    void vm_gone(std::string vm);

private:
    void handle(message happened);
    void on_tick();
    void carry_out(lease::actions actions);
    void carry_out(scheduling::actions actions);

    void carry_out_one(lease::read_rows& action);
    void carry_out_one(lease::write_rows& action);
    void carry_out_one(lease::gained& action);
    void carry_out_one(lease::lost& action);

    void carry_out_one(scheduling::scan_jobs& action);
    void carry_out_one(scheduling::renew_worker& action);
    void carry_out_one(scheduling::probe_worker& action);
    void carry_out_one(scheduling::hold_task& action);
    void carry_out_one(scheduling::order_task& action);
    void carry_out_one(scheduling::write_job& action);
    void carry_out_one(scheduling::step_down& action);
    void carry_out_one(scheduling::note_event& action);

    void publish();
    void notice_pause();
    void release_held_back();

    node& node_;
    lease::scheduler_lease lease_;
    placement::topology hardware_;
    scheduling::scheduler scheduler_;
    base::time_point ticked_at_{};
    /// Events that wait until the lease is confirmed after a pause.
    std::vector<scheduling::event> held_back_;
    duty<message> duty_;
};

} // namespace poplarstile::daemon
