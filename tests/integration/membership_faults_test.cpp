#include "integration/observations.hpp"

#include <algorithm>
#include <atomic>
#include <map>
#include <thread>

namespace poplarstile::integration
{
namespace
{

using base::milliseconds;

constexpr milliseconds leaving_bound{3'000};

class membership_faults : public testing::Test
{
protected:
    void SetUp() override
    {
        auto started = cluster::start({.vms_per_domain = 3, .rules = request_rules()});
        ASSERT_TRUE(started.has_value()) << base::describe(started.error());
        system_ = std::move(started).value();
        ASSERT_TRUE(eventually(milliseconds{5'000}, [&] {
            return std::ranges::all_of(system_->vms(), [&](const std::string& vm) {
                return state_of("centro-vm1", vm) == "alive";
            });
        }));
    }

    std::string state_of(const std::string& seen_by, const std::string& vm)
    {
        const auto status = system_->status(seen_by);
        if (status.is_object()) {
            for (const auto& member : status["members"]) {
                if (member["id"] == vm) {
                    return member["state"];
                }
            }
        }
        return {};
    }

    /// The state stays what it is for a while.
    void expect_stays(const std::string& seen_by, const std::string& vm, const std::string& state,
                      milliseconds length)
    {
        EXPECT_FALSE(eventually(length, [&] { return state_of(seen_by, vm) != state; }))
            << seen_by << " sees " << vm << " as " << state_of(seen_by, vm);
    }

    std::unique_ptr<cluster> system_;
};

TEST_F(membership_faults, a_leaving_vm_is_known_everywhere_and_takes_no_work_within_three_seconds)
{
    const auto asked = base::now();
    (void)system_->operator_call("centro-vm2", {.method = "POST", .url = "/v1/drain"});

    EXPECT_TRUE(eventually(leaving_bound, [&] {
        const auto first = state_of("centro-vm1", "centro-vm2");
        const auto third = state_of("centro-vm3", "centro-vm2");
        return (first == "leaving" || first == "dead") && (third == "leaving" || third == "dead");
    }));
    report_ms("drain_to_known", ms_since(asked));
    const auto got = system_->request("centro-vm2", {.key = "late", .marker = "late"});
    EXPECT_NE(got.told, bench::checker::answer::completed);
    EXPECT_EQ(system_->executions_of("late"), 0U);
}

TEST_F(membership_faults, two_vms_that_do_not_see_each_other_stay_alive_through_a_third)
{
    system_->set_link("centro-vm1", "peer-centro-vm3", "blackhole");
    system_->set_link("centro-vm3", "peer-centro-vm1", "blackhole");
    wait(milliseconds{500});

    EXPECT_FALSE(eventually(milliseconds{6'000}, [&] {
        return state_of("centro-vm1", "centro-vm3") == "dead" ||
               state_of("centro-vm3", "centro-vm1") == "dead";
    }));
}

TEST_F(membership_faults, a_one_way_cut_declares_nobody_dead)
{
    system_->set_link("centro-vm1", "peer-centro-vm3", "blackhole");
    wait(milliseconds{500});

    EXPECT_FALSE(eventually(milliseconds{6'000}, [&] {
        return state_of("centro-vm2", "centro-vm3") == "dead" ||
               state_of("centro-vm1", "centro-vm3") == "dead";
    }));
}

TEST_F(membership_faults, a_vm_cut_off_both_ways_is_found_dead_and_comes_back)
{
    cut_from_peers(*system_, "centro-vm3", "blackhole");
    EXPECT_TRUE(eventually(milliseconds{9'000},
                           [&] { return state_of("centro-vm1", "centro-vm3") == "dead"; }));

    system_->heal_links();

    EXPECT_TRUE(eventually(milliseconds{8'000}, [&] {
        return state_of("centro-vm1", "centro-vm3") == "alive" &&
               state_of("centro-vm3", "centro-vm1") == "alive";
    }));
}

TEST_F(membership_faults, all_vms_are_replaced_under_load_without_a_lost_answer)
{
    std::atomic<bool> done{false};
    std::atomic<int> next{0};
    std::thread caller{[&] {
        while (!done) {
            const auto number = next++;
            const auto& vm = system_->vms()[static_cast<std::size_t>(number) % 3];
            const auto marker = fmt::format("roll-{}", number);
            (void)system_->request(
                vm,
                {.service = number % 2 == 0 ? "sheet" : "chart", .key = marker, .marker = marker});
            wait(milliseconds{10});
        }
    }};
    std::map<std::string, std::int64_t> restarted_us;
    for (const auto& vm : system_->vms()) {
        system_->terminate_vm(vm);
        EXPECT_EQ(system_->vm(vm).wait_for_exit(milliseconds{10'000}), 0) << vm;
        restarted_us[vm] = base::wall_clock_us();
        EXPECT_TRUE(system_->restart_vm(vm)) << vm;
    }
    done = true;
    caller.join();

    // The new process of a VM is another one to the checker: it is not the one that was leaving.
    auto seen = system_->history();
    for (auto& note : seen.requests) {
        if (note.sent >= restarted_us[note.vm]) {
            note.vm += "-replaced";
        }
    }
    const auto found = bench::checker::check(seen, {});
    EXPECT_TRUE(found.empty()) << describe(found);
    EXPECT_FALSE(await_scheduler(*system_, "centro").empty());
}

} // namespace
} // namespace poplarstile::integration
