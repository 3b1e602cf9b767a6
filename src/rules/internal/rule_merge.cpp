#include "rules/internal/rule_merge.hpp"

#include "rules/rule_id.hpp"
#include "rules/rules_text.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>

namespace poplarstile::rules::internal
{
namespace
{

using line_index = std::map<std::string_view, const line_record*>;

line_index index_of(const rules_state& state)
{
    line_index index;
    for (const auto& line : state.lines) {
        index.emplace(line.id, &line);
    }
    return index;
}

const line_record* find(const line_index& index, std::string_view id)
{
    const auto found = index.find(id);
    return found == index.end() ? nullptr : found->second;
}

/// True when both are missing or state the same words.
bool agree(const line_record* left, const line_record* right)
{
    if (left == nullptr || right == nullptr) {
        return left == right;
    }
    return same_words(*left, *right);
}

std::optional<line_record> copy_of(const line_record* line)
{
    return line == nullptr ? std::nullopt : std::optional{*line};
}

std::string subject_of_line(const line_record& line)
{
    const auto parsed = parse_rule(line.text, line.comment);
    return parsed.has_value() ? subject_of(parsed.value().body) : line.id;
}

/// Lines that a side added since the base, by subject.
using additions = std::map<std::string, std::vector<const line_record*>>;

additions added_since(const line_index& base, const rules_state& side)
{
    additions added;
    for (const auto& line : side.lines) {
        if (find(base, line.id) == nullptr) {
            added[subject_of_line(line)].push_back(&line);
        }
    }
    return added;
}

/// One merge of three states, which outlive it.
class merger
{
public:
    merger(const merge_input& input, const line_record& stamp)
        : base_state_(input.base), yours_state_(input.yours), theirs_state_(input.theirs),
          stamp_(&stamp), base_(index_of(*input.base)), yours_(index_of(*input.yours)),
          theirs_(index_of(*input.theirs))
    {
        for (const auto& change : input.their_changes) {
            their_ending_changed_ = their_ending_changed_ || change.ending.has_value();
            for (const auto* lines : {&change.added, &change.removed}) {
                for (const auto& line : *lines) {
                    changed_by_them_.insert(line.id);
                }
            }
        }
    }

    merge_outcome run() &&
    {
        find_line_conflicts();
        find_replacement_conflicts();
        find_ending_conflict();
        if (!conflicts_.empty()) {
            return std::move(conflicts_);
        }
        keep_lines();
        place_new_lines();
        return finish();
    }

private:
    [[nodiscard]] bool changed_by_you(std::string_view id) const
    {
        return !agree(find(yours_, id), find(base_, id));
    }

    [[nodiscard]] std::set<std::string_view> all_ids() const
    {
        std::set<std::string_view> ids;
        for (const auto* index : {&base_, &yours_, &theirs_}) {
            for (const auto& [id, line] : *index) {
                ids.insert(id);
            }
        }
        return ids;
    }

    void add_conflict(std::string_view id, const line_record* yours, const line_record* theirs)
    {
        if (conflicting_ids_.insert(id).second) {
            conflicts_.push_back({std::string{id}, copy_of(yours), copy_of(theirs)});
        }
    }

    void find_line_conflicts()
    {
        for (const auto id : all_ids()) {
            const bool is_conflict = changed_by_you(id) && changed_by_them_.contains(id) &&
                                     !agree(find(yours_, id), find(theirs_, id));
            if (is_conflict) {
                add_conflict(id, find(yours_, id), find(theirs_, id));
            }
        }
    }

    /// A line that both sides replaced by lines with other ids: both edited the same line, though
    /// neither of the new ids tells.
    void find_replacement_conflicts()
    {
        const auto your_additions = added_since(base_, *yours_state_);
        const auto their_additions = added_since(base_, *theirs_state_);
        for (const auto& line : base_state_->lines) {
            if (find(yours_, line.id) != nullptr || find(theirs_, line.id) != nullptr) {
                continue;
            }
            const auto subject = subject_of_line(line);
            const auto* yours = first_only_here(your_additions, subject, theirs_);
            const auto* theirs = first_only_here(their_additions, subject, yours_);
            if (yours != nullptr || theirs != nullptr) {
                add_conflict(line.id, yours, theirs);
            }
        }
    }

