#pragma once

#include "base/error_codes.hpp"

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>

#include <string>
#include <string_view>

/// Errors as values: a numbered code, where it was met, what was seen and what to do.
namespace poplarstile::base
{

/// An error that a person can act on. `place` is a member path, file:line:column or address.
struct error {
    error_code code{};
    std::string place{};
    std::string detail{};
    /// Empty where the table's remedy of the code is enough.
    std::string remedy{};

    bool operator==(const error&) const = default;
};

/// `error 1003 settings_missing_member at limits.queue: ... Remedy: ...`
[[nodiscard]] std::string describe(const error& failure);

/// The remedy of `failure`, or that of its code.
[[nodiscard]] std::string_view remedy_of(const error& failure);

/// A value or an `error`; reading the wrong one throws `bad_result_access`.
template <class Value>
using result = BOOST_OUTCOME_V2_NAMESPACE::checked<Value, error>;

/// A success without a value.
[[nodiscard]] inline auto success()
{
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

} // namespace poplarstile::base
