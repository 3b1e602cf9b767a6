// Workers' answers. Input: one digit for the status class, then the body.
#include "fuzz_input.hpp"
#include "workers/worker_client.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace poplarstile;
    constexpr std::uint16_t statuses[] = {200, 409, 429, 503};
    auto text = fuzz::as_text(data, size);
    if (text.empty()) {
        return 0;
    }
    net::http_reply reply{.outcome = net::delivery::answered};
    reply.status = statuses[static_cast<std::uint8_t>(text.front()) % 4U];
    reply.body = text.substr(1);
    const auto ran = workers::read_execute_answer(reply, "request-1", "attempt-1");
    const bool claims_result = ran.state == workers::execute_state::completed ||
                               ran.state == workers::execute_state::failed;
    if (claims_result && reply.status == 200) {
        fuzz::expect(ran.request == "request-1" && ran.attempt == "attempt-1");
    }
    (void)workers::read_task_answer(reply, "task-1");
    (void)workers::read_lease_answer(reply, "worker-1");
    return 0;
}
