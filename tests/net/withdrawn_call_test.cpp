#include "net/reactor_client.hpp"

#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

/// A call that waits for a connection is asked about again when it has one.
namespace poplarstile::net
{
namespace
{

using asio::ip::tcp;
using base::milliseconds;

/// Last byte of each body; nothing else in a request has it.
constexpr char call_end = ';';

/// Reads each call, and answers only while `answers` is set.
class hanging_server
{
public:
    explicit hanging_server(asio::io_context& context)
        : acceptor_{context, tcp::endpoint{asio::ip::address_v4::loopback(), 0}}
    {
        address = fmt::format("127.0.0.1:{}", acceptor_.local_endpoint().port());
        accept();
    }

    std::string address{};
    bool answers = false;
    /// Bodies of the calls that were read, in order.
    std::vector<std::string> calls{};

private:
    struct session {
        explicit session(tcp::socket accepted) : socket{std::move(accepted)} {}
        tcp::socket socket;
        std::string text{};
    };

    void accept()
    {
        acceptor_.async_accept([this](const std::error_code& failure, tcp::socket accepted) {
            if (!failure) {
                serve(std::make_shared<session>(std::move(accepted)));
                accept();
            }
        });
    }

    void serve(const std::shared_ptr<session>& current)
    {
        asio::async_read_until(current->socket, asio::dynamic_buffer(current->text), call_end,
                               [this, current](const std::error_code& failure, std::size_t read) {
                                   if (!failure) {
                                       answer(*current, read);
                                       serve(current);
                                   }
                               });
    }

    void answer(session& current, std::size_t read)
    {
        const auto call = current.text.substr(0, read);
        current.text.erase(0, read);
        calls.push_back(call.substr(call.find("\r\n\r\n") + 4));
        if (answers) {
            std::error_code ignored;
            const std::string text = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
            asio::write(current.socket, asio::buffer(text), ignored);
        }
    }

    tcp::acceptor acceptor_;
};

class withdrawn_call : public testing::Test
{
protected:
    withdrawn_call()
    {
        reactor_client_options options;
        options.max_connections_per_target = 1;
        client = reactor_client::create(context, options).value();
    }

    [[nodiscard]] http_call call_of(const std::string& body, milliseconds timeout) const
    {
        http_call call;
        call.method = "POST";
        call.url = "http://" + server.address + "/";
        call.body = body + call_end;
        call.connect_timeout = timeout;
        call.timeout = timeout;
        call.once = true;
        return call;
    }

    void run_for(milliseconds span)
    {
        context.restart();
        context.run_for(span);
    }

    asio::io_context context;
    hanging_server server{context};
    std::unique_ptr<reactor_client> client;
};

// An order waited in the client behind one without an answer, and was sent although it was obsolete
// by then.
TEST_F(withdrawn_call, DoesNotLeaveWhenItsTurnComes)
{
    bool wanted = true;
    std::vector<http_reply> replies;
    const auto note = [&replies](http_reply reply) { replies.push_back(std::move(reply)); };
    client->send(call_of("first", milliseconds{100}), note);
    auto second = call_of("second", milliseconds{1'000});
    second.may_leave = [&wanted] { return wanted; };
    client->send(std::move(second), note);
    run_for(milliseconds{50});
    ASSERT_EQ(server.calls, std::vector<std::string>{"first;"});

    wanted = false;
    run_for(milliseconds{300});

    EXPECT_EQ(server.calls, std::vector<std::string>{"first;"});
    ASSERT_EQ(replies.size(), 2U);
    EXPECT_EQ(replies.front().outcome, delivery::lost);
    EXPECT_EQ(replies.back().outcome, delivery::not_sent);
    EXPECT_TRUE(replies.back().withdrawn);
}

TEST_F(withdrawn_call, LeavesWhenItIsStillWanted)
{
    int asked = 0;
    std::vector<http_reply> replies;
    const auto note = [&replies](http_reply reply) { replies.push_back(std::move(reply)); };
    client->send(call_of("first", milliseconds{100}), note);
    auto second = call_of("second", milliseconds{1'000});
    second.may_leave = [&asked, this] {
        ++asked;
        server.answers = true;
        return true;
    };
    client->send(std::move(second), note);
    run_for(milliseconds{300});

    EXPECT_GE(asked, 1);
    ASSERT_EQ(replies.size(), 2U);
    EXPECT_TRUE(replies.back().ok());
    EXPECT_FALSE(replies.back().withdrawn);
}

// Stops and polls waited behind starts to the same worker.
TEST_F(withdrawn_call, LetsUrgentCallsGoFirst)
{
    const auto ignore = [](const http_reply& /*reply*/) {};
    client->send(call_of("first", milliseconds{100}), ignore);
    client->send(call_of("second", milliseconds{1'000}), ignore);
    auto urgent = call_of("urgent", milliseconds{1'000});
    urgent.urgent = true;
    client->send(std::move(urgent), ignore);
    run_for(milliseconds{50});
    server.answers = true;
    run_for(milliseconds{300});

    EXPECT_EQ(server.calls, (std::vector<std::string>{"first;", "urgent;", "second;"}));
}

// What was known was thrown away: a call that never had a connection passed for one whose answer
// was lost.
TEST_F(withdrawn_call, ThatNeverHadAConnectionWasNotSent)
{
    std::vector<http_reply> replies;
    const auto note = [&replies](http_reply reply) { replies.push_back(std::move(reply)); };
    client->send(call_of("first", milliseconds{200}), note);
    client->send(call_of("second", milliseconds{100}), note);
    run_for(milliseconds{300});

    ASSERT_EQ(replies.size(), 2U);
    EXPECT_EQ(replies.front().outcome, delivery::not_sent);
    EXPECT_FALSE(replies.front().withdrawn);
    EXPECT_EQ(replies.back().outcome, delivery::lost);
}

} // namespace
} // namespace poplarstile::net
