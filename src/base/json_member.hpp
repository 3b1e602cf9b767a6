#pragma once

#include <nlohmann/json.hpp>

#include <concepts>
#include <string>

/// Members of JSON from outside, whose types can't be relied on.
namespace poplarstile::base
{

/// True when `value` holds a `Value`, without any conversion.
template <class Value>
[[nodiscard]] bool holds(const nlohmann::json& value)
{
    if constexpr (std::same_as<Value, bool>) {
        return value.is_boolean();
    } else if constexpr (std::unsigned_integral<Value>) {
        return value.is_number_unsigned();
    } else {
        static_assert(std::same_as<Value, std::string>);
        return value.is_string();
    }
}

/// The member of this name, or `otherwise` when `object` is no object, has no such member or the
/// member has another type. The library's own `value()` throws in two of these cases.
template <class Value>
[[nodiscard]] Value member_or(const nlohmann::json& object, const char* name, Value otherwise)
{
    if (!object.is_object()) {
        return otherwise;
    }
    const auto found = object.find(name);
    return found != object.end() && holds<Value>(*found) ? found->get<Value>() : otherwise;
}

} // namespace poplarstile::base
