#include "rules/internal/utf8.hpp"

#include <cstdint>

namespace poplarstile::rules::internal
{
namespace
{

/// Length of the sequence that a lead byte starts, and the range of its second byte.
struct sequence {
    std::size_t length = 0;
    std::uint8_t least_second = 0x80;
    std::uint8_t greatest_second = 0xBF;
};

/// Table 3-7 of the Unicode standard; length 0 for a byte that can't lead.
sequence sequence_of(std::uint8_t lead)
{
    if (lead < 0x80) {
        return {1};
    }
    if (lead >= 0xC2 && lead <= 0xDF) {
        return {2};
    }
    if (lead >= 0xE0 && lead <= 0xEF) {
        const std::uint8_t least = lead == 0xE0 ? 0xA0 : 0x80;
        const std::uint8_t greatest = lead == 0xED ? 0x9F : 0xBF;
        return {3, least, greatest};
    }
    if (lead >= 0xF0 && lead <= 0xF4) {
        const std::uint8_t least = lead == 0xF0 ? 0x90 : 0x80;
        const std::uint8_t greatest = lead == 0xF4 ? 0x8F : 0xBF;
        return {4, least, greatest};
    }
    return {};
}

std::uint8_t byte_at(std::string_view text, std::size_t at)
{
    return static_cast<std::uint8_t>(text[at]);
}

bool is_whole_sequence(std::string_view text, std::size_t at, const sequence& expected)
{
    if (expected.length == 0 || at + expected.length > text.size()) {
        return false;
    }
    for (std::size_t offset = 1; offset < expected.length; ++offset) {
        const auto found = byte_at(text, at + offset);
        const auto least = offset == 1 ? expected.least_second : std::uint8_t{0x80};
        const auto greatest = offset == 1 ? expected.greatest_second : std::uint8_t{0xBF};
        if (found < least || found > greatest) {
            return false;
        }
    }
    return true;
}

bool is_control(std::uint8_t letter)
{
    return (letter < 0x20 && letter != '\t') || letter == 0x7F;
}

} // namespace

std::optional<std::size_t> find_bad_byte(std::string_view line)
{
    if (line.ends_with('\r')) {
        line.remove_suffix(1);
    }
    std::size_t at = 0;
    while (at < line.size()) {
        const auto expected = sequence_of(byte_at(line, at));
        if (is_control(byte_at(line, at)) || !is_whole_sequence(line, at, expected)) {
            return at;
        }
        at += expected.length;
    }
    return std::nullopt;
}

} // namespace poplarstile::rules::internal
