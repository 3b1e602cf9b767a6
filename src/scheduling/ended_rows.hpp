#pragma once

#include "table/table.hpp"

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <string_view>

namespace poplarstile::scheduling
{

/// Jobs that ended under one lease, and the versions at which their live rows went. Tells rows that
/// are read or told late from those of live jobs. Bounded: the oldest end is forgotten first.
class ended_rows
{
public:
    explicit ended_rows(std::size_t capacity) : capacity_{capacity} {}

    /// The live row of `job` went at `version`, or before it.
    void add(const std::string& job, table::row_version version);

    /// Whether a live row of `job` with this version is gone for certain.
    [[nodiscard]] bool is_gone(std::string_view job, table::row_version version) const;

    /// The greatest version of an end that was forgotten: a row of an unknown job with a smaller
    /// one may be gone.
    [[nodiscard]] table::row_version forgotten_up_to() const
    {
        return forgotten_up_to_;
    }

    void clear();

private:
    std::size_t capacity_;
    std::map<std::string, table::row_version, std::less<>> versions_;
    /// In the order of their ends.
    std::deque<std::string> jobs_;
    table::row_version forgotten_up_to_ = 0;
};

} // namespace poplarstile::scheduling
