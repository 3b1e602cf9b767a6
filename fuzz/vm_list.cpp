// The platform's VM list: a list or an error.
#include "fuzz_input.hpp"
#include "platform/table_client.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace poplarstile;
    const net::http_reply reply{.outcome = net::delivery::answered,
                                .status = 200,
                                .body = std::string{fuzz::as_text(data, size)}};
    (void)platform::read_vm_list(reply);
    return 0;
}
