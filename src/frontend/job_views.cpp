#include "frontend/job_views.hpp"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace poplarstile::frontend
{

job_views::job_views(const base::timers& time, base::milliseconds fresh_for, std::size_t max_final)
    : time_{time}, fresh_for_{fresh_for}, max_final_{max_final}
{
}

void job_views::note(const cluster::job_view& view)
{
    const auto found = views_.find(view.job);
    if (found != views_.end() && batch::is_final(found->second.status)) {
        return;
    }
    views_.insert_or_assign(view.job, view);
    uncertain_.erase(view.job);
    if (batch::is_final(view.status)) {
        retain_final(view.job);
    }
}

void job_views::retain_final(const std::string& job)
{
    final_.push_back(job);
    while (final_.size() > max_final_) {
        views_.erase(final_.front());
        final_.pop_front();
    }
}

bool job_views::apply_heartbeat(const cluster::leader_heartbeat& heartbeat)
{
    if (heartbeat.epoch < epoch_ ||
        (heartbeat.epoch == epoch_ && heartbeat.sequence <= sequence_)) {
        return true;
    }
    const bool consecutive = heartbeat.epoch == epoch_ && heartbeat.sequence == sequence_ + 1;
    epoch_ = heartbeat.epoch;
    sequence_ = heartbeat.sequence;
    whole_ = !heartbeat.partial;
    if (heartbeat.snapshot) {
        replace_open_jobs(heartbeat.changes, whole_);
        complete_ = true;
    } else if (!consecutive) {
        complete_ = false;
    }
    for (const auto& change : heartbeat.changes) {
        note(change);
    }
    loads_ = heartbeat.loads;
    updated_at_ = time_.now();
    return complete_;
}

void job_views::replace_open_jobs(const std::vector<cluster::job_view>& open, bool whole)
{
    std::unordered_set<std::string_view> open_ids;
    for (const auto& view : open) {
        open_ids.insert(view.job);
    }
    uncertain_.clear();
    for (const auto& [job, view] : views_) {
        if (!batch::is_final(view.status) && !open_ids.contains(job)) {
            uncertain_.insert(job);
        }
    }
    if (whole) {
        for (const auto& job : uncertain_) {
            views_.erase(job);
        }
        uncertain_.clear();
    }
    for (const auto& view : open) {
        note(view);
    }
}

void job_views::set_loads(std::vector<cluster::queue_load> loads, bool whole)
{
    loads_ = std::move(loads);
    whole_ = whole;
    complete_ = true;
    updated_at_ = time_.now();
}

bool job_views::fresh() const
{
    return complete_ && time_.now() - updated_at_ <= fresh_for_;
}

bool job_views::knows(std::string_view job) const
{
    return views_.contains(std::string{job});
}

std::optional<cluster::job_view> job_views::find(std::string_view job) const
{
    const auto found = views_.find(std::string{job});
    if (found == views_.end()) {
        return std::nullopt;
    }
    const bool current = fresh() && !uncertain_.contains(found->first);
    if (!batch::is_final(found->second.status) && !current) {
        return std::nullopt;
    }
    return found->second;
}

std::optional<cluster::queue_load> job_views::load_of(std::string_view queue) const
{
    if (!fresh()) {
        return std::nullopt;
    }
    const auto found = std::ranges::find(loads_, queue, &cluster::queue_load::queue);
    return found == loads_.end() ? cluster::queue_load{std::string{queue}} : *found;
}

} // namespace poplarstile::frontend
