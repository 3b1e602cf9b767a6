#include "net/http_client.hpp"
#include "standins/worker_standin/worker_host.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <thread>

namespace poplarstile::standins::worker_standin
{
namespace
{

class worker_address : public testing::Test
{
protected:
    void SetUp() override
    {
        host =
            worker_host::start({.workers = {{.id = "w1", .failure_domain = "bole", .rack = "r1"}}})
                .value();
        client = net::http_client::start({}).value();
    }

    net::http_reply post(std::uint16_t port, std::string_view path, const json& body)
    {
        return client->send_and_wait({.method = "POST",
                                      .url = fmt::format("http://127.0.0.1:{}{}", port, path),
                                      .body = body.dump(),
                                      .timeout = base::milliseconds{300}});
    }

    net::http_reply execute(const std::string& attempt)
    {
        return post(host->worker_ports().front(), "/v1/execute",
                    {{"request", "r"}, {"attempt", attempt}, {"body", {{"marker", 7}}}});
    }

    net::http_reply set_faults(const json& faults)
    {
        return post(host->control_port(), "/control/workers/w1", faults);
    }

    json records()
    {
        const auto url = fmt::format("http://127.0.0.1:{}/records", host->control_port());
        return json::parse(client->send_and_wait({.url = url}).body);
    }

    std::unique_ptr<worker_host> host;
    std::unique_ptr<net::http_client> client;
};

TEST_F(worker_address, message_delivered_twice_runs_once)
{
    ASSERT_TRUE(set_faults({{"answer_twice", true}}).ok());

    const auto reply = execute("a");

    ASSERT_TRUE(reply.ok()) << reply.failure;
    EXPECT_EQ(json::parse(reply.body).at("body").at("echo"), 7);
    EXPECT_EQ(records().at("executions").size(), 1U);
}

TEST_F(worker_address, silent_worker_runs_what_it_does_not_answer)
{
    ASSERT_TRUE(set_faults({{"silent", true}}).ok());

    const auto reply = execute("a");

    EXPECT_EQ(reply.outcome, net::delivery::lost);
    EXPECT_EQ(records().at("executions").at(0).at("outcome"), "completed");
}

TEST_F(worker_address, lease_expires_without_any_further_call)
{
    const auto port = host->worker_ports().front();
    ASSERT_TRUE(post(port, "/v1/tasks",
                     {{"token", 65'536},
                      {"domain", "bole"},
                      {"task", "t1"},
                      {"job", "j"},
                      {"gang_size", 1},
                      {"member", 0},
                      {"accelerators", {0}},
                      {"lease_ms", 50},
                      {"payload", {{"run_ms", 60'000}}}})
                    .ok());
    ASSERT_TRUE(post(port, "/v1/tasks/t1/release", {{"token", 65'536}}).ok());

    std::this_thread::sleep_for(base::milliseconds{300});

    EXPECT_EQ(records().at("tasks").at(0).at("state"), "expired");
}

TEST_F(worker_address, leaving_worker_refuses_work_and_is_recorded)
{
    ASSERT_TRUE(set_faults({{"leaving", true}}).ok());

    EXPECT_EQ(execute("a").status, 503);
    EXPECT_EQ(records().at("leaving").at(0).at("worker"), "w1");
}

} // namespace
} // namespace poplarstile::standins::worker_standin
