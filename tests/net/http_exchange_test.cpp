#include "net/http_client.hpp"
#include "net/http_server.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <thread>

namespace poplarstile::net
{
namespace
{

class http_exchange : public testing::Test
{
protected:
    void serve(http_handler handler, const http_server_options& options = {})
    {
        auto started = http_server::start(options, std::move(handler));
        ASSERT_TRUE(started.has_value());
        server = std::move(started).value();
        client = http_client::start({}).value();
    }

    [[nodiscard]] std::string url(std::string_view path) const
    {
        return fmt::format("http://127.0.0.1:{}{}", server->port(), path);
    }

    std::unique_ptr<http_server> server;
    std::unique_ptr<http_client> client;
};

TEST_F(http_exchange, carries_request_and_answer_whole)
{
    serve([](const http_request& request, const http_responder& responder) {
        responder.send({.status = 200,
                        .headers = {{"X-Echo", std::string{request.header("x-name").value_or("")}}},
                        .body = request.method + request.path + request.query + request.body});
    });

    const auto reply = client->send_and_wait({.method = "POST",
                                              .url = url("/a/b?c=1"),
                                              .headers = {{"X-Name", "value"}},
                                              .body = "hello"});

    ASSERT_EQ(reply.outcome, delivery::answered) << reply.failure;
    EXPECT_EQ(reply.status, 200);
    EXPECT_EQ(reply.body, "POST/a/bc=1hello");
}

TEST_F(http_exchange, answers_from_another_thread)
{
    std::thread worker;
    serve([&worker](const http_request&, const http_responder& responder) {
        worker = std::thread{[responder] { responder.send({.body = "later"}); }};
    });

    const auto reply = client->send_and_wait({.url = url("/")});

    EXPECT_EQ(reply.body, "later");
    worker.join();
}

TEST_F(http_exchange, refused_connection_is_not_sent)
{
    serve([](const http_request&, const http_responder&) {});
    const auto target = url("/");
    server.reset();

    const auto reply = client->send_and_wait({.method = "POST", .url = target, .body = "x"});

    EXPECT_EQ(reply.outcome, delivery::not_sent) << reply.failure;
    EXPECT_TRUE(reply.connection_refused);
}

TEST_F(http_exchange, silence_after_sending_is_lost)
{
    serve([](const http_request&, const http_responder&) {});

    const auto reply = client->send_and_wait({.method = "POST",
                                              .url = url("/"),
                                              .body = "x",
                                              .timeout = base::milliseconds{100},
                                              .fresh_connection = true});

    EXPECT_EQ(reply.outcome, delivery::lost);
    EXPECT_FALSE(reply.connection_refused);
}

TEST_F(http_exchange, body_over_the_limit_never_reaches_the_handler)
{
    bool handled = false;
    serve(
        [&handled](const http_request&, const http_responder& responder) {
            handled = true;
            responder.send({});
        },
        {.max_body_bytes = 10});

    const auto reply =
        client->send_and_wait({.method = "POST", .url = url("/"), .body = std::string(1000, 'x')});

    EXPECT_FALSE(reply.ok());
    EXPECT_FALSE(handled);
}

TEST_F(http_exchange, answer_over_the_limit_is_not_handed_on_in_part)
{
    serve([](const http_request&, const http_responder& responder) {
        responder.send({.body = std::string(1000, 'x')});
    });

    const auto reply = client->send_and_wait({.url = url("/"), .max_response_bytes = 10});

    EXPECT_EQ(reply.outcome, delivery::lost);
    EXPECT_TRUE(reply.body.empty());
}

TEST(query_value, decodes_percent_and_plus)
{
    const http_request request{.query = "a=1&name=two%20words+more"};

    EXPECT_EQ(request.query_value("name"), "two words more");
    EXPECT_EQ(request.query_value("absent"), std::nullopt);
}

TEST(url_decode, undoes_url_encode)
{
    const std::string text = "a b/c%d?&=\n\xff";

    EXPECT_EQ(url_decode(url_encode(text)), text);
}

} // namespace
} // namespace poplarstile::net
