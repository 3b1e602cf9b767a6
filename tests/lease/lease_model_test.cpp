#include "lease/scheduler_lease.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <array>
#include <map>
#include <vector>

namespace poplarstile::lease
{
namespace
{

using base::milliseconds;
using table::commit_state;

constexpr milliseconds renewal{500};
constexpr milliseconds timeout{2'500};
constexpr milliseconds step{50};
constexpr std::size_t vm_count = 3;

/// One VM, what is under way to and from the table, and what it told the worker.
struct model_vm {
    scheduler_lease lease;
    std::vector<std::pair<base::time_point, event>> arriving{};
    base::time_point paused_until{};
    base::time_point woke_at{};
    bool dead = false;
    workers::fencing_token token = 0;
};

/// Several VMs on one table that loses answers and fails, and one worker that keeps the tokens.
class lease_model
{
public:
    lease_model()
    {
        for (std::size_t number = 0; number < vm_count; ++number) {
            vms_.push_back(
                {scheduler_lease{{"vm" + std::to_string(number), "r", "d", renewal, timeout}}});
        }
    }

    void run(milliseconds length)
    {
        for (auto end = now_ + length; now_ < end; now_ += step) {
            for (auto& vm : vms_) {
                run(vm);
            }
        }
    }

    void pause(std::size_t number, milliseconds length)
    {
        vms_[number].paused_until = now_ + length;
    }
    void kill(std::size_t number)
    {
        vms_[number].dead = true;
    }
    void set_table(bool down, bool lose_answers, milliseconds delay)
    {
        down_ = down;
        lose_answers_ = lose_answers;
        delay_ = delay;
    }

    [[nodiscard]] std::optional<std::size_t> holder() const
    {
        for (std::size_t number = 0; number < vms_.size(); ++number) {
            const bool acts = vms_[number].lease.held() && vms_[number].token == greatest_token_;
            if (acts && !vms_[number].dead) {
                return number;
            }
        }
        return std::nullopt;
    }

    [[nodiscard]] bool tokens_grow() const
    {
        return std::ranges::is_sorted(granted_, std::less_equal{});
    }
    /// Orders under a smaller token than the worker had seen from another VM.
    std::size_t refused = 0;
    /// Times at which two VMs had orders accepted under one token.
    std::size_t shared_tokens = 0;

private:
    void run(model_vm& vm)
    {
        if (vm.dead || now_ < vm.paused_until) {
            return;
        }
        if (vm.paused_until != base::time_point{}) {
            vm.paused_until = {};
            take(vm, paused{});
        }
        auto due = std::exchange(vm.arriving, {});
        for (auto& [at, happened] : due) {
            if (at <= now_) {
                take(vm, happened);
            } else {
                vm.arriving.emplace_back(at, std::move(happened));
            }
        }
        take(vm, time_passed{});
        if (vm.lease.held() && vm.lease.confirmed()) {
            order(vm);
        }
    }

    /// The worker's rule: no token smaller than the greatest seen.
    void order(const model_vm& vm)
    {
        if (vm.token < greatest_token_) {
            ++refused;
            return;
        }
        greatest_token_ = vm.token;
        const auto [owner, fresh] = owners_.try_emplace(vm.token, &vm);
        shared_tokens += !fresh && owner->second != &vm ? 1 : 0;
    }

    void take(model_vm& vm, const event& happened)
    {
        for (auto& action : vm.lease.decide(happened, now_)) {
            if (const auto* const read = std::get_if<read_rows>(&action)) {
                vm.arriving.emplace_back(now_ + delay_ + step, answer(*read));
            } else if (const auto* const write = std::get_if<write_rows>(&action)) {
                vm.arriving.emplace_back(now_ + delay_ + step, answer(write->transaction));
            } else if (const auto* const got = std::get_if<gained>(&action)) {
                vm.token = got->token;
                granted_.push_back(got->token);
            }
        }
    }

    rows_read answer(const read_rows& asked)
    {
        if (down_) {
            return {};
        }
        return {true, find(asked.lease_key), find(asked.heartbeat_key)};
    }

    std::optional<table::table_row> find(const std::string& key) const
    {
        const auto found = rows_.find(key);
        return found == rows_.end() ? std::nullopt : std::optional{found->second};
    }

    write_answered answer(const table::table_transaction& asked)
    {
        if (down_) {
            return {{commit_state::unknown, 0, {}}};
        }
        for (const auto& condition : asked.conditions) {
            const auto row = find(condition.key);
            if ((row ? row->version : 0) != condition.version) {
                return {{lose_answers_ ? commit_state::unknown : commit_state::conflict, 0, {}}};
            }
        }
        ++version_;
        for (const auto& write : asked.writes) {
            rows_[write.key] = {write.key, version_, write.value};
        }
        if (lose_answers_) {
            return {{commit_state::unknown, 0, {}}};
        }
        return {{commit_state::committed, version_, {}}};
    }

    base::time_point now_{milliseconds{100'000}};
    std::vector<model_vm> vms_;
    std::map<std::string, table::table_row> rows_;
    table::row_version version_ = 0;
    bool down_ = false;
    bool lose_answers_ = false;
    milliseconds delay_{0};
    std::vector<workers::fencing_token> granted_;
    workers::fencing_token greatest_token_ = 0;
    std::map<workers::fencing_token, const model_vm*> owners_;
};

RC_GTEST_PROP(lease_model, one_holder_for_each_token_whatever_fails, ())
{
    lease_model model;
    const auto faults = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1'000));
    for (const auto fault : faults) {
        const auto vm = static_cast<std::size_t>(fault) % vm_count;
        switch (fault % 7) {
        case 0:
        case 1:
            model.pause(vm, milliseconds{fault * 10});
            break;
        case 2:
            model.set_table(true, false, milliseconds{0});
            break;
        case 3:
            model.set_table(false, true, milliseconds{fault / 2});
            break;
        case 4:
            model.set_table(false, false, milliseconds{fault});
            break;
        default:
            model.set_table(false, false, milliseconds{0});
        }
        model.run(milliseconds{100 + fault * 5});
        RC_ASSERT(model.shared_tokens == 0U);
        RC_ASSERT(model.tokens_grow());
    }
    model.set_table(false, false, milliseconds{0});
    model.run(milliseconds{10'000} + timeout + 2 * renewal);
    RC_ASSERT(model.holder().has_value());
}

TEST(lease_model, another_vm_holds_within_the_timeout_and_two_renewals_after_a_death)
{
    lease_model model;
    model.run(milliseconds{2'000});
    const auto first = model.holder();
    ASSERT_TRUE(first.has_value());

    model.kill(*first);
    model.run(timeout + 2 * renewal);

    ASSERT_TRUE(model.holder().has_value());
    EXPECT_NE(model.holder(), first);
}

TEST(lease_model, a_holder_paused_past_its_lease_sends_no_order_on_waking)
{
    lease_model model;
    model.run(milliseconds{2'000});
    const auto first = model.holder();
    ASSERT_TRUE(first.has_value());

    model.pause(*first, milliseconds{8'000});
    model.run(milliseconds{12'000});

    EXPECT_NE(model.holder(), first);
    EXPECT_EQ(model.refused, 0U) << "it asks the table before it acts";
}

} // namespace
} // namespace poplarstile::lease
