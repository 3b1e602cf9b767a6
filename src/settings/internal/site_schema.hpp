#pragma once

#include "settings/internal/schema.hpp"
#include "settings/site_settings.hpp"

#include <span>

/// The members of the settings on a platform with a row store, one descriptor each.
namespace poplarstile::settings::internal
{

[[nodiscard]] std::span<const member<site_listen_settings>>
members_of(const site_listen_settings& owner);
[[nodiscard]] std::span<const member<site_store_settings>>
members_of(const site_store_settings& owner);
[[nodiscard]] std::span<const member<site_bound_settings>>
members_of(const site_bound_settings& owner);
[[nodiscard]] std::span<const member<site_limit_settings>>
members_of(const site_limit_settings& owner);
[[nodiscard]] std::span<const member<site_scheduling_settings>>
members_of(const site_scheduling_settings& owner);

} // namespace poplarstile::settings::internal
