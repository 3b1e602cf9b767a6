// Workers' answers to looks and orders on the row store's backend. Input: one character for the
// status, then the body.
#include "fuzz_input.hpp"
#include "platform/worker_client.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace poplarstile;
    constexpr std::uint16_t statuses[] = {200, 400, 409, 421, 429, 503};
    const auto text = fuzz::as_text(data, size);
    if (text.empty()) {
        return 0;
    }
    net::http_reply reply{.outcome = net::delivery::answered};
    reply.status = statuses[static_cast<std::uint8_t>(text.front()) % 6U];
    reply.body = text.substr(1);
    const auto look = platform::internal::decode_look(reply);
    const auto order = platform::internal::decode_order(reply);
    const bool lists = !look.running.empty() || !look.ended.empty();
    fuzz::expect(!lists || look.outcome == fleet::order_outcome::accepted);
    fuzz::expect(reply.status != 200 || order.outcome == fleet::order_outcome::accepted);
    return 0;
}
