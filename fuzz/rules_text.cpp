// Rules text: reading ends, and what was read writes to a text that reads the same.
#include "rules/rules_text.hpp"
#include "fuzz_input.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace poplarstile;
    const auto read = rules::parse_rules(fuzz::as_text(data, size));
    if (!read.has_value()) {
        fuzz::expect(!read.error().errors.empty());
        return 0;
    }
    const auto written = rules::to_text(read.value());
    const auto again = rules::parse_rules(written);
    fuzz::expect(again.has_value());
    fuzz::expect(rules::to_text(again.value()) == written);
    return 0;
}
