#include "rules/rule_delta.hpp"
#include "rules/rule_store.hpp"
#include "rules/rules_text.hpp"

#include "rules/model_table.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>

namespace poplarstile::rules
{
namespace
{

/// What becomes of a transaction on its way.
enum class fate { answered, answer_lost, never_arrives, arrives_late };

/// One wish of one of two operators.
struct wish {
    std::size_t operator_number = 0;
    /// Reads the rules in force first; otherwise builds on what this operator saw last.
    bool reads_first = true;
    std::size_t line = 0;
    /// 0 removes the line.
    int value = 0;
    std::vector<fate> fates{};
    /// Lets a transaction that was held up arrive before this wish.
    bool late_one_arrives = false;
};

rc::Gen<fate> any_fate()
{
    return rc::gen::weightedElement<fate>({{4, fate::answered},
                                           {2, fate::answer_lost},
                                           {1, fate::never_arrives},
                                           {2, fate::arrives_late}});
}

rc::Gen<wish> any_wish()
{
    return rc::gen::build<wish>(
        rc::gen::set(&wish::operator_number, rc::gen::inRange<std::size_t>(0, 2)),
        rc::gen::set(&wish::reads_first),
        rc::gen::set(&wish::line, rc::gen::inRange<std::size_t>(0, 5)),
        rc::gen::set(&wish::value, rc::gen::inRange(0, 4)),
        rc::gen::set(&wish::fates, rc::gen::container<std::vector<fate>>(3, any_fate())),
        rc::gen::set(&wish::late_one_arrives));
}

std::ostream& operator<<(std::ostream& stream, const wish& shown)
{
    stream << fmt::format("operator {} reads {} line {} value {} late {} fates",
                          shown.operator_number, shown.reads_first, shown.line, shown.value,
                          shown.late_one_arrives);
    for (const auto step : shown.fates) {
        stream << ' ' << static_cast<int>(step);
    }
    return stream;
}

enum class told { accepted, refused, not_known };

/// Two operators, one table, and a network that loses and delays.
class simulation
{
public:
    void run(const std::vector<wish>& wishes)
    {
        for (const auto& next : wishes) {
            if (next.late_one_arrives) {
                deliver_late_one();
            }
            make(next);
        }
        while (!late_.empty()) {
            deliver_late_one();
        }
    }

    [[nodiscard]] stored_rules read() const
    {
        return read_rules(table_.scan("rules/")).value();
    }

    [[nodiscard]] const std::map<std::string, told>& answers() const
    {
        return answers_;
    }

    [[nodiscard]] rules_version base_of(const std::string& operation) const
    {
        return bases_.at(operation);
    }

private:
    void deliver_late_one()
    {
        if (!late_.empty()) {
            table_.transact(late_.front());
            late_.erase(late_.begin());
        }
    }

    void make(const wish& wanted)
    {
        auto& seen = seen_.at(wanted.operator_number);
        if (wanted.reads_first) {
            seen = read().state;
        }
        rules_proposal proposal;
        proposal.author = fmt::format("operator {}", wanted.operator_number);
        proposal.base_version = seen.version;
        proposal.rules = edited(seen, wanted);
        proposal.operation = fmt::format("o{}", bases_.size());
        bases_[proposal.operation] = seen.version;
        answers_[proposal.operation] = apply(proposal, wanted.fates);
    }

    static ruleset edited(const rules_state& seen, const wish& wanted)
    {
        auto rules = to_ruleset(seen).value();
        const auto id = fmt::format("class c{}", wanted.line);
        std::erase_if(rules.lines, [&](const rule_line& line) { return line.id == id; });
        if (wanted.value != 0) {
            rules.lines.push_back(
                parse_rule(fmt::format("{} deadline {}s", id, wanted.value), "asked by: x")
                    .value());
        }
        return rules;
    }

    /// What the daemon does with a wish: plan, send, and after a doubtful answer read and plan
    /// again.
    told apply(const rules_proposal& proposal, const std::vector<fate>& fates)
    {
        std::optional<table::row_version> doubtful;
        for (const auto next : fates) {
            const auto plan = plan_apply(read(), proposal);
            if (std::holds_alternative<already_in_force>(plan)) {
                return told::accepted;
            }
            if (!std::holds_alternative<planned_change>(plan)) {
                return settled(proposal, doubtful);
            }
            const auto& change = std::get<planned_change>(plan);
            if (send(change.transaction, next)) {
                return told::accepted;
            }
            doubtful = change.head_row;
        }
        return settled(proposal, doubtful);
    }

