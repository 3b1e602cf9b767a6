#include "ordering/job_queue.hpp"

#include <algorithm>
#include <functional>
#include <iterator>

namespace poplarstile::ordering
{

job_queue::job_queue(const policy& constants, std::string failure_domain)
    : policy_{constants}, failure_domain_{std::move(failure_domain)}
{
}

void job_queue::set_rules(std::shared_ptr<const rules::ruleset> in_force)
{
    rules_ = std::move(in_force);
    for (auto& [name, account] : accounts_) {
        account = workspace_account{.used = account.used};
    }
    for (const auto& line : rules_->lines) {
        if (const auto* guarantee = std::get_if<rules::guarantee_rule>(&line.body)) {
            if (guarantee->failure_domain == failure_domain_) {
                accounts_[guarantee->workspace].guaranteed +=
                    guarantee->guaranteed.total() * guarantee->count;
            }
        } else if (const auto* share = std::get_if<rules::share_rule>(&line.body)) {
            accounts_[share->workspace].weight = share->weight;
        } else if (const auto* quota = std::get_if<rules::quota_rule>(&line.body)) {
            accounts_[quota->workspace].quota = quota->accelerators;
        }
    }
}

void job_queue::add(const queued_job& job)
{
    (void)remove(job.number);
    const lane_key key{job.workspace, job.class_name, job.shape, job.stoppable,
                       service_level(policy_, job.attained)};
    const auto at = lanes_.try_emplace(key).first;
    auto before = at->second.end();
    while (before != at->second.begin() && std::prev(before)->queued_since > job.queued_since) {
        --before;
    }
    entries_[job.number] = {at, at->second.insert(before, job)};
    (void)accounts_[job.workspace];
}

bool job_queue::remove(job_number number)
{
    const auto found = entries_.find(number);
    if (found == entries_.end()) {
        return false;
    }
    auto& place = found->second;
    place.at->second.erase(place.job);
    entries_.erase(found);
    return true;
}

void job_queue::clear()
{
    lanes_.clear();
    entries_.clear();
    for (auto& [name, account] : accounts_) {
        account.used = 0;
    }
}

void job_queue::add_use(const std::string& workspace, std::uint64_t accelerators)
{
    accounts_[workspace].used += accelerators;
}

void job_queue::remove_use(const std::string& workspace, std::uint64_t accelerators)
{
    auto& account = accounts_[workspace];
    account.used -= std::min(account.used, accelerators);
}

/// A class stands behind the waiting classes that a rule puts before it.
std::map<std::string, std::uint32_t, std::less<>> job_queue::class_ranks() const
{
    std::map<std::string, std::uint32_t, std::less<>> ranks;
    for (const auto& [key, jobs] : lanes_) {
        if (!jobs.empty()) {
            ranks.try_emplace(key.class_name, 0);
        }
    }
    for (auto& [name, rank] : ranks) {
        for (const auto& [other, unused] : ranks) {
            rank += rules_->goes_before(other, name) ? 1 : 0;
        }
    }
    return ranks;
}

/// Accelerators in use for each unit of weight, over all workspaces.
double job_queue::fair_use() const
{
    double used = 0;
    double weight = 0;
    for (const auto& [name, account] : accounts_) {
        used += static_cast<double>(account.used);
        weight += account.weight;
    }
    return weight > 0 ? used / weight : 0;
}

bool job_queue::within_quota(const lane_key& key) const
{
    const auto& account = accounts_.find(key.workspace)->second;
    return !account.quota || account.used + key.shape.total() <= *account.quota;
}

bool job_queue::may_start(job_number number) const
{
    const auto found = entries_.find(number);
    return found != entries_.end() && within_quota(found->second.at->first);
}

job_queue::pass::pass(job_queue& queue, base::time_point now)
    : queue_{queue}, now_{now}, ranks_{queue.class_ranks()}
{
    for (auto at = queue_.lanes_.begin(); at != queue_.lanes_.end();) {
        if (at->second.empty()) {
            at = queue_.lanes_.erase(at);
            continue;
        }
        push(at, at->second.begin());
        ++at;
    }
}

void job_queue::pass::push(lane_map::iterator at, lane::iterator job)
{
    heap_.push_back({key_of(at->first, *job), at, job});
    std::ranges::push_heap(heap_, std::greater<>{});
}

job_queue::pass::order_key job_queue::pass::key_of(const lane_key& alike,
                                                   const queued_job& job) const
{
    order_key key{.queued_since = job.queued_since, .number = job.number};
    const auto* kind = queue_.rules_->find_class(alike.class_name);
    key.not_urgent = kind == nullptr || !kind->urgent_within;
    const auto rank = ranks_.find(alike.class_name);
    key.rank = rank == ranks_.end() ? 0 : rank->second;
    if (queue_.policy_.arrival_order) {
        return key;
    }
    key.not_aged = now_ - job.queued_since < queue_.policy_.ageing;
    if (!key.not_aged) {
        key.rank = 0;
        return key;
    }
    const auto& account = queue_.accounts_.find(alike.workspace)->second;
    key.above_guarantee = account.used + alike.shape.total() > account.guaranteed;
    key.weighted_use = static_cast<double>(account.used) / account.weight;
    key.above_share = key.weighted_use > queue_.fair_use();
    key.level = alike.level;
    key.size = queue_.policy_.small_first ? alike.shape.total() : 0;
    return key;
}

std::optional<job_number> job_queue::pass::next()
{
    return_taken();
    while (!heap_.empty()) {
        std::ranges::pop_heap(heap_, std::greater<>{});
        const auto best = heap_.back();
        heap_.pop_back();
        const auto key = key_of(best.at->first, *best.job);
        if (key > best.key) {
            // Use grew since the lane was sorted in.
            push(best.at, best.job);
            continue;
        }
        if (!queue_.within_quota(best.at->first)) {
            continue;
        }
        taken_ = best;
        following_ = std::next(best.job);
        reason_ = !key.not_urgent        ? order_reason::urgent
                  : !key.not_aged        ? order_reason::aged
                  : !key.above_guarantee ? order_reason::guarantee
                  : !key.above_share     ? order_reason::share
                                         : order_reason::service;
        return best.job->number;
    }
    return std::nullopt;
}

void job_queue::pass::return_taken()
{
    if (taken_ && following_ != taken_->at->second.end()) {
        push(taken_->at, following_);
    }
    taken_.reset();
}

void job_queue::pass::skip_lane()
{
    taken_.reset();
}

} // namespace poplarstile::ordering
