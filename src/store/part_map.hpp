#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace poplarstile::store
{

/// The parts that a site's rows lie in. Parts fail by themselves, so jobs are spread over them, and
/// a job goes to the next part when its own is away.
class part_map
{
public:
    part_map() = default;
    /// Parts `NAME-0`, `NAME-1`, ...; one part at least.
    part_map(std::string_view name, std::size_t count);

    [[nodiscard]] const std::vector<std::string>& names() const
    {
        return names_;
    }
    [[nodiscard]] std::size_t size() const
    {
        return names_.size();
    }
    [[nodiscard]] const std::string& name(std::size_t index) const
    {
        return names_.at(index);
    }
    /// Index of a part's name; the size when there is no such part.
    [[nodiscard]] std::size_t index_of(std::string_view name) const;

    /// Where a job goes first; the same on every VM.
    [[nodiscard]] std::size_t home_of(std::string_view job) const;

private:
    std::vector<std::string> names_{};
};

} // namespace poplarstile::store
