#pragma once

#include "support/site_fixture.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace poplarstile::tests
{

inline constexpr batch::resources worker_capacity{32'000, 65'536, 8};
inline constexpr batch::resources small_task{2'000, 4'000, 1};
inline constexpr const char* deadly_job = "00000000000000dd";
inline constexpr base::milliseconds crash_delay{10};
inline constexpr base::milliseconds away{3'000};
inline constexpr base::milliseconds registration_expiry{4'500};
/// Starts that are allowed when each of them crashes its worker: two further ones after the third.
inline constexpr std::size_t max_starts = 5;

/// How a worker comes back after a crash.
enum class comeback : std::uint8_t { same_id, other_id_at_its_address };

/// Six workers that crash under the starts of deadly tasks, and come back.
class crashing_task_base : public testing::Test
{
protected:
    crashing_task_base()
    {
        site.workers.need = [](const std::string& /*task*/) { return small_task; };
        site.workers.duration = [](const std::string& /*task*/) { return std::chrono::seconds{2}; };
        site.workers.on_start = [this](const fleet::start_order& order) { note_start(order); };
        for (const auto* const id : {"w1", "w2", "w3", "w4", "w5", "w6"}) {
            site.workers.add(id, "r1-1", worker_capacity);
        }
        site.start("vm1");
        EXPECT_NE(site.await_leader(), nullptr);
        site.time.run_for(std::chrono::seconds{1});
    }

    void note_start(const fleet::start_order& order)
    {
        const auto task = batch::to_text(order.task);
        ++starts[task];
        if (deadly(task)) {
            crash_soon(order.to.life.worker, crash_after);
        }
    }

    /// The worker crashes after the delay and comes back some time later.
    void crash_soon(const std::string& worker, base::milliseconds delay)
    {
        site.time.after(delay, [this, worker] {
            if (!site.workers.at(worker).up) {
                return;
            }
            site.workers.crash(worker);
            site.time.after(away, [this, worker] { come_back(worker); });
        });
    }

    void come_back(const std::string& worker)
    {
        if (returning == comeback::same_id) {
            site.workers.restart(worker);
            return;
        }
        site.workers.displace(worker, worker + "'");
        site.time.after(registration_expiry - away,
                        [this, worker] { site.workers.set_listed(worker, false); });
    }

    /// Ends each VM that leads once, a while after a crash, so that no leader sees more than one.
    void change_leaders_after_each_crash(const std::string& task, std::chrono::seconds span)
    {
        const auto until = site.time.now() + span;
        std::size_t seen = 0;
        while (site.time.now() < until && !site.ended_as(deadly_job)) {
            site.time.run_for(base::milliseconds{50});
            if (starts[task] == seen) {
                continue;
            }
            seen = starts[task];
            site.time.run_for(away + base::milliseconds{500});
            auto* const leader = site.leading_vm();
            if (leader != nullptr) {
                const auto name = leader->name;
                site.stop(name);
                ASSERT_NE(site.await_leader(), nullptr);
                site.start(name);
            }
        }
    }

    site_fixture site;
    std::map<std::string, std::size_t> starts;
    std::function<bool(const std::string& task)> deadly = [](const std::string& task) {
        return task.starts_with(deadly_job);
    };
    base::milliseconds crash_after = crash_delay;
    comeback returning = comeback::same_id;
};

} // namespace poplarstile::tests
