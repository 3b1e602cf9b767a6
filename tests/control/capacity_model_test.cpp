#include "support/site_fixture.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <ostream>

/// Random orders of submissions, changes of capacity, faults and time: no start brings a worker
/// over what it has, and all work is done.
namespace poplarstile::tests
{
namespace
{

using base::milliseconds;
using std::chrono::seconds;
using fate = fake_workers::fate;

constexpr batch::resources whole{32'000, 65'536, 8};
constexpr std::array<batch::resources, 5> capacities{
    {{}, {16'000, 32'768, 4}, {32'000, 65'536, 2}, {4'000, 65'536, 8}, {40'000, 65'536, 16}}};
constexpr std::array<batch::resources, 4> needs{
    {{2'000, 4'000, 1}, {4'000, 8'000, 4}, {8'000, 8'000, 0}, {1'000, 32'000, 2}}};
constexpr seconds longest_commit{5};
constexpr std::array<const char*, 3> worker_ids{"w1", "w2", "w3"};

enum class action : std::uint8_t {
    submit,
    submit_gang,
    change_capacity,
    slow_commits,
    fail_starts,
    lose_directory,
    kill_leader,
    wait,
};

constexpr std::array<std::string_view, 8> action_names{
    "submit",      "submit_gang",    "change_capacity", "slow_commits",
    "fail_starts", "lose_directory", "kill_leader",     "wait"};

struct step {
    action what = action::wait;
    /// Which worker, and which capacity or need.
    std::size_t worker = 0;
    std::size_t choice = 0;
    fate starts = fate::serve;
    /// How long a fault lasts.
    milliseconds lasts{0};
    /// Time until the next step.
    milliseconds then{0};
};

std::ostream& operator<<(std::ostream& stream, const step& shown)
{
    return stream << action_names.at(static_cast<std::size_t>(shown.what))
                  << " worker=" << shown.worker << " choice=" << shown.choice
                  << " fate=" << static_cast<int>(shown.starts) << " lasts=" << shown.lasts.count()
                  << " then=" << shown.then.count() << '\n';
}

/// Two VMs and workers of two racks whose capacity changes.
class capacity_model
{
public:
    capacity_model()
    {
        site_.workers.add("w1", "r1-1", whole);
        site_.workers.add("w2", "r1-1", whole);
        site_.workers.add("w3", "r1-2", whole);
        site_.workers.need = [this](const std::string& task) { return job_of(task).need; };
        site_.workers.gang_size = [this](const std::string& task) { return job_of(task).gang; };
        site_.workers.duration = [this](const std::string& task) { return job_of(task).duration; };
        site_.workers.decide = [this](const std::string& /*worker*/, const std::string& order) {
            const bool fails = order == "start" && site_.time.now() < starts_fail_until_;
            return fails ? starts_ : fate::serve;
        };
        start_vm("vm1");
        start_vm("vm2");
        RC_ASSERT(site_.await_leader() != nullptr);
    }

