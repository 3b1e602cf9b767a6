#include "support/row_retention_test.hpp"

#include <set>
#include <utility>

/// A run at a worker that the leader does not reach is started elsewhere only when it has surely
/// ended.
namespace poplarstile::tests
{
namespace
{

using base::milliseconds;
using std::chrono::seconds;

class silent_worker : public row_retention_test
{
protected:
    silent_worker() : row_retention_test{seconds{60}}
    {
        site.workers.add("w2", "r1-1", worker_capacity);
        for (const auto* const name : {"vm1", "vm2", "vm3"}) {
            start_vm(name);
        }
    }

    /// Starts a VM whose calls to the parts in `unreachable` are lost, and whose calls to the
    /// directory of workers are refused while `directory_away` is set.
    void start_vm(const std::string& name)
    {
        auto& made = site.start(name);
        made.rows.commit = [this, name, direct = made.rows.commit](
                               store::transaction sent,
                               const std::function<void(store::commit_reply)>& handler) {
            if (unreachable.contains({name, sent.expected.front().id.part})) {
                site.time.after(site.store.call_timeout, [handler] { handler({}); });
            } else {
                direct(std::move(sent), handler);
            }
        };
        made.rows.read = [this, name, direct = made.rows.read](
                             store::read_range range,
                             const std::function<void(store::read_reply)>& handler) {
            if (unreachable.contains({name, range.part})) {
                site.time.after(site.store.call_timeout, [handler] { handler({}); });
            } else {
                direct(std::move(range), handler);
            }
        };
        made.directory.follow = [this, direct = made.directory.follow](
                                    store::row_version after, milliseconds wait,
                                    const std::function<void(fleet::directory_reply)>& handler) {
            direct(after, wait, [this, handler](const fleet::directory_reply& reply) {
                handler(directory_away ? fleet::directory_reply{} : reply);
            });
        };
    }

    /// Runs a job until its task has started; the leader and the worker are noted.
    void run_job()
    {
        auto* const leading = site.await_leader();
        ASSERT_NE(leading, nullptr);
        leader = leading->name;
        site.submit(make_job(id, 1, small_task));
        ASSERT_TRUE(
            site.time.run_until([&] { return site.workers.starts().size() == 1; }, seconds{2}));
        worker = site.workers.starts().front().worker;
        site.time.run_for(seconds{2});
    }
    /// Only the leader reaches the worker and the part of this index, and it reaches nothing else.
    void isolate_with_part(std::size_t only)
    {
        for (const std::string other : {"vm1", "vm2", "vm3"}) {
            if (other == leader) {
                continue;
            }
            site.cut(leader, other);
            site.cut(worker, other);
            unreachable.insert({other, site.parts.name(only)});
        }
        for (std::size_t part = 0; part < site.parts.size(); ++part) {
            if (part != only) {
                unreachable.insert({leader, site.parts.name(part)});
            }
        }
    }
    /// Id of a job, not that of the test's own, whose home is this part.
    [[nodiscard]] std::string id_of_part(std::size_t part) const
    {
        auto number = 2;
        while (site.parts.home_of(fmt::format("{:016}", number)) != part) {
            ++number;
        }
        return fmt::format("{:016}", number);
    }
    void expect_started_again_later() const
    {
        EXPECT_EQ(site.workers.starts().size(), 2U);
        EXPECT_TRUE(site.workers.doubled().empty());
    }

    std::string id{"0000000000000001"};
    std::string leader{};
    std::string worker{};
    std::set<std::pair<std::string, std::string>> unreachable{};
    bool directory_away = false;
};

TEST_F(silent_worker, HoldsNoLeaseByThePartThatTheSuccessorAcquiresLast)
{
    ASSERT_NO_FATAL_FAILURE(run_job());
    const auto home = site.parts.home_of(id);
    isolate_with_part(home);
    site.time.run_for(seconds{15});

    unreachable.clear();
    for (const auto& part : site.parts.names()) {
        unreachable.insert({leader, part});
    }
    site.time.run_for(seconds{20});

    expect_started_again_later();
}

TEST_F(silent_worker, HoldsNoLeaseByAPartThatTheSuccessorLacks)
{
    ASSERT_NO_FATAL_FAILURE(run_job());
    isolate_with_part((site.parts.home_of(id) + 1) % site.parts.size());

    site.time.run_for(seconds{30});

    expect_started_again_later();
}

// A leader that has acquired a single part reckoned its authority from no commit at all, and held
// the leases of the workers that it alone reached without limit.
TEST_F(silent_worker, HoldsNoLeaseByALeaderThatHasTooFewParts)
{
    ASSERT_NO_FATAL_FAILURE(run_job());
    const auto only = (site.parts.home_of(id) + 1) % site.parts.size();
    for (const std::string name : {"vm1", "vm2", "vm3"}) {
        for (std::size_t part = 0; part < site.parts.size(); ++part) {
            if (part != only) {
                unreachable.insert({name, site.parts.name(part)});
            }
        }
    }
    const auto first = leader;
    site.stop(first);
    auto* const successor = site.await_leader(seconds{20});
    ASSERT_NE(successor, nullptr);
    leader = successor->name;

    unreachable.clear();
    isolate_with_part(only);
    site.time.run_for(seconds{30});

    expect_started_again_later();
}

// Its starts carried no lease, were rejected as late and sent again without a pause.
TEST_F(silent_worker, IsSentNoStartByALeaderThatHasTooFewParts)
{
    ASSERT_NO_FATAL_FAILURE(run_job());
    const auto only = site.parts.home_of(id);
    std::size_t sent = 0;
    for (const std::string name : {"vm1", "vm2", "vm3"}) {
        for (std::size_t part = 0; part < site.parts.size(); ++part) {
            if (part != only) {
                unreachable.insert({name, site.parts.name(part)});
            }
        }
        auto& orders = site.at(name).orders;
        orders.start = [&sent, start = orders.start](const fleet::start_order& order, auto reply) {
            ++sent;
            start(order, reply);
        };
    }
    site.stop(std::string{leader});
    ASSERT_NE(site.await_leader(seconds{20}), nullptr);

    site.submit(make_job(id_of_part(only), 1, small_task));
    site.time.run_for(seconds{5});

    EXPECT_EQ(sent, 0U);
}

// A leader extends the lease of a worker whose run is stored in a part that it can't read yet. The
// worker falls silent without a registration and is forgotten, and with it until when its lease
// lasts; then the part is read.
TEST_F(silent_worker, KeepsItsRunOfAPartReadAfterItWasForgotten)
{
    ASSERT_NO_FATAL_FAILURE(run_job());
    for (const std::string name : {"vm1", "vm2", "vm3"}) {
        unreachable.insert({name, site.parts.name(site.parts.home_of(id))});
    }
    const auto first = leader;
    site.stop(first);
    auto* const successor = site.await_leader(seconds{20});
    ASSERT_NE(successor, nullptr);
    // Longer than any lease of the first leader.
    site.time.run_for(seconds{20});
    ASSERT_EQ(site.workers.at(worker).tasks.size(), 1U);

    site.cut(successor->name, worker);
    site.workers.set_listed(worker, false);
    site.time.run_for(milliseconds{2'700});
    unreachable.clear();
    site.time.run_for(seconds{15});

    expect_started_again_later();
}

} // namespace
} // namespace poplarstile::tests
