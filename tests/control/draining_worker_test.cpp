#include "support/site_fixture.hpp"

#include <gtest/gtest.h>

/// The runs of a draining worker whose registration goes: it may have left, or it serves on.
namespace poplarstile::tests
{
namespace
{

using base::milliseconds;
using std::chrono::seconds;

constexpr batch::resources worker_capacity{32'000, 65'536, 8};
constexpr batch::resources whole_worker{30'000, 60'000, 8};
constexpr const char* id = "0000000000000001";
/// Registrations that expired in an outage are missing for this long after its end.
constexpr milliseconds registration_return{1'900};
/// The longest lease on the slowest clock, which is known but for the time that a poll waits, and a
/// second to notice its end.
constexpr milliseconds longest_wait{9'200};

class draining_worker : public testing::Test
{
protected:
    draining_worker()
    {
        site.workers.need = [](const std::string& /*task*/) { return whole_worker; };
        site.workers.duration = [](const std::string& /*task*/) { return seconds{15}; };
        site.workers.decide = [this](const std::string& worker, const std::string& order) {
            return fate_of(worker, order);
        };
        for (const auto* const worker : {"w1", "w2", "w3", "w4"}) {
            site.workers.add(worker, "r1-1", worker_capacity);
        }
        follow_unless_away(site.start("vm1"));
        EXPECT_NE(site.await_leader(), nullptr);
        site.submit(make_job(id, 2, whole_worker));
        EXPECT_TRUE(
            site.time.run_until([&] { return site.workers.starts().size() == 2; }, seconds{3}));
        for (const auto& start : site.workers.starts()) {
            busy.push_back(start.worker);
            site.workers.drain(start.worker);
        }
        // Longer than any registration takes to expire.
        site.time.run_for(seconds{8});
    }

    /// Breaks the connections of as many polls as the test has asked for.
    fake_workers::fate fate_of(const std::string& worker, const std::string& order)
    {
        if (broken_polls == 0 || order != "look" || worker != busy.front()) {
            return fake_workers::fate::serve;
        }
        --broken_polls;
        return fake_workers::fate::reset;
    }

    /// The directory of workers is refused while `directory_away` is set.
    void follow_unless_away(site_fixture::vm& made)
    {
        made.directory.follow = [this, direct = made.directory.follow](
                                    store::row_version after, milliseconds wait,
                                    const std::function<void(fleet::directory_reply)>& handler) {
            direct(after, wait, [this, handler](const fleet::directory_reply& reply) {
                handler(directory_away ? fleet::directory_reply{} : reply);
            });
        };
    }

    void set_listed(bool listed)
    {
        for (const auto& worker : busy) {
            site.workers.set_listed(worker, listed);
        }
    }

    /// The store is away; the registrations expire and are back some time after its return.
    void pass_an_outage(milliseconds span)
    {
        directory_away = true;
        site.time.run_for(span);
        set_listed(false);
        directory_away = false;
        broken_polls = 1;
        site.time.run_for(registration_return);
        EXPECT_EQ(broken_polls, 0U) << "a poll was sent in this time";
        set_listed(true);
    }

    /// From now on the connections of polls to one worker are refused, which runs on. Returns once
    /// the poll that waits there is over.
    void refuse_connections()
    {
        site.workers.at(busy.front()).refuses = true;
        site.time.run_for(site.leading.poll_wait);
    }
    void accept_connections_after(milliseconds span)
    {
        site.time.run_for(span);
        site.workers.at(busy.front()).refuses = false;
    }

    void expect_no_second_start()
    {
        EXPECT_EQ(site.await_end(id), batch::job_status::completed);
        EXPECT_EQ(site.workers.starts().size(), 2U);
        EXPECT_TRUE(site.workers.doubled().empty());
    }

    [[nodiscard]] bool started_again_within(milliseconds span)
    {
        return site.time.run_until([&] { return site.workers.starts().size() == 3; }, span);
    }

    site_fixture site;
    std::vector<std::string> busy{};
    unsigned broken_polls = 0;
    bool directory_away = false;
};

// One poll after an outage had no answer, and the runs were started elsewhere beside themselves.
TEST_F(draining_worker, KeepsItsRunsWhenItsRegistrationExpiresInAnOutageOfTheStore)
{
    pass_an_outage(milliseconds{3'400});

    expect_no_second_start();
}

TEST_F(draining_worker, KeepsItsRunsInTwoOutagesOneAfterTheOther)
{
    pass_an_outage(milliseconds{3'400});
    site.time.run_for(milliseconds{500});
    pass_an_outage(milliseconds{600});

    expect_no_second_start();
}

TEST_F(draining_worker, KeepsItsRunsWhenItAnswersAfterItsRegistrationIsGone)
{
    set_listed(false);
    site.time.run_for(seconds{2});
    broken_polls = 1;
    site.time.run_for(seconds{2});

    expect_no_second_start();
}

TEST_F(draining_worker, KeepsItsRunsWhenOnePollBreaksAsItsRegistrationGoes)
{
    broken_polls = 1;
    set_listed(false);
    site.time.run_for(seconds{2});

    expect_no_second_start();
}

// A proxy refused the connections while the registration was missing, and the worker ran on.
TEST_F(draining_worker, KeepsItsRunsWhenConnectionsAreRefusedOnTheWayAfterAnOutage)
{
    directory_away = true;
    site.time.run_for(seconds{2});
    refuse_connections();
    set_listed(false);
    directory_away = false;
    accept_connections_after(milliseconds{1'500});
    set_listed(true);

    expect_no_second_start();
}

// The worker alone was cut off from the store, and then from the leader as well for a moment.
TEST_F(draining_worker, KeepsItsRunsWhenItsHeartbeatsAreLostAndThenItsAnswers)
{
    set_listed(false);
    site.workers.at(busy.front()).answers = false;
    site.time.run_for(seconds{3});
    site.workers.at(busy.front()).answers = true;

    expect_no_second_start();
}

TEST_F(draining_worker, KeepsItsRunsWhenSomebodyElseOverwritesItsRegistration)
{
    site.workers.renew(busy.front());
    refuse_connections();
    site.workers.spoil_registration(busy.front());
    accept_connections_after(milliseconds{1'500});

    expect_no_second_start();
}

TEST_F(draining_worker, KeepsItsRunsWhenAnOutageEndsItsRegistrationAtOnce)
{
    site.workers.renew(busy.front());
    refuse_connections();
    directory_away = true;
    site.time.run_for(milliseconds{300});
    set_listed(false);
    directory_away = false;
    accept_connections_after(milliseconds{1'500});
    set_listed(true);

    expect_no_second_start();
}

TEST_F(draining_worker, ThatRemovesItsRegistrationHasLeft)
{
    site.workers.renew(busy.front());
    site.time.run_for(milliseconds{500});
    site.workers.exit(busy.front());
    site.workers.set_listed(busy.front(), false);

    EXPECT_TRUE(started_again_within(milliseconds{2'500}));
}

TEST_F(draining_worker, ThatRemovesItsRegistrationAndFallsSilentHasLeft)
{
    site.workers.renew(busy.front());
    site.time.run_for(milliseconds{500});
    site.workers.crash(busy.front());
    site.workers.set_listed(busy.front(), false);

    EXPECT_TRUE(started_again_within(seconds{4}));
}

TEST_F(draining_worker, ThatRefusesConnectionsIsWaitedForUntilItsLeasesAreOver)
{
    site.workers.exit(busy.front());
    site.workers.set_listed(busy.front(), false);

    EXPECT_TRUE(started_again_within(longest_wait));
}

TEST_F(draining_worker, ThatRefusesConnectionsAfterAnOutageIsWaitedForUntilItsLeasesAreOver)
{
    directory_away = true;
    site.time.run_for(seconds{3});
    site.workers.exit(busy.front());
    site.workers.set_listed(busy.front(), false);
    directory_away = false;

    EXPECT_TRUE(started_again_within(longest_wait));
}

TEST_F(draining_worker, ThatIsSilentAfterAnOutageIsWaitedForUntilItsLeasesAreOver)
{
    directory_away = true;
    site.time.run_for(seconds{3});
    site.workers.at(busy.front()).answers = false;
    site.workers.set_listed(busy.front(), false);
    directory_away = false;

    EXPECT_TRUE(started_again_within(seconds{20}));
    EXPECT_TRUE(site.workers.doubled().empty());
}

} // namespace
} // namespace poplarstile::tests
