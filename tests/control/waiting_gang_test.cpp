#include "support/site_fixture.hpp"

#include <gtest/gtest.h>

#include <map>
#include <string>

/// Gangs that wait beside free workers, for a rack or for workers that they have to themselves.
namespace poplarstile::tests
{
namespace
{

using base::milliseconds;
using std::chrono::seconds;

constexpr batch::resources worker_capacity{32'000, 65'536, 8};
constexpr batch::resources small_task{2'000, 4'000, 1};
constexpr batch::resources whole_worker{30'000, 60'000, 8};
constexpr const char* first_gang = "00000000000000a1";
constexpr const char* second_gang = "00000000000000a2";
/// A gang that finds capacity for twice its work starts within this time.
constexpr seconds longest_wait{3};

class waiting_gang : public testing::Test
{
protected:
    waiting_gang()
    {
        site.workers.need = [this](const std::string& task) {
            return is_gang(task) ? whole_worker : small_task;
        };
        site.workers.gang_size = [this](const std::string& task) {
            return is_gang(task) ? members : 0U;
        };
        site.workers.duration = [](const std::string& /*task*/) { return seconds{40}; };
    }

    void start_site(int racks)
    {
        for (int index = 0; index < 2 * racks; ++index) {
            site.workers.add(fmt::format("w{}", index), rack_name(index / 2), worker_capacity);
        }
        site.start("vm1");
        ASSERT_NE(site.await_leader(), nullptr);
        site.time.run_for(seconds{1});
    }

    [[nodiscard]] bool is_gang(const std::string& task) const
    {
        return task.starts_with(first_gang) || task.starts_with(second_gang);
    }

    static std::string rack_name(int index)
    {
        return fmt::format("r1-{}", index);
    }

    [[nodiscard]] batch::submission make_gang(const std::string& id) const
    {
        auto job = make_job(id, members, whole_worker);
        job.spec.steps.front().gang = true;
        return job;
    }

    [[nodiscard]] std::size_t starts_of(const std::string& job) const
    {
        std::size_t count = 0;
        for (const auto& start : site.workers.starts()) {
            count += start.task.starts_with(job) ? 1 : 0;
        }
        return count;
    }

    static constexpr std::uint32_t members = 2;
    site_fixture site;
};

TEST_F(waiting_gang, IsNotKeptForOneRackWhileMostOfTheCapacityIsFree)
{
    constexpr int racks = 4;
    start_site(racks);
    for (int rack = 0; rack < racks; ++rack) {
        auto job = make_job(fmt::format("{:016x}", rack + 1), 1, small_task);
        job.spec.steps.front().required_label = rack_name(rack);
        site.submit(job);
    }
    site.time.run_for(seconds{2});
    ASSERT_EQ(site.workers.starts().size(), static_cast<std::size_t>(racks));
    auto gang = make_gang(first_gang);
    gang.spec.steps.front().one_rack = true;
    gang.spec.steps.front().estimate = seconds{10};

    site.submit(gang);

    EXPECT_TRUE(
        site.time.run_until([&] { return starts_of(first_gang) == members; }, longest_wait));
}

TEST_F(waiting_gang, ThatIsSuspectedIsNotKeptWaitingBesideIdleWorkers)
{
    constexpr std::size_t crashed_runs = 2;
    start_site(4);
    std::map<std::string, std::size_t> starts;
    site.workers.on_start = [&](const fleet::start_order& order) {
        const auto task = batch::to_text(order.task);
        if (!task.ends_with(".0") || ++starts[task] > crashed_runs) {
            return;
        }
        const auto worker = order.to.life.worker;
        site.time.after(milliseconds{500}, [this, worker] { site.workers.crash(worker); });
        site.time.after(seconds{3}, [this, worker] { site.workers.restart(worker); });
    };
    site.submit(make_gang(first_gang));
    site.submit(make_gang(second_gang));

    const auto third_run = [&](const std::string& job) {
        return starts[job + ".0.0.0"] > crashed_runs;
    };
    ASSERT_TRUE(site.time.run_until([&] { return third_run(first_gang) || third_run(second_gang); },
                                    seconds{60}));

    EXPECT_TRUE(site.time.run_until([&] { return third_run(first_gang) && third_run(second_gang); },
                                    longest_wait))
        << "one of them waits for the other to end";
}

} // namespace
} // namespace poplarstile::tests
