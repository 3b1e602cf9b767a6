#include "bench/checker/records.hpp"

#include <gtest/gtest.h>

namespace poplarstile::bench::checker
{
namespace
{

TEST(add_records, reads_executions_and_tasks)
{
    history seen;

    const auto read = add_records(
        R"({"executions":[{"worker":"w1","request":"r","attempt":"a","service":"preview",
            "idempotent":true,"marker":"m","started_us":5,"ended_us":9,"outcome":"completed"}],
            "tasks":[{"worker":"w1","task":"t","job":"j","gang_size":4,"member":2,"token":65536,
            "domain":"bole","held_us":1,"released_us":2,"ended_us":0,"state":"running",
            "progress_ms":0,"accelerators":[0,1]}],"leaving":[]})",
        seen);

    ASSERT_TRUE(read.has_value()) << base::describe(read.error());
    ASSERT_EQ(seen.executions.size(), 1);
    EXPECT_EQ(seen.executions[0].marker, "m");
    EXPECT_EQ(seen.executions[0].started, 5);
    ASSERT_EQ(seen.tasks.size(), 1);
    EXPECT_EQ(seen.tasks[0].member, 2);
    EXPECT_EQ(seen.tasks[0].accelerators, (std::vector<std::uint32_t>{0, 1}));
}

TEST(add_records, takes_a_request_without_a_marker)
{
    history seen;

    const auto read = add_records(
        R"({"executions":[{"worker":"w1","marker":null,"started_us":5}],"tasks":[]})", seen);

    ASSERT_TRUE(read.has_value()) << base::describe(read.error());
    EXPECT_TRUE(seen.executions.at(0).marker.empty());
}

TEST(add_records, refuses_an_answer_that_is_cut_short)
{
    history seen;

    const auto read = add_records(R"({"executions":[)", seen);

    ASSERT_FALSE(read.has_value());
    EXPECT_EQ(read.error().code, base::error_code::worker_answer_invalid);
}

TEST(add_platform_counts, reads_what_the_platform_counted)
{
    history seen;

    const auto read = add_platform_counts(R"({"transactions":7,"reads":9,"refused":1})", seen);

    ASSERT_TRUE(read.has_value()) << base::describe(read.error());
    EXPECT_EQ(seen.platform.transactions, 7);
    EXPECT_EQ(seen.platform.reads, 9);
    EXPECT_EQ(seen.platform.refused, 1);
}

TEST(add_faults, reads_a_fault_a_line)
{
    history seen;

    const auto read = add_faults("{\"wall_us\":7,\"kind\":\"kill_vm\",\"subject\":\"vm-1\"}\n\n"
                                 "{\"wall_us\":8,\"kind\":\"drain_vm\",\"subject\":\"vm-2\"}\n",
                                 seen);

    ASSERT_TRUE(read.has_value()) << base::describe(read.error());
    ASSERT_EQ(seen.faults.size(), 2);
    EXPECT_EQ(seen.faults[1].kind, fault_kind::drain_vm);
    EXPECT_EQ(seen.faults[1].subject, "vm-2");
}

TEST(add_faults, names_the_line_of_an_unknown_kind)
{
    history seen;

    const auto read = add_faults("\n{\"wall_us\":7,\"kind\":\"flood\",\"subject\":\"vm-1\"}", seen);

    ASSERT_FALSE(read.has_value());
    EXPECT_EQ(read.error().place, "faults file line 2");
}

TEST(parse_worker_config, reads_places_and_control_address)
{
    const auto read = parse_worker_config(
        R"({"address":"127.0.0.1","control_port":7000,"usage_lag_ms":500,"workers":[{"id":"w1",
            "failure_domain":"bole","rack":"r1","position":3,"port":7001,"accelerators":8,
            "slots":8}]})");

    ASSERT_TRUE(read.has_value()) << base::describe(read.error());
    EXPECT_EQ(read.value().control_address, "127.0.0.1:7000");
    ASSERT_EQ(read.value().workers.size(), 1);
    EXPECT_EQ(read.value().workers[0].position, 3);
}

} // namespace
} // namespace poplarstile::bench::checker
