#include "peer_link.hpp"

#include "peer/peer_codec.hpp"

#include <fmt/format.h>

#include <utility>

namespace poplarstile::daemon
{
namespace
{

constexpr std::string_view content_type = "application/vnd.apache.thrift.compact";

} // namespace

peer_link::peer_link(node& owner) : node_{owner} {}

void peer_link::call(std::string_view address, const peer::message& message,
                     base::milliseconds timeout, answer_handler on_answer)
{
    auto bytes = peer::encode(message);
    if (!bytes.has_value()) {
        on_answer(std::move(bytes).error());
        return;
    }
    net::http_call exchange{.method = "POST",
                            .url = fmt::format("http://{}{}", address, peer_path),
                            .body = std::move(bytes).value(),
                            .connect_timeout = timeout,
                            .timeout = timeout,
                            .purpose = "peer"};
    node_.client->send(std::move(exchange), [this, address = std::string{address},
                                             on_answer = std::move(on_answer)](
                                                const net::http_reply& reply) {
        if (!reply.ok()) {
            on_answer(base::error{base::error_code::peer_unreachable, address, reply.failure, ""});
            return;
        }
        if (reply.body.empty()) {
            on_answer(std::optional<peer::message>{});
            return;
        }
        auto decoded = peer::decode(reply.body);
        if (!decoded.has_value()) {
            on_answer(std::move(decoded).error());
            return;
        }
        on_answer(std::optional<peer::message>{std::move(decoded).value()});
    });
}

net::http_response peer_response(const peer::message& message)
{
    auto bytes = peer::encode(message);
    if (!bytes.has_value()) {
        return {.status = 500, .body = base::describe(bytes.error())};
    }
    return {
        .status = 200, .body = std::move(bytes).value(), .content_type = std::string{content_type}};
}

} // namespace poplarstile::daemon
