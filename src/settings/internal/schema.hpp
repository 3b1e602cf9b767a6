#pragma once

#include "settings/vm_settings.hpp"

#include <cstdint>
#include <limits>
#include <span>
#include <string>
#include <string_view>
#include <variant>

/// One descriptor per settings member: reading, checking and the reference page follow from it.
namespace poplarstile::settings::internal
{

/// What a text member has to look like.
enum class text_format {
    /// Letters, digits, `.`, `_` and `-`, not empty.
    name,
    /// An IPv4 or IPv6 number; host names are refused.
    ip_number,
    /// `IP:port` or `[IPv6]:port`.
    endpoint,
    /// An `endpoint`, or empty for none.
    optional_endpoint,
    /// Any text without blanks and control characters; its length has the member's range.
    secret,
    /// One of the log levels.
    log_level,
    /// `off`, `on` or `auto`.
    feature_mode,
};

/// The field that a member fills.
template <class Owner>
using member_field = std::variant<std::string Owner::*, std::uint16_t Owner::*,
                                  std::uint32_t Owner::*, std::size_t Owner::*, double Owner::*,
                                  base::milliseconds Owner::*, objective Owner::*>;

enum class presence { required, optional };

/// Describes one member. The default is the field's own in a fresh `Owner`.
template <class Owner>
struct member {
    std::string_view name;
    member_field<Owner> field;
    presence needed = presence::optional;
    /// Range of a number, in `unit`, or of a text's length in bytes.
    double least = 0;
    double greatest = std::numeric_limits<std::uint32_t>::max();
    std::string_view unit{};
    text_format format = text_format::name;
    std::string_view meaning{};
};

/// Members of each object, in the order in which the reference lists them.
[[nodiscard]] std::span<const member<vm_identity>> members_of(const vm_identity&);
[[nodiscard]] std::span<const member<listen_settings>> members_of(const listen_settings&);
[[nodiscard]] std::span<const member<platform_settings>> members_of(const platform_settings&);
[[nodiscard]] std::span<const member<worker_entry>> members_of(const worker_entry&);
[[nodiscard]] std::span<const member<peer_entry>> members_of(const peer_entry&);
[[nodiscard]] std::span<const member<limit_settings>> members_of(const limit_settings&);
[[nodiscard]] std::span<const member<time_settings>> members_of(const time_settings&);
/// The members that are no objects: `operator_key`, `outbound_proxy`, `log_level`.
[[nodiscard]] std::span<const member<vm_settings>> members_of(const vm_settings&);
/// The members of `policy`, which fill fields of the whole settings.
[[nodiscard]] std::span<const member<vm_settings>> policy_members();

} // namespace poplarstile::settings::internal
