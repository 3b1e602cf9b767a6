#include "batch/job_codec.hpp"
#include "frontend/api_frontend.hpp"
#include "support/fake_store.hpp"
#include "support/fixed_configuration.hpp"

#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

/// A VM that is suspended during a call does not go on with it when its caller has gone: the row
/// of the job may have been removed meanwhile.
namespace poplarstile::tests
{
namespace
{

using base::milliseconds;
using std::chrono::seconds;

constexpr const char* id = "0000000000000001";
constexpr seconds suspension{200};

class suspended_vm : public testing::Test
{
protected:
    suspended_vm()
    {
        timers_.after = [this](milliseconds delay, std::function<void()> action) {
            time.after(delay, [this, action = std::move(action)] { run(action); });
        };
        rows_.commit = on_this_vm(rows_.commit);
        rows_.read = on_this_vm(rows_.read);
        configuration_.start();
        frontend::frontend_ports ports;
        ports.rows = &rows_;
        ports.time = &timers_;
        ports.configuration = &configuration_;
        ports.views = &views_;
        ports.on_stored = [](const store::row& /*row*/) {};
        ports.on_uncertain_submission = [](const std::string& /*job*/) {};
        ports.decode = [](std::string_view /*body*/) {
            batch::job_spec spec;
            spec.steps.emplace_back().task_count = 1;
            return base::result<batch::job_spec>{spec};
        };
        frontend::frontend_options options;
        options.parts = parts_;
        options.oldest_configuration = seconds{60};
        frontend_ = std::make_unique<frontend::api_frontend>(std::move(ports), options);
    }

    void handle(frontend::call_kind kind)
    {
        frontend::caller_call call{kind,         "host.example",      std::string{"/queue/"} + id,
                                   std::nullopt, milliseconds{3'000}, {}};
        frontend_->handle(call, [this](const frontend::caller_answer& given) { answer = given; });
    }

    /// The first write is refused, so that it is repeated after a pause.
    void refuse_first_write()
    {
        store.decide = [writes = 0](const std::string& /*vm*/, bool is_write) mutable {
            const bool refused = is_write && ++writes == 1;
            return refused ? fake_store::fate::refuse : fake_store::fate::serve;
        };
    }

    /// Nothing of the VM runs; what is due meanwhile runs afterwards.
    void suspend()
    {
        suspended_ = true;
        time.run_for(suspension);
        suspended_ = false;
        for (const auto& action : std::exchange(held_, {})) {
            action();
        }
        time.run_for(seconds{5});
    }

    virtual_time time{};
    fake_store store{time};
    store::part_map parts_{"site", 4};
    std::optional<frontend::caller_answer> answer{};

private:
    void run(const std::function<void()>& action)
    {
        if (suspended_) {
            held_.push_back(action);
        } else {
            action();
        }
    }

    /// The same call of the store; its reply waits while the VM is suspended.
    template <class Request, class Reply>
    std::function<void(Request, std::function<void(Reply)>)>
    on_this_vm(const std::function<void(Request, std::function<void(Reply)>)>& call)
    {
        return [this, call](Request request, std::function<void(Reply)> handler) {
            call(std::move(request), [this, handler = std::move(handler)](Reply reply) {
                run([handler, reply] { handler(reply); });
            });
        };
    }

    bool suspended_ = false;
    std::vector<std::function<void()>> held_{};
    base::timers timers_ = time.timers();
    store::row_store rows_ = store.port("vm1");
    catalog::configuration_source source_ = fixed_configuration(one_open_queue());
    catalog::configuration_cache configuration_{source_, time.timers()};
    frontend::job_views views_{time.timers(), milliseconds{1'000}, 100};
    std::unique_ptr<frontend::api_frontend> frontend_{};
};

TEST_F(suspended_vm, DoesNotRepeatASubmissionWhoseCallerHasGone)
{
    refuse_first_write();
    handle(frontend::call_kind::submit);
    // The refusal has arrived; the pause before the next try has begun.
    time.run_for(milliseconds{20});
    suspend();

    EXPECT_TRUE(store.all("jobs").empty());
    ASSERT_TRUE(answer.has_value());
    EXPECT_TRUE(std::holds_alternative<frontend::call_refused>(*answer));
}

TEST_F(suspended_vm, RepeatsASubmissionWhoseCallerStillWaits)
{
    refuse_first_write();
    handle(frontend::call_kind::submit);
    time.run_for(seconds{3});

    EXPECT_EQ(store.all("jobs").size(), 1U);
    ASSERT_TRUE(answer.has_value());
    EXPECT_TRUE(std::holds_alternative<frontend::job_accepted>(*answer));
}

TEST_F(suspended_vm, DoesNotRepeatACancelWhoseCallerHasGone)
{
    batch::submission accepted;
    accepted.job = id;
    accepted.policy.queue = "queue";
    store.put({"jobs", parts_.name(parts_.home_of(id)), id}, batch::encode(accepted));
    refuse_first_write();
    handle(frontend::call_kind::cancel);
    // The job has been found and its cancel was refused.
    time.run_for(milliseconds{30});
    suspend();

    EXPECT_EQ(store.all("jobs").size(), 1U);
    ASSERT_TRUE(answer.has_value());
}

TEST_F(suspended_vm, DoesNotStoreACancelAfterAReadThatOutlastedItsCaller)
{
    batch::submission accepted;
    accepted.job = id;
    accepted.policy.queue = "queue";
    store.put({"jobs", parts_.name(parts_.home_of(id)), id}, batch::encode(accepted));
    handle(frontend::call_kind::cancel);
    // The read of the job's row is under way.
    time.run_for(milliseconds{2});
    suspend();

    EXPECT_EQ(store.all("jobs").size(), 1U);
    ASSERT_TRUE(answer.has_value());
}

} // namespace
} // namespace poplarstile::tests
