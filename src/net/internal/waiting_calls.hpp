#pragma once

#include "base/time.hpp"
#include "net/internal/exchange.hpp"

#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

/// The calls of a client that wait for a connection, by target.
namespace poplarstile::net::internal
{

/// What a URL names before its path: scheme, host and port.
[[nodiscard]] std::string target_of(std::string_view url);

/// A call that waits, and when it is given up.
struct waiting_call {
    std::unique_ptr<exchange> call{};
    base::time_point deadline{};
};

/// Lets at most a fixed number of calls to each target be under way. The others wait here and not
/// in the library, where they could neither be withdrawn nor overtaken.
class waiting_calls
{
public:
    explicit waiting_calls(std::size_t most_under_way) : most_under_way_{most_under_way} {}

    /// Adds a call to those that wait for its target. Urgent ones go before the others; else the
    /// first come is the first served.
    void add(waiting_call added);

    /// Takes the next call to the target, which is under way from now on; empty when none waits or
    /// enough are under way.
    [[nodiscard]] std::optional<waiting_call> take(const std::string& target);

    /// A call to the target that was taken has ended.
    void end(const std::string& target);

    /// Takes the calls whose deadlines have come; they were not under way.
    [[nodiscard]] std::vector<waiting_call> take_expired(base::time_point now);

    /// The earliest deadline of all that wait.
    [[nodiscard]] std::optional<base::time_point> next_deadline() const;

private:
    struct target_state {
        std::size_t under_way = 0;
        std::deque<waiting_call> urgent{};
        std::deque<waiting_call> others{};
    };

    void forget_if_idle(const std::string& target);

    std::size_t most_under_way_;
    /// Only targets with calls.
    std::unordered_map<std::string, target_state> targets_{};
    /// Calls that wait, over all targets.
    std::size_t waiting_ = 0;
};

} // namespace poplarstile::net::internal
