#include "control/leader.hpp"

#include "base/event_line.hpp"
#include "store/row_keys.hpp"

/// Applies stored requests to cancel jobs, and removes their rows.
namespace poplarstile::control
{
namespace
{

using store::cancel_suffix;

constexpr base::event_logger log{"leader"};
/// Rows of one part that are removed in one tick.
constexpr std::size_t max_rows_removed_at_once = 20;

} // namespace

void leader::remove_cancel(const std::string& id, std::size_t part)
{
    if (parts_.at(part).journal) {
        const auto row = jobs_row(part, id + std::string{cancel_suffix});
        parts_.at(part).journal->add({{{row, store::row_removal{}}}, {}});
    }
}

void leader::cancel_job(const std::string& id, std::size_t part)
{
    const auto found = jobs_.find(id);
    if (found == jobs_.end()) {
        early_cancels_.add(id, part, ports_.time->now());
        return;
    }
    auto& entry = found->second;
    entry.cancel_parts.insert(part);
    if (entry.state.cancelled()) {
        return;
    }
    entry.state.cancel();
    log.keep("job_cancelled", {{"job", id}, {"placed_tasks", entry.state.placed_tasks()}});
    if (active_ && parts_.at(entry.part).phase == part_phase::active) {
        stop_job(entry, stop_reason::cancelled);
        mark_dirty(id);
    }
}

void leader::remove_unneeded_cancels()
{
    // A job that is not known once all rows have been seen is gone, or its submission has not been
    // carried out yet. One that has ended may have a second row that has not been seen.
    const auto seen_at = all_rows_seen_at();
    if (!seen_at) {
        return;
    }
    const auto limit_of = [this, seen_at = *seen_at](const std::string& id) {
        return ended_.contains(id) ? seen_at : seen_at - options_.cancel_retention;
    };
    for (std::size_t part = 0; part < parts_.size(); ++part) {
        // A part that does not answer would only collect removals.
        if (!part_answers(part)) {
            continue;
        }
        for (const auto& id :
             early_cancels_.take_noted_before(part, limit_of, max_rows_removed_at_once)) {
            log.info("cancel_row_removed",
                     {{"job", id}, {"store_part", options_.parts.name(part)}, {"epoch", epoch_}});
            remove_cancel(id, part);
        }
    }
}

} // namespace poplarstile::control
