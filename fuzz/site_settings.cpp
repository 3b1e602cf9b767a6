// Settings of a VM on a row store: either settings or at least one fault with a place.
#include "settings/site_settings.hpp"
#include "fuzz_input.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace poplarstile;
    const auto text = fuzz::as_text(data, size);
    (void)settings::is_site_settings(text);
    const auto read = settings::parse_site_settings(text);
    fuzz::expect(read.has_value() || !read.error().errors.empty());
    return 0;
}
