#include "support/site_fixture.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <map>
#include <ostream>
#include <string>

/// Leaders that follow one another, workers that are silent beyond their leases, and orders that
/// are late or lost: workers run what their leader does not know of, no start brings one over its
/// capacity, nothing runs twice, and all work is done.
namespace poplarstile::tests
{
namespace
{

using base::milliseconds;
using std::chrono::seconds;
using fate = fake_workers::fate;

constexpr batch::resources whole{32'000, 65'536, 8};
constexpr std::array<batch::resources, 4> needs{
    {{2'000, 4'000, 2}, {4'000, 8'000, 4}, {8'000, 8'000, 6}, {20'000, 32'000, 0}}};
constexpr std::array<const char*, 3> worker_ids{"w1", "w2", "w3"};
constexpr std::array<const char*, 3> orders{"start", "stop", "look"};
/// Longer than any play, so that the row of an ended job is there to be read.
constexpr seconds rows_kept{100'000};
/// A worker that is silent for longer has no lease left.
constexpr seconds leases_over{8};

enum class action : std::uint8_t {
    submit,
    submit_gang,
    cancel,
    silence_worker,
    fail_orders,
    kill_leader,
    stall_leader,
    wait,
};

constexpr std::array<std::string_view, 8> action_names{
    "submit",      "submit_gang", "cancel",       "silence_worker",
    "fail_orders", "kill_leader", "stall_leader", "wait"};

struct step {
    action what = action::wait;
    /// Which worker; which need, order or job.
    std::size_t worker = 0;
    std::size_t choice = 0;
    fate becomes = fate::serve;
    /// How long a fault, or a task, lasts.
    milliseconds lasts{0};
    /// Time until the next step.
    milliseconds then{0};
};

std::ostream& operator<<(std::ostream& stream, const step& shown)
{
    return stream << action_names.at(static_cast<std::size_t>(shown.what))
                  << " worker=" << shown.worker << " choice=" << shown.choice
                  << " fate=" << static_cast<int>(shown.becomes) << " lasts=" << shown.lasts.count()
                  << " then=" << shown.then.count() << '\n';
}

class unknown_run_model
{
public:
    explicit unknown_run_model(milliseconds stop_time)
    {
        for (const auto* const id : worker_ids) {
            site_.workers.add(id, "r1-1", whole);
        }
        site_.workers.stop_time = stop_time;
        site_.workers.need = [this](const std::string& task) { return job_of(task).need; };
        site_.workers.gang_size = [this](const std::string& task) { return job_of(task).gang; };
        site_.workers.duration = [this](const std::string& task) { return job_of(task).duration; };
        site_.workers.decide = [this](const std::string& worker, const std::string& order) {
            const auto found = faults_.find({worker, order});
            const bool fails = found != faults_.end() && site_.time.now() < found->second.until;
            return fails ? found->second.becomes : fate::serve;
        };
        site_.leading.status_retention = rows_kept;
        for (const auto* const name : {"vm1", "vm2", "vm3"}) {
            start_vm(name);
        }
        RC_ASSERT(site_.await_leader() != nullptr);
    }

    void play(const step& next)
    {
        const auto* const worker = worker_ids.at(next.worker);
        switch (next.what) {
        case action::submit:
            submit(next, 0);
            break;
        case action::submit_gang:
            submit(next, 2);
            break;
        case action::cancel:
            cancel(next.choice);
            break;
        case action::silence_worker:
            silence(worker, next.lasts + (next.choice % 2 == 0 ? leases_over : seconds{0}));
            break;
        case action::fail_orders:
            faults_[{worker, orders.at(next.choice % orders.size())}] = {
                next.becomes, site_.time.now() + next.lasts};
            break;
        case action::kill_leader:
            kill_leader(next.lasts);
            if (next.choice % 3 != 0) {
                end_in_store(next.choice);
            }
            break;
        case action::stall_leader:
            if (const auto* const leading = site_.elected_vm(); leading != nullptr) {
                stalled_until_[leading->name] = site_.time.now() + next.lasts;
            }
            break;
        case action::wait:
            break;
        }
        site_.time.run_for(next.then);
        expect_sound();
    }

    /// Ends all faults and waits until every job has ended.
    void finish()
    {
        faults_.clear();
        stalled_until_.clear();
        for (const auto& [id, made] : jobs_) {
            const auto ended = site_.await_end(id, seconds{90});
            RC_ASSERT(ended.has_value());
            RC_ASSERT(made.cancelled || ended == batch::job_status::completed);
        }
        expect_sound();
    }

private:
    struct known_job {
        batch::resources need{};
        /// Number of members; 0 for a job without a gang.
        std::uint32_t gang = 0;
        milliseconds duration{0};
        bool cancelled = false;
    };
    struct fault {
        fate becomes = fate::serve;
        base::time_point until{};
    };

    [[nodiscard]] const known_job& job_of(const std::string& task) const
    {
        return jobs_.at(task.substr(0, task.find('.')));
    }

    void expect_sound() const
    {
        RC_ASSERT(site_.workers.overfull().empty());
        RC_ASSERT(site_.workers.doubled().empty());
    }

    /// Runs an action at once, or when the VM is no longer stalled.
    void when_running(const std::string& name, std::function<void()> run)
    {
        const auto found = stalled_until_.find(name);
        const auto now = site_.time.now();
        const auto until = found == stalled_until_.end() ? now : found->second;
        if (until <= now) {
            run();
        } else {
            site_.time.at(until, std::move(run));
        }
    }

    /// A call that leaves a stalled VM, and whose reply comes to it, only once it runs again.
    template <class Call, class Order>
    Call stalled(const std::string& name, Call direct)
    {
        return [this, name, direct](Order sent, auto handler) {
            when_running(name, [this, name, direct, sent = std::move(sent), handler] {
                direct(sent, [this, name, handler](auto reply) {
                    when_running(name, [handler, reply] { handler(reply); });
                });
            });
        };
    }

    void start_vm(const std::string& name)
    {
        auto& made = site_.start(name);
        made.rows.commit =
            stalled<decltype(made.rows.commit), store::transaction>(name, made.rows.commit);
        made.orders.start =
            stalled<decltype(made.orders.start), fleet::start_order>(name, made.orders.start);
        made.orders.stop =
            stalled<decltype(made.orders.stop), fleet::stop_order>(name, made.orders.stop);
        made.orders.look =
            stalled<decltype(made.orders.look), fleet::look_order>(name, made.orders.look);
    }

    void submit(const step& next, std::uint32_t gang)
    {
        const auto id = fmt::format("{:016x}", jobs_.size() + 1);
        const auto need = needs.at(next.choice % needs.size());
        const auto tasks = gang > 0 ? gang : 1 + static_cast<std::uint32_t>(next.choice % 4);
        jobs_[id] = {need, gang, std::max(next.lasts, milliseconds{100}), false};
        auto job = make_job(id, tasks, need, next.worker == 0 ? 0 : 1);
        job.spec.steps.front().gang = gang > 0;
        site_.submit(job);
    }

    void cancel(std::size_t choice)
    {
        if (jobs_.empty()) {
            return;
        }
        const auto found =
            std::next(jobs_.begin(), static_cast<std::ptrdiff_t>(choice % jobs_.size()));
        found->second.cancelled = true;
        site_.cancel(found->first);
    }

    /// Between two leaders: the store tells of the end of a job whose runs go on.
    void end_in_store(std::size_t choice)
    {
        if (jobs_.empty() || site_.elected_vm() != nullptr) {
            return;
        }
        const auto found =
            std::next(jobs_.begin(), static_cast<std::ptrdiff_t>(choice % jobs_.size()));
        const auto& id = found->first;
        if (site_.ended_as(id) || !site_.store.find({"jobs", site_.part_of(id), id})) {
            return;
        }
        batch::finished_job finished;
        finished.status = batch::job_status::completed;
        finished.queue = "queue";
        finished.workspace = "workspace";
        site_.store.put({"jobs", site_.part_of(id), id}, batch::encode(finished));
    }

    void silence(const std::string& worker, milliseconds lasts)
    {
        site_.workers.at(worker).answers = false;
        site_.time.after(lasts, [this, worker] { site_.workers.at(worker).answers = true; });
    }

    void kill_leader(milliseconds away_for)
    {
        const auto* const leading = site_.elected_vm();
        if (leading == nullptr) {
            return;
        }
        const auto name = leading->name;
        site_.stop(name);
        stalled_until_.erase(name);
        site_.time.after(away_for, [this, name] { start_vm(name); });
    }

    site_fixture site_;
    std::map<std::string, known_job> jobs_{};
    std::map<std::pair<std::string, std::string>, fault> faults_{};
    std::map<std::string, base::time_point> stalled_until_{};
};

rc::Gen<milliseconds> any_span()
{
    const auto milliseconds_below = [](int least, int most) {
        return rc::gen::map(rc::gen::inRange(least, most),
                            [](int count) { return milliseconds{count}; });
    };
    return rc::gen::weightedOneOf<milliseconds>({{3, milliseconds_below(0, 100)},
                                                 {4, milliseconds_below(100, 1'500)},
                                                 {4, milliseconds_below(1'500, 9'000)}});
}

rc::Gen<std::vector<step>> any_steps()
{
    constexpr double longest_sequence = 0.5;
    const auto any_action = rc::gen::weightedElement<action>({{7, action::submit},
                                                              {3, action::submit_gang},
                                                              {2, action::cancel},
                                                              {4, action::silence_worker},
                                                              {4, action::fail_orders},
                                                              {5, action::kill_leader},
                                                              {2, action::stall_leader},
                                                              {2, action::wait}});
    const auto any_step = rc::gen::build<step>(
        rc::gen::set(&step::what, any_action),
        rc::gen::set(&step::worker, rc::gen::inRange<std::size_t>(0, worker_ids.size())),
        rc::gen::set(&step::choice, rc::gen::inRange<std::size_t>(0, 12)),
        rc::gen::set(&step::becomes,
                     rc::gen::element(fate::swallow, fate::lose_answer, fate::late, fate::reset)),
        rc::gen::set(&step::lasts, any_span()), rc::gen::set(&step::then, any_span()));
    return rc::gen::scale(longest_sequence,
                          rc::gen::container<std::vector<step>>(rc::gen::resize(100, any_step)));
}

RC_GTEST_PROP(unknown_run_model, NoStartBringsAWorkerOverItsCapacityAndAllWorkEnds, ())
{
    const auto stop_time = *rc::gen::inRange(50, 2'000);
    const auto steps = *any_steps();
    unknown_run_model model{milliseconds{stop_time}};
    for (const auto& next : steps) {
        model.play(next);
    }
    model.finish();
}

} // namespace
} // namespace poplarstile::tests
