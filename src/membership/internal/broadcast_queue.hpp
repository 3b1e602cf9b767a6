#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

/// News still to be passed on, least often sent first.
namespace poplarstile::membership::internal
{

/// Holds the ids of members about which there is news; what is said of them is read when it is
/// sent, so that nothing outdated goes out. At most one entry per member.
class broadcast_queue
{
public:
    /// There is news of `vm`; its count starts again.
    void add(std::string_view vm);

    /// Up to `count` ids for one message. An id that was taken `limit` times is forgotten.
    [[nodiscard]] std::vector<std::string> take(std::size_t count, unsigned limit);

    [[nodiscard]] bool empty() const;

private:
    std::map<std::string, unsigned, std::less<>> sent_;
};

} // namespace poplarstile::membership::internal
