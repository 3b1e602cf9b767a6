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

/// Calls go to the process that they name, whatever became of the connections before.
namespace poplarstile::net
{
namespace
{

using asio::ip::tcp;
using base::milliseconds;

const tcp::endpoint any_port{asio::ip::address_v4::loopback(), 0};

std::string name_of(const tcp::acceptor& acceptor)
{
    return fmt::format("127.0.0.1:{}", acceptor.local_endpoint().port());
}

/// Answers every call with its own address.
class naming_server
{
public:
    explicit naming_server(asio::io_context& context) : acceptor_{context, any_port}
    {
        address = name_of(acceptor_);
        answer_ =
            fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", address.size(), address);
        accept();
    }

    std::string address{};

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
        asio::async_read_until(current->socket, asio::dynamic_buffer(current->text), "\r\n\r\nbody",
                               [this, current](const std::error_code& failure, std::size_t read) {
                                   if (failure) {
                                       return;
                                   }
                                   current->text.erase(0, read);
                                   std::error_code ignored;
                                   asio::write(current->socket, asio::buffer(answer_), ignored);
                                   serve(current);
                               });
    }

    tcp::acceptor acceptor_;
    std::string answer_;
};

/// Listens with a full queue, so that connecting to it takes for ever.
class full_listener
{
public:
    explicit full_listener(asio::io_context& context) : acceptor_{context}
    {
        acceptor_.open(tcp::v4());
        acceptor_.bind(any_port);
        acceptor_.listen(0);
        address = name_of(acceptor_);
        constexpr int more_than_the_queue = 4;
        for (int count = 0; count < more_than_the_queue; ++count) {
            waiting_.emplace_back(context).async_connect(acceptor_.local_endpoint(),
                                                         [](const std::error_code& /*failure*/) {});
        }
        context.run_for(milliseconds{20});
    }

    std::string address{};

private:
    tcp::acceptor acceptor_;
    std::vector<tcp::socket> waiting_{};
};

void run_for(asio::io_context& context, milliseconds span)
{
    context.restart();
    context.run_for(span);
}

http_call call_to(const std::string& address, milliseconds timeout)
{
    http_call call;
    call.method = "POST";
    call.url = "http://" + address + "/";
    call.body = "body";
    call.connect_timeout = timeout;
    call.timeout = timeout;
    call.once = true;
    return call;
}

// The library closed sockets that never connected without a word, and the client closed their
// descriptors again later: by then these were connections to somebody else.
TEST(reactor_client, ReachesWhomItCallsAfterConnectsThatTimedOut)
{
    constexpr int rounds = 5;
    constexpr int calls = 4;
    asio::io_context context;
    const auto client = reactor_client::create(context, {}).value();
    const full_listener silent{context};
    std::vector<std::unique_ptr<naming_server>> servers;
    servers.reserve(calls);
    for (int count = 0; count < calls; ++count) {
        servers.push_back(std::make_unique<naming_server>(context));
    }
    int timed_out = 0;
    int answered = 0;
    for (int round = 0; round < rounds; ++round) {
        for (int count = 0; count < calls; ++count) {
            client->send(call_to(silent.address, milliseconds{10}),
                         [&timed_out](const http_reply& reply) {
                             EXPECT_EQ(reply.failure, "Timeout was reached");
                             ++timed_out;
                         });
        }
        run_for(context, milliseconds{30});
        for (const auto& server : servers) {
            auto call = call_to(server->address, milliseconds{2'000});
            call.fresh_connection = true;
            client->send(std::move(call), [&answered, &server](const http_reply& reply) {
                EXPECT_EQ(reply.failure, "");
                EXPECT_EQ(reply.body, server->address);
                ++answered;
            });
        }
        run_for(context, milliseconds{30});
    }

    EXPECT_EQ(timed_out, rounds * calls);
    EXPECT_EQ(answered, rounds * calls);
}

} // namespace
} // namespace poplarstile::net
