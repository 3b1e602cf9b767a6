// The platform's VM list and its answer to a transaction, which are never misunderstood fatally.
#include "fuzz_input.hpp"
#include "table/table_client.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace poplarstile;
    const net::http_reply reply{.outcome = net::delivery::answered,
                                .status = 200,
                                .body = std::string{fuzz::as_text(data, size)}};
    (void)table::read_vm_list(reply);
    const auto commit = table::read_commit_answer(reply);
    const bool claims = commit.state == table::commit_state::committed;
    fuzz::expect(!claims || commit.version != 0);
    return 0;
}
