#include "support/site_fixture.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <map>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// Cancels, hangs, restarts and hand-overs while starts wait for connections: no start leaves over
/// a second after its reason has gone.
namespace poplarstile::tests
{
namespace
{

using base::milliseconds;
using std::chrono::seconds;

constexpr batch::resources whole{32'000, 65'536, 8};
constexpr batch::resources small_task{2'000, 4'000, 1};
/// What the pages allow between the showing of an end and the last start.
constexpr milliseconds allowed{1'000};
constexpr std::array<const char*, 2> worker_ids{"w1", "w2"};
constexpr std::array<const char*, 2> vm_names{"vm1", "vm2"};

enum class action : std::uint8_t { cancel, hang, restart, hand_over, none };

constexpr std::array<std::string_view, 5> action_names{"cancel", "hang", "restart", "hand_over",
                                                       "none"};

/// A job is submitted while orders wait for connections, and a little later something happens.
struct step {
    action what = action::none;
    /// Which worker hangs or restarts.
    std::size_t worker = 0;
    /// How long orders to both workers wait.
    milliseconds orders_wait{0};
    /// Time from the submission until it happens.
    milliseconds happens_after{0};
    /// How long a hang lasts.
    milliseconds lasts{0};
    /// Time until the next step.
    milliseconds then{0};
};

std::ostream& operator<<(std::ostream& stream, const step& shown)
{
    return stream << action_names.at(static_cast<std::size_t>(shown.what))
                  << " worker=" << shown.worker << " orders_wait=" << shown.orders_wait.count()
                  << " happens_after=" << shown.happens_after.count()
                  << " lasts=" << shown.lasts.count() << " then=" << shown.then.count() << '\n';
}

/// Two VMs and two workers. A job of one task each.
class obsolete_start_model
{
public:
    obsolete_start_model()
    {
        site_.workers.need = [](const std::string& /*task*/) { return small_task; };
        site_.workers.duration = [](const std::string& /*task*/) { return seconds{2}; };
        site_.workers.on_start = [this](const fleet::start_order& order) { check(order); };
        site_.workers.connection_wait = [this](const std::string& worker,
                                               const std::string& order) {
            return order == "look" ? milliseconds{0} : waits_[worker];
        };
        for (const auto* const id : worker_ids) {
            site_.workers.add(id, "r1-1", whole);
        }
        for (const auto* const name : vm_names) {
            site_.start(name);
        }
        RC_ASSERT(site_.await_leader() != nullptr);
    }

    void play(const step& next)
    {
        const std::string worker = worker_ids.at(next.worker);
        for (const auto* const id : worker_ids) {
            waits_[id] = next.orders_wait;
        }
        submit();
        pass(next.happens_after);
        switch (next.what) {
        case action::cancel:
            site_.cancel(job_id(jobs_));
            break;
        case action::hang:
            site_.workers.at(worker).answers = false;
            site_.time.after(next.lasts,
                             [this, worker] { site_.workers.at(worker).answers = true; });
            break;
        case action::restart:
            site_.workers.restart(worker);
            restarted_at_[worker] = site_.time.now();
            break;
        case action::hand_over:
            hand_over();
            break;
        case action::none:
            break;
        }
        pass(next.then);
    }

    /// Ends all faults and waits until every job has ended.
    void finish()
    {
        waits_.clear();
        for (std::size_t number = 1; number <= jobs_; ++number) {
            RC_ASSERT(site_.await_end(job_id(number), seconds{90}).has_value());
        }
        pass(seconds{3});
        RC_ASSERT(site_.workers.doubled().empty());
    }

private:
    static std::string job_id(std::size_t number)
    {
        return fmt::format("{:016x}", number);
    }

    void submit()
    {
        site_.submit(make_job(job_id(++jobs_), 1, small_task));
    }

    /// The VM that leads leaves, and starts again.
    void hand_over()
    {
        auto* const leading = site_.leading_vm();
        if (leading == nullptr) {
            return;
        }
        const auto name = leading->name;
        leading->node->leave([] {});
        pass(seconds{1});
        site_.start(name);
    }

    /// Lets time pass and notes when ends are stored, from when on they may be shown.
    void pass(milliseconds span)
    {
        const auto until = site_.time.now() + span;
        while (site_.time.now() < until) {
            site_.time.run_for(std::min(milliseconds{50}, span));
            for (std::size_t number = 1; number <= jobs_; ++number) {
                const auto job = job_id(number);
                if (!ended_at_.contains(job) && site_.ended_as(job)) {
                    ended_at_.emplace(job, site_.time.now());
                }
            }
        }
        RC_ASSERT(obsolete_.empty());
    }

    void check(const fleet::start_order& order)
    {
        const auto now = site_.time.now();
        const auto ended = ended_at_.find(order.task.job);
        if (ended != ended_at_.end() && now - ended->second > allowed) {
            obsolete_ += "after its job's end: " + batch::to_text(order.task) + "\n";
        }
        const auto restarted = restarted_at_.find(order.to.life.worker);
        const auto current = site_.workers.at(order.to.life.worker).facts.life.started_at;
        if (restarted != restarted_at_.end() && order.to.life.started_at != current &&
            now - restarted->second > allowed) {
            obsolete_ += "for an earlier incarnation: " + batch::to_text(order.task) + "\n";
        }
    }

    site_fixture site_;
    std::size_t jobs_ = 0;
    std::map<std::string, milliseconds> waits_{};
    std::map<std::string, base::time_point> ended_at_{};
    std::map<std::string, base::time_point> restarted_at_{};
    /// Starts that were carried out although their reason had gone.
    std::string obsolete_{};
};

/// A start that waits for longer is given up by the client.
constexpr int longest_connection_wait_ms = 2'400;
constexpr std::size_t longest_play = 5;

rc::Gen<step> any_step()
{
    return rc::gen::apply(
        [](int what, std::size_t worker, int orders_wait, int happens_after, int lasts, int then) {
            return step{static_cast<action>(what), worker,
                        milliseconds{orders_wait}, milliseconds{happens_after},
                        milliseconds{lasts},       milliseconds{then}};
        },
        rc::gen::inRange<int>(0, action_names.size()),
        rc::gen::inRange<std::size_t>(0, worker_ids.size()),
        rc::gen::inRange(0, longest_connection_wait_ms), rc::gen::inRange(0, 1'000),
        rc::gen::inRange(500, 9'000), rc::gen::inRange(0, 9'000));
}

RC_GTEST_PROP(obsolete_start_model, NoStartLeavesOverASecondAfterItsReasonHasGone, ())
{
    const auto full_range = [](auto generator) {
        return rc::gen::resize(rc::kNominalSize, std::move(generator));
    };
    const auto count = *full_range(rc::gen::inRange<std::size_t>(1, longest_play + 1));
    const auto steps = *rc::gen::container<std::vector<step>>(count, full_range(any_step()));
    obsolete_start_model model;
    for (const auto& next : steps) {
        model.play(next);
    }
    model.finish();
}

} // namespace
} // namespace poplarstile::tests
