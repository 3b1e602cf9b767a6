#include "bench/scheduling/run_record.hpp"

#include <algorithm>
#include <list>
#include <queue>

namespace poplarstile::bench::scheduling
{
namespace
{

using base::milliseconds;
using poplarstile::scheduling::job_state;

constexpr milliseconds sample_interval{1'000};
constexpr milliseconds failing_worker_delay{200};
constexpr std::uint32_t failures_to_give_up = 3;

struct attempt_end {
    milliseconds at{0};
    std::size_t job = 0;
    std::uint32_t attempt = 0;

    bool operator<(const attempt_end& other) const
    {
        return at > other.at;
    }
};

class baseline
{
public:
    baseline(const scenario& drawn, baseline_kind kind) : drawn_{drawn}, kind_{kind}
    {
        record_.policy = kind == baseline_kind::strict ? "fcfs_strict" : "fcfs_first_fit";
        record_.jobs.resize(drawn.jobs.size());
        places_.resize(drawn.jobs.size());
        attempts_.resize(drawn.jobs.size());
        failures_.resize(drawn.jobs.size());
        for (const auto& worker : drawn.workers) {
            domain_.workers.push_back({worker.rack, worker.position, true,
                                       std::vector<bool>(worker.accelerators, false)});
        }
        for (const auto& line : drawn.rules->lines) {
            if (const auto* rule = std::get_if<rules::guarantee_rule>(&line.body)) {
                guarantees_.push_back(*rule);
            }
        }
        empty_.workers.assign(domain_.workers.begin(), domain_.workers.end());
    }

    run_record run()
    {
        std::size_t arrived = 0;
        milliseconds sampled{0};
        for (milliseconds now{0}; now < drawn_.ends; now += step) {
            bool changed = false;
            while (!ends_.empty() && ends_.top().at <= now) {
                end_attempt(ends_.top());
                ends_.pop();
                changed = true;
            }
            for (; arrived < drawn_.jobs.size() && drawn_.jobs[arrived].arrives <= now; ++arrived) {
                arrive(arrived, now);
                changed = true;
            }
            changed = disturb(now) || changed;
            if (changed) {
                place(now);
            }
            if (now >= sampled) {
                sampled += sample_interval;
                sample(now);
            }
        }
        return std::move(record_);
    }

private:
    static constexpr milliseconds step{10};

    void arrive(std::size_t job, milliseconds now)
    {
        if (!first_fit(empty_, drawn_.jobs[job].spec.shape)) {
            finish(job, job_state::rejected, now);
            return;
        }
        queue_.push_back(job);
    }

    void finish(std::size_t job, job_state state, milliseconds now)
    {
        record_.jobs[job].state = state;
        record_.jobs[job].ended = now;
    }

    void free_places(std::size_t job)
    {
        const auto size = drawn_.jobs[job].spec.shape.accelerators;
        for (const auto& place : places_[job]) {
            for (std::uint32_t at = 0; at < size; ++at) {
                domain_.workers[place.worker].taken[place.first + at] = false;
            }
        }
        places_[job].clear();
        ++attempts_[job];
    }

    bool fails(std::size_t job) const
    {
        return std::ranges::any_of(places_[job], [this](const first_fit_place& place) {
            return drawn_.failing_workers.contains(drawn_.workers[place.worker].id);
        });
    }

    void requeue(std::size_t job, milliseconds now)
    {
        free_places(job);
        if (!drawn_.jobs[job].spec.idempotent) {
            finish(job, job_state::unknown, now);
            return;
        }
        queue_.insert(std::ranges::lower_bound(queue_, job), job);
    }

    void end_attempt(const attempt_end& end)
    {
        const auto job = end.job;
        if (end.attempt != attempts_[job] || places_[job].empty()) {
            return;
        }
        const bool killed = drawn_.jobs[job].kills_workers;
        if (killed) {
            kill_neighbours(job, end.at);
        }
        if (!killed && !fails(job)) {
            free_places(job);
            finish(job, job_state::completed, end.at);
        } else if (++failures_[job] >= failures_to_give_up) {
            free_places(job);
            finish(job, job_state::failed, end.at);
        } else {
            requeue(job, end.at);
        }
    }

    void kill_neighbours(std::size_t killer, milliseconds now)
    {
        std::set<std::size_t> workers;
        for (const auto& place : places_[killer]) {
            workers.insert(place.worker);
        }
        for (std::size_t job = 0; job < places_.size(); ++job) {
            const bool hit = job != killer && std::ranges::any_of(places_[job], [&](auto& place) {
                                 return workers.contains(place.worker);
                             });
            if (hit) {
                requeue(job, now);
            }
        }
    }

    bool disturb(milliseconds now)
    {
        bool changed = false;
        if (drawn_.lost_rack && now >= drawn_.lost_rack->at && !rack_gone_) {
            rack_gone_ = true;
            changed = true;
            lose_rack(now);
        }
        for (; !cancelled_ && !drawn_.jobs.empty() && now >= drawn_.arrivals_end / 2;) {
            cancelled_ = true;
            changed = true;
            cancel(now);
        }
        return changed;
    }

    void lose_rack(milliseconds now)
    {
        for (auto& worker : domain_.workers) {
            worker.usable = worker.usable && worker.rack != drawn_.lost_rack->rack;
        }
        for (std::size_t job = 0; job < places_.size(); ++job) {
            const bool hit = std::ranges::any_of(places_[job], [this](const auto& place) {
                return !domain_.workers[place.worker].usable;
            });
            if (hit) {
                requeue(job, now);
            }
        }
    }

    void cancel(milliseconds now)
    {
        for (std::size_t job = 0; job < drawn_.jobs.size(); ++job) {
            if (!drawn_.jobs[job].cancelled_at || record_.jobs[job].ended) {
                continue;
            }
            free_places(job);
            std::erase(queue_, job);
            finish(job, job_state::cancelled, now);
        }
    }

    void place(milliseconds now)
    {
        std::set<rules::shape> without_place;
        for (auto entry = queue_.begin(); entry != queue_.end();) {
            const auto job = *entry;
            const auto& shape = drawn_.jobs[job].spec.shape;
            auto places = without_place.contains(shape) ? std::nullopt : first_fit(domain_, shape);
            if (!places) {
                if (kind_ == baseline_kind::strict) {
                    return;
                }
                without_place.insert(shape);
                ++entry;
                continue;
            }
            start(job, std::move(*places), now);
            entry = queue_.erase(entry);
        }
    }

    void start(std::size_t job, std::vector<first_fit_place> places, milliseconds now)
    {
        const auto size = drawn_.jobs[job].spec.shape.accelerators;
        for (const auto& place : places) {
            for (std::uint32_t at = 0; at < size; ++at) {
                domain_.workers[place.worker].taken[place.first + at] = true;
            }
        }
        places_[job] = std::move(places);
        if (!record_.jobs[job].started) {
            record_.jobs[job].started = now;
        }
        record_.jobs[job].state = job_state::running;
        const auto run = fails(job) ? failing_worker_delay : drawn_.jobs[job].true_run;
        ends_.push({now + run, job, attempts_[job]});
    }

    /// Nothing gives way here: a guarantee holds only while its shapes are free or its own.
    std::uint32_t guarantees_short() const
    {
        std::uint32_t missing = 0;
        auto domain = domain_;
        for (const auto& rule : guarantees_) {
            std::uint64_t used = 0;
            for (std::size_t job = 0; job < places_.size(); ++job) {
                const auto& spec = drawn_.jobs[job].spec;
                used += !places_[job].empty() && spec.workspace == rule.workspace
                            ? spec.shape.total()
                            : 0;
            }
            const auto held = used / rule.guaranteed.total();
            for (auto left = held; left < rule.count; ++left) {
                const auto places = first_fit(domain, rule.guaranteed);
                missing += places ? 0 : 1;
                for (std::size_t member = 0; places && member < places->size(); ++member) {
                    const auto& place = (*places)[member];
                    for (std::uint32_t at = 0; at < rule.guaranteed.accelerators; ++at) {
                        domain.workers[place.worker].taken[place.first + at] = true;
                    }
                }
            }
        }
        return missing;
    }

    void sample(milliseconds now)
    {
        auto seen = sample_fragmentation(domain_, drawn_.guaranteed_shape());
        seen.at = now;
        seen.queued = queue_.size();
        seen.guarantees_short = guarantees_short();
        record_.samples.push_back(seen);
    }

    const scenario& drawn_;
    baseline_kind kind_;
    run_record record_{};
    occupancy domain_{};
    occupancy empty_{};
    std::list<std::size_t> queue_{};
    std::priority_queue<attempt_end> ends_{};
    std::vector<std::vector<first_fit_place>> places_{};
    std::vector<std::uint32_t> attempts_{};
    std::vector<std::uint32_t> failures_{};
    std::vector<rules::guarantee_rule> guarantees_{};
    bool rack_gone_ = false;
    bool cancelled_ = false;
};

} // namespace

run_record run_baseline(const scenario& drawn, baseline_kind kind)
{
    return baseline{drawn, kind}.run();
}

} // namespace poplarstile::bench::scheduling
