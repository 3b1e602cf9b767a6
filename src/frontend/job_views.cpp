#include "frontend/job_views.hpp"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace poplarstile::frontend
{

job_views::job_views(const base::timers& time, base::milliseconds fresh_for, std::size_t most_final)
    : time_{time}, fresh_for_{fresh_for}, most_final_{most_final}
{
}

void job_views::note(const cluster::job_view& view)
{
    const auto found = views_.find(view.job);
    if (found != views_.end() && batch::is_final(found->second.status)) {
        return;
    }
    views_.insert_or_assign(view.job, view);
    doubtful_.erase(view.job);
    if (batch::is_final(view.status)) {
        keep_final(view.job);
    }
}

void job_views::keep_final(const std::string& job)
{
    final_.push_back(job);
    while (final_.size() > most_final_) {
        views_.erase(final_.front());
        final_.pop_front();
    }
}

bool job_views::apply_heartbeat(const cluster::leader_heartbeat& beat)
{
    if (beat.epoch < epoch_ || (beat.epoch == epoch_ && beat.sequence <= sequence_)) {
        return true;
    }
    const bool next = beat.epoch == epoch_ && beat.sequence == sequence_ + 1;
    epoch_ = beat.epoch;
    sequence_ = beat.sequence;
    whole_ = !beat.partial;
    if (beat.snapshot) {
        replace_open_jobs(beat.changes, whole_);
        complete_ = true;
    } else if (!next) {
        complete_ = false;
    }
    for (const auto& change : beat.changes) {
        note(change);
    }
    loads_ = beat.loads;
    heard_at_ = time_.now();
    return complete_;
}

void job_views::replace_open_jobs(const std::vector<cluster::job_view>& open, bool whole)
{
    std::unordered_set<std::string_view> names;
    for (const auto& view : open) {
        names.insert(view.job);
    }
    doubtful_.clear();
    for (const auto& [job, view] : views_) {
        if (!batch::is_final(view.status) && !names.contains(job)) {
            doubtful_.insert(job);
        }
    }
    if (whole) {
        for (const auto& job : doubtful_) {
            views_.erase(job);
        }
        doubtful_.clear();
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
    heard_at_ = time_.now();
}

bool job_views::fresh() const
{
    return complete_ && time_.now() - heard_at_ <= fresh_for_;
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
    const bool current = fresh() && !doubtful_.contains(found->first);
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
    return found == loads_.end() ? cluster::queue_load{std::string{queue}, 0, 0} : *found;
}

} // namespace poplarstile::frontend
