#include "support/breaking_server.hpp"
#include "workers/worker_client.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <future>

/// An order that a worker carried out, whose kept connection broke before the answer.
namespace poplarstile::workers
{
namespace
{

task_answer::kind stop(worker_client& orders, const std::string& address)
{
    std::promise<task_answer::kind> answered;
    orders.order(address, "task", "stop", 1, std::chrono::seconds{1},
                 [&answered](const task_answer& answer) { answered.set_value(answer.result); });
    return answered.get_future().get();
}

TEST(order_resend, WhatMayHaveReachedItsWorkerIsNotSentAgain)
{
    tests::breaking_server worker{"{", tests::busy_answer};
    const auto client = net::http_client::start({}).value();
    worker_client orders{*client};
    (void)stop(orders, worker.address);

    EXPECT_EQ(stop(orders, worker.address), task_answer::kind::lost);
    EXPECT_EQ(worker.first_calls, 2);
    EXPECT_EQ(worker.later_calls, 0);
}

} // namespace
} // namespace poplarstile::workers
