// Callers' headers and bodies. Input: lines of `name: value`, an empty line, the body.
#include "gateway/caller_request.hpp"
#include "fuzz_input.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace poplarstile;
    constexpr std::size_t max_depth = 32;
    auto text = fuzz::as_text(data, size);
    net::http_request request{.method = "POST", .path = "/v1/jobs"};
    while (!text.empty()) {
        auto line = fuzz::take_until(text, '\n');
        if (line.empty()) {
            break;
        }
        const auto name = fuzz::take_until(line, ':');
        request.headers.push_back({std::string{name}, std::string{line}});
    }
    request.body = text;
    const auto job = gateway::read_job_request(request, max_depth);
    const auto call = gateway::read_short_request(request, "preview", max_depth);
    if (job.has_value()) {
        fuzz::expect(!job.value().id.empty() && job.value().shape.total() > 0);
    }
    if (call.has_value()) {
        fuzz::expect(call.value().body == request.body);
    }
    return 0;
}
