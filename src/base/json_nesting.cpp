#include "base/json_nesting.hpp"

namespace poplarstile::base
{

bool is_nested_deeper_than(std::string_view text, std::size_t levels)
{
    std::size_t depth = 0;
    bool in_string = false;
    bool escaped = false;
    for (const char character : text) {
        if (in_string) {
            in_string = escaped || character != '"';
            escaped = !escaped && character == '\\';
        } else if (character == '"') {
            in_string = true;
        } else if (character == '{' || character == '[') {
            if (++depth > levels) {
                return true;
            }
        } else if ((character == '}' || character == ']') && depth > 0) {
            --depth;
        }
    }
    return false;
}

} // namespace poplarstile::base
