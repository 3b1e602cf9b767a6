#include "integration/observations.hpp"

#include <algorithm>
#include <future>

namespace poplarstile::integration
{
namespace
{

using base::milliseconds;
using nlohmann::json;

constexpr milliseconds in_force_bound{3'000};

json body_of(const net::http_reply& reply)
{
    return json::parse(reply.body, nullptr, false);
}

class rules_spread : public testing::Test
{
protected:
    void SetUp() override
    {
        auto started = cluster::start({.domains = {"centro", "sur"},
                                       .vms_per_domain = 3,
                                       .workers_per_domain = 1,
                                       .rules = request_rules()});
        ASSERT_TRUE(started.has_value()) << base::describe(started.error());
        system_ = std::move(started).value();
        ASSERT_TRUE(eventually(milliseconds{5'000}, [&] { return everywhere(1); }));
    }

    /// The first rules with one more line.
    static std::string with(const std::string& line)
    {
        return request_rules() + line + "    # asked by: tests\n";
    }

    bool everywhere(std::uint64_t version, const std::string& but = {})
    {
        return std::ranges::all_of(system_->vms(), [&](const std::string& vm) {
            return vm == but || rules_version(*system_, vm) >= version;
        });
    }

    std::unique_ptr<cluster> system_;
};

TEST_F(rules_spread, an_accepted_change_is_in_force_everywhere_within_three_seconds)
{
    for (std::uint64_t version = 2; version <= 4; ++version) {
        const auto text = with(fmt::format("class extra deadline {}s", version));
        const auto reply = apply(*system_, "sur-vm3", text, version - 1, "owner");
        ASSERT_EQ(reply.status, 200) << reply.body;
        const auto accepted = base::now();

        EXPECT_TRUE(eventually(in_force_bound, [&] { return everywhere(version); }));

        report_ms("accepted_to_in_force", ms_since(accepted));
    }
}

TEST(rules_spread_with_default_times, an_accepted_change_is_in_force_everywhere_in_three_seconds)
{
    auto started = cluster::start({.domains = {"centro", "sur", "norte"},
                                   .vms_per_domain = 3,
                                   .workers_per_domain = 1,
                                   .rules = request_rules(),
                                   .settings = default_times()});
    ASSERT_TRUE(started.has_value()) << base::describe(started.error());
    auto& system = *started.value();
    for (std::uint64_t version = 2; version <= 6; ++version) {
        const auto line = fmt::format("class extra deadline {}s    # asked by: tests\n", version);
        const auto reply = apply(system, "sur-vm3", request_rules() + line, version - 1, "owner");
        ASSERT_EQ(reply.status, 200) << reply.body;
        const auto accepted = base::now();

        EXPECT_TRUE(eventually(in_force_bound, [&] {
            return std::ranges::all_of(system.vms(), [&](const std::string& vm) {
                return rules_version(system, vm) >= version;
            });
        }));

        report_ms("accepted_to_in_force_default_times", ms_since(accepted));
    }
}

TEST_F(rules_spread, two_operators_on_one_line_see_both_sides)
{
    auto first = std::async(std::launch::async, [&] {
        return apply(*system_, "centro-vm1", with("class extra deadline 2s"), 1, "ana");
    });
    const auto second = apply(*system_, "sur-vm1", with("class extra deadline 9s"), 1, "bekele");
    const auto replies = std::vector{first.get(), second};

    const auto accepted = std::ranges::count(replies, 200, &net::http_reply::status);
    EXPECT_EQ(accepted, 1);
    const auto refused = std::ranges::find(replies, 409, &net::http_reply::status);
    ASSERT_NE(refused, replies.end()) << replies[0].body << replies[1].body;
    const auto conflict = body_of(*refused)["conflicts"].at(0);
    EXPECT_EQ(conflict["line"], "class extra");
    EXPECT_NE(conflict["yours"], conflict["theirs"]);
    EXPECT_TRUE(conflict["author"] == "ana" || conflict["author"] == "bekele");
}

TEST_F(rules_spread, two_operators_on_different_lines_both_get_their_rule)
{
    auto first = std::async(std::launch::async, [&] {
        return apply(*system_, "centro-vm1", with("class one"), 1, "ana");
    });
    const auto second = apply(*system_, "sur-vm1", with("class two"), 1, "bekele");
    ASSERT_EQ(first.get().status, 200);
    ASSERT_EQ(second.status, 200) << second.body;

    EXPECT_TRUE(eventually(in_force_bound, [&] { return everywhere(3); }));

    const auto text = body_of(system_->operator_call("centro-vm2", {.url = "/v1/rules"}))["text"];
    EXPECT_NE(text.get<std::string>().find("class one"), std::string::npos);
    EXPECT_NE(text.get<std::string>().find("class two"), std::string::npos);
}

TEST_F(rules_spread, identical_changes_raced_are_one_change)
{
    auto first = std::async(std::launch::async, [&] {
        return apply(*system_, "centro-vm1", with("class same"), 1, "ana");
    });
    const auto second = apply(*system_, "sur-vm1", with("class same"), 1, "bekele");
    const auto one = first.get();

    ASSERT_EQ(one.status, 200) << one.body;
    ASSERT_EQ(second.status, 200) << second.body;
    EXPECT_EQ(body_of(one)["version"], body_of(second)["version"]);
    EXPECT_EQ(system_->rows("rules/log/").size(), 2U);
}

TEST_F(rules_spread, a_change_whose_answer_was_lost_is_accepted_once)
{
    system_->set_platform({{"lose_answers", 1.0}});
    const auto asked = base::now();
    const auto reply = apply(*system_, "centro-vm2", with("class lost"), 1, "owner");
    const auto took = base::now() - asked;
    system_->set_platform({{"lose_answers", 0.0}});
    EXPECT_GE(took, milliseconds{100}) << "no second try was needed, so no answer was lost";

    EXPECT_EQ(reply.status, 200) << reply.body;
    EXPECT_EQ(system_->rows("rules/log/").size(), 2U);
    EXPECT_TRUE(eventually(in_force_bound, [&] { return everywhere(2); }));
}

TEST_F(rules_spread, a_vm_restarted_while_the_platform_is_down_takes_its_peers_newest_rules)
{
    ASSERT_EQ(apply(*system_, "centro-vm1", with("class newer"), 1, "owner").status, 200);
    ASSERT_TRUE(eventually(in_force_bound, [&] { return everywhere(2); }));
    system_->set_platform({{"down", true}});
    system_->kill_vm("centro-vm2");

    ASSERT_TRUE(system_->restart_vm("centro-vm2", false));

    std::vector<std::uint64_t> ready_with;
    EXPECT_TRUE(eventually(milliseconds{8'000}, [&] {
        const auto status = system_->status("centro-vm2");
        if (status.is_object() && status.value("ready", false)) {
            ready_with.push_back(status.value("rules_version", std::uint64_t{0}));
        }
        return !ready_with.empty();
    }));
    ASSERT_FALSE(ready_with.empty());
    EXPECT_EQ(ready_with.front(), 2U) << "it took work with older rules than it had before";
}

TEST_F(rules_spread, a_vm_that_is_cut_off_says_so_and_catches_up)
{
    const std::string cut = "sur-vm2";
    cut_from_peers(*system_, cut);
    system_->set_link(cut, "platform", "cut");
    ASSERT_EQ(apply(*system_, "centro-vm1", with("class newer"), 1, "owner").status, 200);
    ASSERT_TRUE(eventually(in_force_bound, [&] { return everywhere(2, cut); }));

    const auto shown = body_of(system_->operator_call(cut, {.url = "/v1/rules"}));
    EXPECT_EQ(shown["version"], 1);
    EXPECT_EQ(shown["confirmed"], false) << "a stale read has to be told from a fresh one";
    EXPECT_EQ(apply(*system_, cut, with("class other"), 1, "cut").status, 503)
        << "nothing is accepted that the table did not accept";

    system_->heal_links();
    EXPECT_TRUE(eventually(milliseconds{6'000}, [&] { return everywhere(2); }));
}

} // namespace
} // namespace poplarstile::integration
