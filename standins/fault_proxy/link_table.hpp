#pragma once

#include "base/time.hpp"
#include "standins/fault_proxy/proxy_config.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace poplarstile::standins::fault_proxy
{

/// What a link does to its connections; docs/STANDINS.md describes each.
enum class fault_kind {
    none,
    cut,
    refuse,
    blackhole,
    silence_open,
    delay,
    drop_answers,
    drop_requests,
    half_close,
    freeze,
};

/// The fault's name on the wire.
[[nodiscard]] std::string_view name_of(fault_kind kind);
[[nodiscard]] std::optional<fault_kind> fault_named(std::string_view name);

struct link_fault {
    fault_kind kind = fault_kind::none;
    /// Added to each chunk of bytes, for `delay` only.
    base::milliseconds delay{0};
};

/// One direction of intent: who opened the connection and to where.
struct link_id {
    std::string source{};
    std::string target{};

    // clang-tidy 14 takes the 0 in what the compiler makes of <=> for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const link_id&) const = default;
};

/// A fault for all links that it matches; `*` matches every name.
struct link_rule {
    link_id link{};
    link_fault fault{};

    [[nodiscard]] bool matches(const link_id& other) const;
};

struct link_counters {
    std::uint64_t opened = 0;
    std::uint64_t refused = 0;
    std::uint64_t open = 0;
    std::uint64_t bytes_to_target = 0;
    std::uint64_t bytes_to_source = 0;
    std::uint64_t bytes_swallowed = 0;
};

/// Faults and counters by link, and the names of addresses. Not synchronized.
class link_table
{
public:
    explicit link_table(const std::vector<target_config>& targets);

    /// The name that the settings give to `address`, else `address` itself.
    [[nodiscard]] std::string target_name(const std::string& address) const;

    /// Adds a rule that wins over all earlier ones.
    void set(link_rule rule);

    /// Removes all rules.
    void heal();

    /// The fault of the latest rule that matches.
    [[nodiscard]] link_fault fault_of(const link_id& link) const;

    [[nodiscard]] link_counters& counters_of(const link_id& link);

    /// Rules and counters as the answer of `GET /control/links`.
    [[nodiscard]] json to_json() const;

private:
    std::map<std::string, std::string, std::less<>> names_;
    std::vector<link_rule> rules_;
    std::map<link_id, link_counters> counters_;
};

} // namespace poplarstile::standins::fault_proxy
