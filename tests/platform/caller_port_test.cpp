#include "batch/job_validation.hpp"
#include "platform/caller_port.hpp"

#include <gtest/gtest.h>

namespace poplarstile::platform
{
namespace
{

net::http_request request(std::string method, std::string path)
{
    net::http_request made;
    made.method = std::move(method);
    made.path = std::move(path);
    return made;
}

TEST(caller_port, MethodsNameTheKindOfCall)
{
    EXPECT_EQ(decode_call(request("POST", "/q/1"))->kind, frontend::call_kind::submit);
    EXPECT_EQ(decode_call(request("GET", "/q/1"))->kind, frontend::call_kind::show);
    EXPECT_EQ(decode_call(request("DELETE", "/q/1"))->kind, frontend::call_kind::cancel);
    EXPECT_FALSE(decode_call(request("PATCH", "/q/1")));
}

TEST(caller_port, HostKeyAndPatienceComeFromTheHeaders)
{
    auto made = request("GET", "/q/1");
    made.headers = {{"Host", "shop.example"}, {"Key", "k-1"}, {"Deadline-Ms", "1200"}};

    const auto call = decode_call(made);

    EXPECT_EQ(call->host, "shop.example");
    EXPECT_EQ(call->key, "k-1");
    EXPECT_EQ(call->timeout, base::milliseconds{1'200});
}

TEST(caller_port, APatienceThatIsNoNumberLeavesTheUsualOne)
{
    auto made = request("GET", "/q/1");
    made.headers = {{"Deadline-Ms", "soon"}};

    EXPECT_EQ(decode_call(made)->timeout, frontend::caller_call{}.timeout);
}

TEST(caller_port, ASubmissionIsReadWhole)
{
    const auto spec = decode_submission(R"({"spec":"text","steps":[
        {"count":4,"cpu":500,"mem_mb":256,"gpu":2,"estimate_ms":900,"data_rack":"r1-3","gang":true,
         "same_rack":true},
        {"count":20,"after":[0],"checkpointing":true,"max_per_server":3,"required_label":"b"}],
        "repeat_count":2,"first_ms":1000,"interval_ms":50})");

    ASSERT_TRUE(spec.has_value());
    const auto& read = spec.value();
    EXPECT_EQ(read.payload, "text");
    ASSERT_EQ(read.steps.size(), 2U);
    EXPECT_EQ(read.steps.at(0).need, (batch::resources{500, 256, 2}));
    EXPECT_TRUE(read.steps.at(0).gang && read.steps.at(0).one_rack);
    EXPECT_EQ(read.steps.at(0).data_rack, "r1-3");
    EXPECT_EQ(read.steps.at(1).after, std::vector<std::uint32_t>{0});
    EXPECT_TRUE(read.steps.at(1).checkpoints);
    EXPECT_EQ(read.steps.at(1).max_per_worker, 3U);
    ASSERT_TRUE(read.repeat.has_value());
    EXPECT_EQ(read.repeat->interval_ms, 50);
}

TEST(caller_port, UnknownMembersAreIgnored)
{
    EXPECT_TRUE(decode_submission(R"({"steps":[{"count":1,"colour":"red"}],"new":1})").has_value());
}

class bad_submission : public testing::TestWithParam<const char*>
{
};

TEST_P(bad_submission, IsMalformed)
{
    const auto read = decode_submission(GetParam());

    ASSERT_FALSE(read.has_value());
    EXPECT_EQ(read.error().code, base::error_code::request_malformed);
}

INSTANTIATE_TEST_SUITE_P(caller_port, bad_submission,
                         testing::Values("", "{", "[]", "{}", R"({"steps":7})",
                                         R"({"steps":[{"count":"four"}]})", R"({"steps":[3]})",
                                         R"({"steps":[{"count":1,"after":"0"}]})"));

TEST(caller_port, ADeeplyNestedSubmissionIsGivenUpBeforeItTakesMemory)
{
    constexpr std::size_t depth = 4'000'000;
    const std::string body = R"({"steps":[{"count":1}],"new":)" + std::string(depth, '[');

    const auto read = decode_submission(body);

    ASSERT_FALSE(read.has_value());
    EXPECT_NE(read.error().detail.find("nested"), std::string::npos) << read.error().detail;
}

// Guards against a body within the limit whose steps take a hundred times its length when read.
TEST(caller_port, MoreStepsThanAJobMayHaveAreRefusedUnread)
{
    std::string body = R"({"spec":"x","steps":[{"count":"unread"})";
    for (std::size_t step = 0; step < batch::max_steps; ++step) {
        body += ",{}";
    }

    const auto read = decode_submission(body + "]}");

    ASSERT_FALSE(read.has_value());
    EXPECT_EQ(read.error().detail, "201 steps, at most 200");
}

TEST(caller_port, AnswersHaveTheirStatus)
{
    const auto status = [](const frontend::caller_answer& answer) {
        return encode_answer(answer).status;
    };

    EXPECT_EQ(status(frontend::job_accepted{}), 200);
    EXPECT_EQ(status(frontend::cancel_accepted{}), 200);
    EXPECT_EQ(status(frontend::call_outcome_unknown{}), 504);
    EXPECT_EQ(status(frontend::no_such_queue{}), 404);
    EXPECT_EQ(status(frontend::no_such_job{}), 410);
    EXPECT_EQ(status(frontend::key_unknown{}), 401);
    EXPECT_EQ(status(frontend::key_of_another_workspace{}), 403);
    EXPECT_EQ(status(frontend::call_malformed{"why"}), 400);
}

// Guards against a refusal that repeats a body of 256 KiB.
TEST(caller_port, ARefusalIsShortHoweverLongTheBodyWas)
{
    const auto read = decode_submission('"' + std::string(200'000, 'x'));
    ASSERT_FALSE(read.has_value());

    const auto response = encode_answer(frontend::call_malformed{read.error().detail});

    EXPECT_EQ(response.status, 400);
    EXPECT_LT(response.body.size(), 1'000U);
    EXPECT_NE(response.body.find("missing closing quote"), std::string::npos) << response.body;
}

TEST(caller_port, ARefusalSaysWhenToComeBack)
{
    const frontend::call_refused away{frontend::call_refused::cause::store_away,
                                      base::milliseconds{1'200}};
    const frontend::call_refused crowded{frontend::call_refused::cause::overloaded,
                                         base::milliseconds{10}};

    const auto response = encode_answer(away);

    EXPECT_EQ(response.status, 503);
    ASSERT_FALSE(response.headers.empty());
    EXPECT_EQ(response.headers.front().value, "2") << "whole seconds, never too early";
    EXPECT_EQ(encode_answer(crowded).status, 429);
}

TEST(caller_port, StatesHaveTheirWord)
{
    EXPECT_EQ(encode_answer(frontend::job_shown{batch::job_status::running}).body,
              R"({"state":"running"})");
    EXPECT_EQ(encode_answer(frontend::queue_shown{12}).body, R"({"waiting":12})");
}

TEST(caller_port, OnlyTheBalancersQuestionIsOne)
{
    EXPECT_TRUE(is_readiness_question(request("GET", "/-/readiness")));
    EXPECT_FALSE(is_readiness_question(request("GET", "/")));
}

} // namespace
} // namespace poplarstile::platform
