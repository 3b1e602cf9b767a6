#pragma once

#include "membership/membership.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// What is known of the other VMs, and the rules by which claims override each other.
namespace poplarstile::membership::internal
{

/// A doubt that becomes death at its deadline. Each further reporter shortens it (Lifeguard).
class suspicion
{
public:
    /// `needed` more reporters bring the timeout from `longest` down to `shortest`.
    suspicion(time_point since, std::string reporter, std::size_t needed, milliseconds shortest,
              milliseconds longest);

    /// Counts a reporter; false when it is known.
    bool confirm(std::string_view reporter);

    /// Time during which this process could not hear a denial does not count.
    void postpone(base::microseconds gap);

    [[nodiscard]] time_point deadline() const;

private:
    time_point since_;
    std::vector<std::string> reporters_;
    std::size_t needed_;
    milliseconds shortest_;
    milliseconds longest_;
};

/// One other VM.
struct entry {
    member facts{};
    /// Who claimed the state, for `suspect` and `dead`.
    std::string reporter{};
    /// Present while the member is doubted, also when it is leaving.
    std::optional<suspicion> doubt{};
    time_point dead_since{};
};

/// What a claim changed.
struct change {
    bool news = false;
    std::optional<member_changed> seen{};
};

/// The other VMs by id.
class roster
{
public:
    roster(const config& limits, self_description self);

    /// Takes in what is said of another VM.
    change apply(const peer::member_update& claim, time_point now);

    /// This VM could not reach `vm`.
    change doubt(std::string_view vm, time_point now);

    /// The doubted members whose time is up; they are dead from now on.
    std::vector<member_changed> expire_suspicions(time_point now);

    /// Forgets the dead whose tombstones are old enough.
    void drop_tombstones(time_point now);

    /// This process was paused for `gap`.
    void postpone_suspicions(base::microseconds gap);

    [[nodiscard]] const entry* find(std::string_view vm) const;
    [[nodiscard]] const std::map<std::string, entry, std::less<>>& entries() const;

    /// The entry that follows `vm` by id, going round; null when there is none.
    [[nodiscard]] const entry* next_after(std::string_view vm) const;

    /// Members of a domain that are not dead, by id.
    [[nodiscard]] std::vector<const entry*> present(std::string_view failure_domain) const;

    /// Ids of the first live members of a domain, this VM included.
    [[nodiscard]] std::vector<std::string> delegates(std::string_view failure_domain,
                                                     bool self_leaving) const;

    /// The failure domains of others with at least one member that is not dead.
    [[nodiscard]] std::vector<std::string> foreign_domains() const;

private:
    [[nodiscard]] bool is_competent(const peer::member_update& claim,
                                    std::string_view failure_domain) const;
    [[nodiscard]] std::string_view domain_of(std::string_view vm) const;
    [[nodiscard]] suspicion new_suspicion(std::string_view failure_domain,
                                          std::string_view reporter, time_point now) const;
    change insert(const peer::member_update& claim, time_point now);
    change override_with(entry& known, const peer::member_update& claim, time_point now);

    config limits_;
    self_description self_;
    std::map<std::string, entry, std::less<>> entries_;
};

} // namespace poplarstile::membership::internal