    void play(const step& next)
    {
        const auto until = site_.time.now() + next.lasts;
        switch (next.what) {
        case action::submit:
            submit(next, 0);
            break;
        case action::submit_gang:
            submit(next, 2);
            break;
        case action::change_capacity:
            site_.workers.set_capacity(worker_ids.at(next.worker),
                                       capacities.at(next.choice % capacities.size()),
                                       std::min(next.lasts, site_.leading.worker_heartbeat));
            break;
        case action::slow_commits:
            commit_delay_ = milliseconds{1'000 * (1 + next.choice % 5)};
            commits_slow_until_ = until + longest_commit;
            break;
        case action::fail_starts:
            starts_ = next.starts;
            starts_fail_until_ = until;
            break;
        case action::lose_directory:
            directory_away_until_ = until + site_.workers.capacity_grace;
            break;
        case action::kill_leader:
            kill_leader(next.lasts);
            break;
        case action::wait:
            break;
        }
        site_.time.run_for(next.then);
        RC_ASSERT(site_.workers.overfull().empty());
        RC_ASSERT(site_.workers.doubled().empty());
    }

    /// Ends all faults and waits until every job is done.
    void finish()
    {
        commits_slow_until_ = {};
        starts_fail_until_ = {};
        directory_away_until_ = {};
        for (const auto* const id : worker_ids) {
            site_.workers.set_capacity(id, whole);
        }
        for (const auto& [id, made] : jobs_) {
            RC_ASSERT(site_.await_end(id, seconds{90}) == batch::job_status::completed);
        }
        RC_ASSERT(site_.workers.overfull().empty());
        RC_ASSERT(site_.workers.doubled().empty());
    }

private:
    struct known_job {
        batch::resources need{};
        /// Number of members; 0 for a job without a gang.
        std::uint32_t gang = 0;
        milliseconds duration{0};
    };

    [[nodiscard]] const known_job& job_of(const std::string& task) const
    {
        return jobs_.at(task.substr(0, task.find('.')));
    }

    void start_vm(const std::string& name)
    {
        auto& made = site_.start(name);
        made.rows.commit = [this, direct = made.rows.commit](
                               store::transaction sent,
                               const std::function<void(store::commit_reply)>& handler) {
            const bool slow = site_.time.now() < commits_slow_until_;
            site_.time.after(slow ? commit_delay_ : milliseconds{0},
                             [direct, sent = std::move(sent), handler]() mutable {
                                 direct(std::move(sent), handler);
                             });
        };
        made.directory.follow = [this, direct = made.directory.follow](
                                    store::row_version after, milliseconds wait,
                                    const std::function<void(fleet::directory_reply)>& handler) {
            direct(after, wait, [this, handler](const fleet::directory_reply& reply) {
                const bool away = site_.time.now() < directory_away_until_;
                handler(away ? fleet::directory_reply{} : reply);
            });
        };
    }

    void submit(const step& next, std::uint32_t gang)
    {
        const auto id = fmt::format("{:016x}", jobs_.size() + 1);
        const auto need = needs.at(next.choice % needs.size());
        const auto tasks = gang > 0 ? gang : 1 + static_cast<std::uint32_t>(next.choice);
        jobs_[id] = {need, gang, std::max(next.lasts, milliseconds{100})};
        auto job = make_job(id, tasks, need, next.choice % 2 == 0 ? 1 : 0);
        job.spec.steps.front().gang = gang > 0;
        job.spec.steps.front().one_rack = next.worker == 0;
        site_.submit(job);
    }

    void kill_leader(milliseconds away_for)
    {
        const auto* const leading = site_.elected_vm();
        if (leading == nullptr) {
            return;
        }
        const auto name = leading->name;
        site_.stop(name);
        site_.time.after(away_for, [this, name] { start_vm(name); });
    }

    site_fixture site_;
    std::map<std::string, known_job> jobs_{};
    milliseconds commit_delay_{0};
    base::time_point commits_slow_until_{};
    fate starts_ = fate::serve;
    base::time_point starts_fail_until_{};
    base::time_point directory_away_until_{};
};

rc::Gen<milliseconds> any_span()
{
    const auto milliseconds_below = [](int least, int most) {
        return rc::gen::map(rc::gen::inRange(least, most),
                            [](int count) { return milliseconds{count}; });
    };
    return rc::gen::weightedOneOf<milliseconds>({{4, milliseconds_below(0, 100)},
                                                 {5, milliseconds_below(100, 1'500)},
                                                 {3, milliseconds_below(1'500, 8'000)}});
}

rc::Gen<std::vector<step>> any_steps()
{
    constexpr double longest_sequence = 0.6;
    const auto any_action = rc::gen::weightedElement<action>({{5, action::submit},
                                                              {3, action::submit_gang},
                                                              {6, action::change_capacity},
                                                              {3, action::slow_commits},
                                                              {2, action::fail_starts},
                                                              {2, action::lose_directory},
                                                              {1, action::kill_leader},
                                                              {2, action::wait}});
    const auto any_step = rc::gen::build<step>(
        rc::gen::set(&step::what, any_action),
        rc::gen::set(&step::worker, rc::gen::inRange<std::size_t>(0, worker_ids.size())),
        rc::gen::set(&step::choice, rc::gen::inRange<std::size_t>(0, 10)),
        rc::gen::set(&step::starts, rc::gen::element(fate::swallow, fate::lose_answer, fate::late,
                                                     fate::unavailable)),
        rc::gen::set(&step::lasts, any_span()), rc::gen::set(&step::then, any_span()));
    return rc::gen::scale(longest_sequence,
                          rc::gen::container<std::vector<step>>(rc::gen::resize(100, any_step)));
}

RC_GTEST_PROP(capacity_model, NoStartBringsAWorkerOverItsCapacityAndAllWorkIsDone, ())
{
    const auto steps = *any_steps();
    capacity_model model;
    for (const auto& next : steps) {
        model.play(next);
    }
    model.finish();
}

} // namespace
} // namespace poplarstile::tests
