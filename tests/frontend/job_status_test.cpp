#include "batch/job_codec.hpp"
#include "frontend/api_frontend.hpp"
#include "support/fake_store.hpp"
#include "support/fixed_configuration.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>
#include <variant>

/// What a VM without a leader's heartbeats answers about a job, from the rows of the store alone.
namespace poplarstile::tests
{
namespace
{

using base::milliseconds;
using std::chrono::seconds;

constexpr const char* id = "0000000000000001";

class job_status_of_stored_rows : public testing::Test
{
protected:
    job_status_of_stored_rows()
    {
        configuration_.start();
        frontend::frontend_ports ports;
        ports.rows = &rows_;
        ports.time = &time.timers();
        ports.configuration = &configuration_;
        ports.views = &views_;
        frontend::frontend_options options;
        options.parts = parts_;
        options.oldest_configuration = seconds{60};
        frontend_ = std::make_unique<frontend::api_frontend>(std::move(ports), options);
    }

    [[nodiscard]] store::row_id row(const std::string& table) const
    {
        return {table, parts_.name(parts_.home_of(id)), id};
    }

    void store_running_job()
    {
        batch::submission accepted;
        accepted.job = id;
        accepted.policy.queue = "queue";
        accepted.spec.steps.emplace_back().task_count = 1;
        store.put(row("jobs"), batch::encode(accepted));
        store.put(row("runs"), "a record of runs");
    }

    /// The leader stores the end of the job.
    void store_end()
    {
        store::transaction end;
        end.puts.push_back(
            {row("jobs"), batch::encode(batch::finished_job{batch::job_status::completed, "queue",
                                                            "", std::nullopt})});
        end.removes.push_back(row("runs"));
        rows_.commit(end, [](const store::commit_reply& /*reply*/) {});
    }

    /// Asks for the job; `answer()` is set when it is answered.
    void ask()
    {
        frontend::caller_call call{frontend::call_kind::show,   "host.example",
                                   std::string{"/queue/"} + id, std::nullopt,
                                   milliseconds{3'000},         {}};
        frontend_->handle(call, [this](const frontend::caller_answer& given) { answer_ = given; });
    }

    [[nodiscard]] std::optional<batch::job_status> await_status()
    {
        time.run_until([this] { return answer_.has_value(); }, seconds{4});
        const auto* const shown = answer_ ? std::get_if<frontend::job_shown>(&*answer_) : nullptr;
        return shown == nullptr ? std::nullopt : std::optional{shown->status};
    }

    virtual_time time{};
    fake_store store{time};

private:
    store::row_store rows_ = store.port("vm1");
    store::part_map parts_{"site", 4};
    catalog::configuration_source source_ = fixed_configuration(one_open_queue());
    catalog::configuration_cache configuration_{source_, time.timers()};
    frontend::job_views views_{time.timers(), milliseconds{1'000}, 100};
    std::unique_ptr<frontend::api_frontend> frontend_{};
    std::optional<frontend::caller_answer> answer_{};
};

TEST_F(job_status_of_stored_rows, ARunningJobIsNotShownAsPendingWhenTheReadOfItsRunsFails)
{
    store_running_job();
    const auto sent = time.now();
    store.decide = [this, sent](const std::string& /*vm*/, bool /*is_write*/) {
        // The read of the job's row is answered, that of its runs is not.
        const bool lost = time.now() > sent && time.now() < sent + milliseconds{50};
        return lost ? fake_store::fate::swallow : fake_store::fate::serve;
    };

    ask();

    EXPECT_EQ(await_status(), batch::job_status::running);
}

TEST_F(job_status_of_stored_rows, AJobThatEndsBetweenTheReadsIsNotShownAsPending)
{
    store_running_job();

    ask();
    // The read of the job's row has reached the store, that of its runs has not.
    time.run_for(store.latency + milliseconds{1});
    store_end();

    EXPECT_EQ(await_status(), batch::job_status::completed);
}

TEST_F(job_status_of_stored_rows, AJobWhoseRecordShowsNoRunIsShownAsPending)
{
    // A leader records a job outside its home part before it can place it.
    store_running_job();
    batch::submission accepted;
    accepted.job = id;
    accepted.spec.steps.emplace_back();
    store.put(row("runs"), batch::encode_runs(batch::job{accepted}));

    ask();

    EXPECT_EQ(await_status(), batch::job_status::pending);
}

} // namespace
} // namespace poplarstile::tests
