// Messages between VMs; what is read can be written.
#include "cluster/cluster_codec.hpp"
#include "fuzz_input.hpp"
#include "store/lease_record.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace poplarstile;
    const auto bytes = fuzz::as_text(data, size);
    (void)store::decode_lease(bytes);
    const auto message = cluster::decode(bytes);
    if (message.has_value()) {
        fuzz::expect(cluster::encode(message.value()).has_value());
    }
    return 0;
}