    /// The first line that one side added under the subject and the other side does not have.
    static const line_record* first_only_here(const additions& added, const std::string& subject,
                                              const line_index& other)
    {
        const auto found = added.find(subject);
        if (found == added.end()) {
            return nullptr;
        }
        const auto only_here = std::ranges::find_if(found->second, [&](const line_record* line) {
            return find(other, line->id) == nullptr;
        });
        return only_here == found->second.end() ? nullptr : *only_here;
    }

    void find_ending_conflict()
    {
        const auto& yours = yours_state_->ending;
        const auto& theirs = theirs_state_->ending;
        if (yours != base_state_->ending && their_ending_changed_ && yours != theirs) {
            line_record your_line;
            your_line.comment = yours;
            line_record their_line;
            their_line.comment = theirs;
            add_conflict(ending_id, &your_line, &their_line);
        }
    }

    /// Takes over the lines that are already in force, with your words where you changed them.
    void keep_lines()
    {
        for (const auto& line : theirs_state_->lines) {
            const auto* yours = find(yours_, line.id);
            if (!changed_by_you(line.id) || agree(yours, &line)) {
                merged_.push_back(line);
            } else if (yours != nullptr) {
                merged_.push_back(stamped(*yours, line.order));
            }
        }
        for (const auto& line : merged_) {
            orders_.insert(line.order);
            order_by_id_.emplace(line.id, line.order);
        }
    }

    [[nodiscard]] line_record stamped(const line_record& words, double order) const
    {
        auto line = words;
        line.order = order;
        line.version = stamp_->version;
        line.author = stamp_->author;
        line.time_us = stamp_->time_us;
        return line;
    }

    /// Puts each new line right after the line before it in your text.
    void place_new_lines()
    {
        std::optional<double> before;
        for (const auto& line : yours_state_->lines) {
            if (const auto kept = order_by_id_.find(line.id); kept != order_by_id_.end()) {
                before = kept->second;
            } else if (changed_by_you(line.id)) {
                before = order_after(before);
                orders_.insert(*before);
                merged_.push_back(stamped(line, *before));
            }
        }
    }

    [[nodiscard]] double order_after(std::optional<double> before) const
    {
        const auto next = before ? orders_.upper_bound(*before) : orders_.begin();
        if (next == orders_.end()) {
            return before.value_or(0) + 1;
        }
        return before ? *before + (*next - *before) / 2 : *next - 1;
    }

    rules_state finish()
    {
        std::ranges::sort(merged_, [](const line_record& left, const line_record& right) {
            return std::tie(left.order, left.id) < std::tie(right.order, right.id);
        });
        const bool keeps_ending = yours_state_->ending == base_state_->ending;
        return {theirs_state_->version, std::move(merged_),
                keeps_ending ? theirs_state_->ending : yours_state_->ending};
    }

    const rules_state* base_state_;
    const rules_state* yours_state_;
    const rules_state* theirs_state_;
    const line_record* stamp_;
    line_index base_;
    line_index yours_;
    line_index theirs_;
    std::set<std::string_view> changed_by_them_;
    bool their_ending_changed_ = false;
    std::vector<merge_conflict> conflicts_;
    std::set<std::string_view> conflicting_ids_;
    std::vector<line_record> merged_;
    std::set<double> orders_;
    std::map<std::string, double, std::less<>> order_by_id_;
};

} // namespace

merge_outcome merge(const merge_input& input, const line_record& stamp)
{
    return merger{input, stamp}.run();
}

} // namespace poplarstile::rules::internal