    [[nodiscard]] told settled(const rules_proposal& proposal,
                               std::optional<table::row_version> doubtful) const
    {
        if (!doubtful) {
            return told::refused;
        }
        const auto outcome = settle(read(), proposal.operation, *doubtful);
        if (std::holds_alternative<settled_applied>(outcome)) {
            return told::accepted;
        }
        return std::holds_alternative<settled_not_applied>(outcome) ? told::refused
                                                                    : told::not_known;
    }

    /// True when a commit was answered.
    bool send(const table::table_transaction& transaction, fate next)
    {
        switch (next) {
        case fate::answered:
            return table_.transact(transaction);
        case fate::answer_lost:
            table_.transact(transaction);
            return false;
        case fate::arrives_late:
            late_.push_back(transaction);
            return false;
        case fate::never_arrives:
            return false;
        }
        return false;
    }

    model_table table_;
    std::vector<table::table_transaction> late_;
    std::array<rules_state, 2> seen_;
    std::map<std::string, told> answers_;
    std::map<std::string, rules_version> bases_;
};

/// Every operation is in the log at most once, and exactly as its operator was told.
RC_GTEST_PROP(rule_store_property, keeps_what_operators_were_told, ())
{
    const auto wishes = *rc::gen::container<std::vector<wish>>(any_wish());
    simulation world;

    world.run(wishes);

    std::set<std::string> logged;
    const auto stored = world.read();
    for (const auto& change : stored.changes) {
        RC_ASSERT(logged.insert(change.operation).second);
    }
    for (const auto& [operation, answer] : world.answers()) {
        if (answer == told::refused) {
            RC_ASSERT(!logged.contains(operation));
        }
    }
}

/// A change only touches lines whose last change its operator had seen, so nobody's accepted change
/// reverts unseen.
RC_GTEST_PROP(rule_store_property, never_reverts_an_unseen_change, ())
{
    const auto wishes = *rc::gen::container<std::vector<wish>>(any_wish());
    simulation world;

    world.run(wishes);

    const auto stored = world.read();
    std::map<std::string, rules_version> last_change;
    for (const auto& change : stored.changes) {
        for (const auto* lines : {&change.removed, &change.added}) {
            for (const auto& line : *lines) {
                RC_ASSERT(last_change[line.id] <= world.base_of(change.operation));
            }
        }
        for (const auto* lines : {&change.removed, &change.added}) {
            for (const auto& line : *lines) {
                last_change[line.id] = change.version;
            }
        }
    }
}

/// The lines in force are those that the log leads to, and undoing the log leads back to nothing.
RC_GTEST_PROP(rule_store_property, has_lines_that_follow_from_the_log, ())
{
    const auto wishes = *rc::gen::container<std::vector<wish>>(any_wish());
    simulation world;

    world.run(wishes);

    const auto stored = world.read();
    rules_state replayed;
    for (const auto& change : stored.changes) {
        replayed = apply_change(replayed, change).value();
    }
    RC_ASSERT(replayed == stored.state);
    for (auto change = stored.changes.rbegin(); change != stored.changes.rend(); ++change) {
        replayed = undo_change(replayed, *change).value();
    }
    RC_ASSERT(replayed == rules_state{});
}

/// Whatever deltas and snapshots reach a VM, in any order and more than once, its version never
/// goes back, its lines are always those of its version, and the newest delta completes it.
RC_GTEST_PROP(rule_delta_property, converges_in_any_order, ())
{
    const auto wishes = *rc::gen::container<std::vector<wish>>(any_wish());
    simulation world;
    world.run(wishes);
    const auto stored = world.read();
    std::vector<rules_state> history{{}};
    for (const auto& change : stored.changes) {
        history.push_back(apply_change(history.back(), change).value());
    }

    const auto last = stored.state.version;
    const auto arrivals = *rc::gen::container<std::vector<std::pair<rules_version, bool>>>(
        rc::gen::pair(rc::gen::inRange<rules_version>(0, last + 1), rc::gen::arbitrary<bool>()));
    rules_state replica;
    for (const auto& [version, is_snapshot] : arrivals) {
        const auto delta = delta_after(stored.changes, version);
        const auto outcome = is_snapshot ? apply_snapshot(replica, history.at(version))
                                         : apply_delta(replica, delta.value_or(rules_delta{}));
        if (const auto* next = std::get_if<rules_state>(&outcome)) {
            RC_ASSERT(next->version > replica.version);
            replica = *next;
        }
        RC_ASSERT(replica == history.at(replica.version));
    }
    const auto rest = delta_after(stored.changes, replica.version);
    const auto outcome = apply_delta(replica, rest.value_or(rules_delta{replica.version, {}}));
    const auto* next = std::get_if<rules_state>(&outcome);
    RC_ASSERT((next == nullptr ? replica : *next) == stored.state);
}

} // namespace
} // namespace poplarstile::rules
