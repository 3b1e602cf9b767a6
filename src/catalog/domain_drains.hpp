#pragma once

#include "base/time.hpp"
#include "store/row_store.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace poplarstile::catalog
{

/// One of the operator's rows that drain a failure domain, as it was written or removed.
struct drain_change {
    std::string domain{};
    bool drained = true;
    /// Version of the store that wrote or removed the row.
    store::row_version version = 0;
};

/// What a reply of the store tells of the drained failure domains.
struct drain_report {
    /// All drained domains at `version`; otherwise only the changes up to it.
    bool complete = false;
    std::vector<drain_change> changes{};
    store::row_version version = 0;
};

/// The failure domains that the operator drains, as this VM has read them last. While the store is
/// unavailable the set stays as it is.
///
/// Load pattern: rows are written and removed while reads and a long poll are under way whose
/// replies may arrive in any order. A reply never undoes what a later version has told.
class domain_drains
{
public:
    /// Applies a reply at `now` that covers all rows stored up to `confirmed`.
    void apply(const drain_report& report, base::time_point now, base::time_point confirmed);

    /// True when the failure domain is drained. A worker without a failure domain is in none.
    [[nodiscard]] bool contains(std::string_view domain) const;

    /// The drained domains with the time at which this VM first read that they are.
    [[nodiscard]] const std::map<std::string, base::time_point, std::less<>>& since() const
    {
        return since_;
    }
    /// All rows that were stored before this time are known; empty before the first read.
    [[nodiscard]] std::optional<base::time_point> confirmed_at() const
    {
        return confirmed_at_;
    }

private:
    void replace(const drain_report& report, base::time_point now);
    void add(const std::string& domain, base::time_point now);

    std::map<std::string, base::time_point, std::less<>> since_{};
    store::row_version version_ = 0;
    std::optional<base::time_point> confirmed_at_{};
};

/// True for a name that a failure domain can have: not empty, and without blanks and control
/// characters.
[[nodiscard]] bool is_domain_name(std::string_view name);

} // namespace poplarstile::catalog
