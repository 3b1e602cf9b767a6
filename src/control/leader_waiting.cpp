#include "control/leader.hpp"

#include "base/event_line.hpp"
#include "control/plan_input.hpp"
#include "planning/waiting_cause.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <numeric>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

/// Tells operators what keeps work that has waited for long. Decides nothing.
namespace poplarstile::control
{
namespace
{

constexpr base::event_logger log{"waiting"};
constexpr base::milliseconds look_interval{2'000};
/// Work is told of once it has waited for this long, and again after it.
constexpr base::milliseconds long_wait{3'000};
/// Units whose causes are computed in one look, those that wait for longest first.
constexpr std::size_t max_examined = 64;
/// Lines in one look, on those whose last line is oldest first.
constexpr std::size_t max_lines = 16;

/// A unit that has waited for long.
struct long_waiting {
    std::size_t unit = 0;
    waiting_units::entry* noted = nullptr;
    bool part_unread = false;
};

std::string text_of(const planning::unusable_counts& counts)
{
    std::string text;
    for (std::size_t index = 0; index < counts.size(); ++index) {
        if (counts.at(index) > 0) {
            text += fmt::format("{}{}={}", text.empty() ? "" : " ",
                                planning::name_of(static_cast<planning::unusable_reason>(index)),
                                counts.at(index));
        }
    }
    return text;
}

void log_waiting(const unit_origin& origin, const planning::work_unit& unit,
                 const planning::waiting_reason& reason, base::milliseconds waited)
{
    const auto& unusable = reason.unusable_workers;
    log.keep("work_waits", {{"job", origin.job},
                            {"occurrence", origin.occurrence},
                            {"step", origin.step},
                            {"tasks", unit.tasks.size()},
                            {"gang", unit.spec->gang},
                            {"one_rack", unit.spec->one_rack},
                            {"isolated", unit.isolated},
                            {"waited_ms", waited.count()},
                            {"late", unit.rank.late},
                            {"overdue", unit.rank.overdue},
                            {"cause", planning::name_of(reason.cause)},
                            {"slots_in_best_rack", reason.slots_in_best_rack},
                            {"slots_in_all_racks", reason.slots_in_all_racks},
                            {"slots_if_not_held", reason.slots_if_not_held},
                            {"slots_on_unusable", reason.slots_on_unusable},
                            {"usable_workers", reason.usable_workers},
                            {"unusable_workers",
                             std::accumulate(unusable.begin(), unusable.end(), std::size_t{0})},
                            {"unusable", text_of(unusable)}});
}

/// The units of the input that have waited for long, of which those from `placeable` on are in a
/// part that is not read.
std::vector<long_waiting> note_waiting(waiting_units& noted_units, const plan_input& input,
                                       std::size_t placeable, base::time_point now)
{
    std::vector<long_waiting> waiting;
    noted_units.begin_look();
    for (std::size_t unit = 0; unit < input.units.size(); ++unit) {
        const auto& [job, occurrence, step] = input.origins.at(unit);
        auto& noted = noted_units.note({job, occurrence, step, input.units.at(unit).isolated}, now);
        if (now - noted.since >= long_wait) {
            waiting.push_back({unit, &noted, unit >= placeable});
        }
    }
    noted_units.end_look();
    return waiting;
}

void keep_longest(std::vector<long_waiting>& waiting, std::size_t most)
{
    std::ranges::sort(waiting, {}, [](const long_waiting& one) {
        return std::tuple{one.noted->since, one.noted->told_at, one.unit};
    });
    waiting.resize(std::min(waiting.size(), most));
}

void sort_by_last_line(std::vector<long_waiting>& waiting)
{
    std::ranges::sort(waiting, {}, [](const long_waiting& one) {
        return std::tuple{one.noted->told_at, one.noted->since, one.unit};
    });
}

planning::waiting_reason reason_of(const planning::waiting_view& view, const long_waiting& one)
{
    if (!one.part_unread) {
        return planning::why_waiting(view, one.unit);
    }
    planning::waiting_reason reason;
    reason.cause = planning::waiting_cause::part_not_read;
    return reason;
}

} // namespace

void leader::report_waiting_work()
{
    const auto now = ports_.time->now();
    if (handing_back_ || now - waiting_looked_at_ < look_interval) {
        return;
    }
    waiting_looked_at_ = now;
    plan_input input;
    collect_workers(input);
    collect_units(input);
    const auto placeable = input.units.size();
    const auto elsewhere = jobs_recorded_elsewhere();
    for (auto& [id, entry] : jobs_) {
        if (entry.state.open() && !is_placeable(entry, elsewhere)) {
            collect_units_of(input, entry);
        }
    }
    auto waiting = note_waiting(waiting_, input, placeable, now);
    waiting_by_cause_ = {};
    waiting_unexamined_ = waiting.size() - std::min(waiting.size(), max_examined);
    if (waiting.empty()) {
        return;
    }
    keep_longest(waiting, max_examined);
    mark_isolated_workers(input);
    const std::span<const planning::work_unit> units{input.units};
    const auto view =
        planning::view_waiting(units.first(placeable), input.workers, starts_held_back_);
    sort_by_last_line(waiting);
    std::size_t lines = 0;
    for (const auto& one : waiting) {
        const auto reason = reason_of(view, one);
        ++waiting_by_cause_.at(static_cast<std::size_t>(reason.cause));
        if (lines < max_lines && now - one.noted->told_at >= long_wait) {
            ++lines;
            one.noted->told_at = now;
            log_waiting(input.origins.at(one.unit), units[one.unit], reason,
                        base::milliseconds{base::milliseconds_between(one.noted->since, now)});
        }
    }
}

} // namespace poplarstile::control
