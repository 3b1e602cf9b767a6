// Settings text: either settings or at least one fault with a place.
#include "fuzz_input.hpp"
#include "settings/vm_settings.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace poplarstile;
    const auto read = settings::parse_settings(fuzz::as_text(data, size));
    fuzz::expect(read.has_value() || !read.error().errors.empty());
    return 0;
}
