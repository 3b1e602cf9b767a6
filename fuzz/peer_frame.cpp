// Thrift frames of peers: what decodes encodes to bytes that decode to the same message.
#include "fuzz_input.hpp"
#include "peer/peer_codec.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace poplarstile;
    const auto read = peer::decode(fuzz::as_text(data, size));
    if (!read.has_value()) {
        return 0;
    }
    const auto written = peer::encode(read.value());
    fuzz::expect(written.has_value());
    const auto again = peer::decode(written.value());
    fuzz::expect(again.has_value() && again.value() == read.value());
    return 0;
}
