#pragma once

#include <string>

namespace poplarstile::settings
{

/// All members as Markdown tables: path, needed or default, range, unit, meaning.
[[nodiscard]] std::string reference_page();

} // namespace poplarstile::settings
