#include "batch/job_codec.hpp"
#include "frontend/api_frontend.hpp"
#include "support/fake_store.hpp"
#include "support/virtual_time.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

/// Questions about a queue that are answered from the store because no leader is heard.
namespace poplarstile::tests
{
namespace
{

using base::milliseconds;
using std::chrono::seconds;

const std::string part_name{"site-0"};
/// More rows of one part than a read returns at once.
constexpr int rows_of_two_pages = 600;

class queue_query : public testing::Test
{
protected:
    queue_query()
    {
        contents.version = 1;
        catalog::queue queue;
        queue.policy = policy;
        queue.host = "host.example";
        queue.prefix = "/queue/";
        contents.queues.push_back(queue);
        contents.workspaces.push_back({"workspace", {"key"}, 0});
        configuration.start();
        time.run_for(seconds{1});
    }

    catalog::configuration_source source()
    {
        catalog::configuration_source made;
        made.read = [this](const std::function<void(catalog::configuration_reply)>& handler) {
            time.after(store.latency, [handler] {
                handler(
                    {store::call_outcome::done, catalog::stored_configuration{1, "document"}, 1});
            });
        };
        made.follow = [this](store::row_version after, milliseconds wait,
                             const std::function<void(catalog::configuration_reply)>& handler) {
            time.after(wait, [handler, after] {
                handler({store::call_outcome::done, std::nullopt, after});
            });
        };
        made.decode = [this](std::string_view /*document*/) {
            return base::result<catalog::contents>{contents};
        };
        return made;
    }

    /// Stores jobs whose ids begin with `first_digit`.
    void store_open_jobs(char first_digit, int count)
    {
        batch::submission job;
        job.workspace = "workspace";
        job.policy = policy;
        job.spec.steps.emplace_back().task_count = 1;
        for (int number = 0; number < count; ++number) {
            job.job = id_of(first_digit, number);
            store.put({"jobs", part_name, job.job}, batch::encode(job));
        }
    }

    void store_ended_jobs(char first_digit, int count)
    {
        const batch::finished_job ended{batch::job_status::completed, "queue", "workspace", {}};
        for (int number = 0; number < count; ++number) {
            store.put({"jobs", part_name, id_of(first_digit, number)}, batch::encode(ended));
        }
    }

    void store_runs(char first_digit, int count)
    {
        for (int number = 0; number < count; ++number) {
            store.put({"runs", part_name, id_of(first_digit, number)}, "{}");
        }
    }

    static std::string id_of(char first_digit, int number)
    {
        return fmt::format("{}{:015x}", first_digit, number);
    }

    std::optional<std::uint32_t> ask_for_waiting_jobs()
    {
        std::optional<std::uint32_t> waiting;
        frontend.handle(
            {frontend::call_kind::show, "host.example", "/queue/", "key", seconds{3}, ""},
            [&waiting](const frontend::caller_answer& answer) {
                if (const auto* const shown = std::get_if<frontend::queue_shown>(&answer)) {
                    waiting = shown->waiting;
                }
            });
        time.run_for(seconds{4});
        return waiting;
    }

    const batch::queue_policy policy{"queue", "service", 1, 3, 3.0, milliseconds{1'000}};
    virtual_time time{};
    fake_store store{time};
    store::row_store rows{store.port("vm")};
    catalog::contents contents{};
    catalog::configuration_source configuration_source{source()};
    catalog::configuration_cache configuration{configuration_source, time.timers()};
    frontend::job_views views{time.timers(), milliseconds{1'000}, 10};
    frontend::api_frontend frontend{
        {&rows, &time.timers(), &configuration, &views, {}, {}, {}},
        {.parts = store::part_map{"site", 1}, .oldest_configuration = seconds{60}}};
};

TEST_F(queue_query, CountsWaitingJobsBehindManyEndedOnes)
{
    store_ended_jobs('0', rows_of_two_pages);
    store_open_jobs('f', 3);

    EXPECT_EQ(ask_for_waiting_jobs(), 3U);
}

TEST_F(queue_query, DoesNotCountStartedJobsBehindManyOtherRuns)
{
    store_open_jobs('0', rows_of_two_pages);
    store_runs('0', rows_of_two_pages);
    store_open_jobs('f', 3);
    store_runs('f', 2);

    EXPECT_EQ(ask_for_waiting_jobs(), 1U);
}

} // namespace
} // namespace poplarstile::tests
