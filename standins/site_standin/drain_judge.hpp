#pragma once

#include "base/time.hpp"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace poplarstile::standins::site_standin
{

/// Holds the starts that reach workers against the failure domains that the operator drains. A
/// start that reached its worker in time and is carried out late is none of its concern.
class drain_judge
{
public:
    /// The store has acknowledged that the domain is drained; from `bound` later until it is
    /// restored no start may reach a worker there.
    void drained(const std::string& domain, base::time_point now, base::milliseconds bound);
    void restored(const std::string& domain);
    /// A start of a task has reached a worker in the domain.
    void start_arrived(std::string_view domain, std::string_view task, base::time_point now);

    [[nodiscard]] const std::vector<std::string>& violations() const
    {
        return violations_;
    }
    /// Starts that reached other domains after the bound of some drain, as a sign that there was
    /// something to judge.
    [[nodiscard]] std::size_t starts_elsewhere() const
    {
        return starts_elsewhere_;
    }

private:
    struct drain {
        base::time_point since{};
        base::milliseconds bound{0};
    };

    std::map<std::string, drain, std::less<>> drains_{};
    std::vector<std::string> violations_{};
    std::size_t starts_elsewhere_ = 0;
};

} // namespace poplarstile::standins::site_standin
