#include "estimation/run_time_model.hpp"

#include <algorithm>
#include <cmath>
#include <functional>

namespace poplarstile::estimation
{
namespace
{

using base::milliseconds;

/// Number of samples at which a ratio counts as much as what it falls back to.
constexpr double half_trusted_samples = 4.0;
/// A run time of more than this, or a factor of more than e^7 (about 1,100) between run time and
/// estimate, is taken for a fault of a clock.
constexpr milliseconds longest_run_time = std::chrono::hours{7 * 24};
constexpr double max_log_ratio = 7.0;
/// What run times are compared with where callers give no estimate.
constexpr milliseconds reference_time{1'000};

/// Logarithmic speeds that differ by less may be the same; it is about the uncertainty of a speed
/// after ten observations.
constexpr double same_speed_range = 0.2;

/// How far one sample moves the typical speed: a few hundred samples follow any change.
constexpr double typical_speed_step = 0.005;

constexpr std::uint64_t whole_queue_salt = 0x9e3779b97f4a7c15U;
constexpr std::uint64_t without_estimate_salt = 0xc2b2ae3d27d4eb4fU;
constexpr std::uint64_t mix_factor = 0xff51afd7ed558ccdU;

std::uint64_t mix(std::uint64_t one, std::uint64_t other)
{
    constexpr unsigned half = 32;
    const auto mixed = (one ^ (other + whole_queue_salt)) * mix_factor;
    return mixed ^ (mixed >> half);
}

std::uint64_t queue_key(const run_kind& kind)
{
    const auto salt = kind.estimate > milliseconds{0} ? whole_queue_salt : without_estimate_salt;
    return mix(std::hash<std::string_view>{}(kind.queue), salt);
}

std::uint64_t image_key(const run_kind& kind)
{
    return mix(queue_key(kind), std::hash<std::string_view>{}(kind.image));
}

milliseconds reference_of(const run_kind& kind)
{
    return kind.estimate > milliseconds{0} ? kind.estimate : reference_time;
}

double as_count(milliseconds time)
{
    return static_cast<double>(time.count());
}

/// The speed that a gang shows is that of its slowest member.
double slowest_log_speed(std::span<worker_speed* const> workers, base::time_point now)
{
    auto slowest = workers.front()->log_speed(now);
    for (const auto* const worker : workers.subspan(1)) {
        slowest = std::min(slowest, worker->log_speed(now));
    }
    return slowest;
}

/// Observes the speed at the members that may have set the pace of the run: the slowest, and those
/// that may be as slow as far as is known.
void learn_speeds(std::span<worker_speed* const> workers, double observed, double weight,
                  base::time_point now)
{
    const auto limit = slowest_log_speed(workers, now) + same_speed_range;
    const auto share = weight / static_cast<double>(workers.size());
    for (auto* const worker : workers) {
        if (worker->log_speed(now) <= limit) {
            worker->observe(observed, share, now);
        }
    }
}

error_quantiles quantiles_of(std::span<float> errors)
{
    constexpr double high_share = 0.9;
    return {std::exp(quantile_of(errors, 0.5)), std::exp(quantile_of(errors, high_share))};
}

} // namespace

run_time_model::run_time_model()
{
    keys_.reserve(max_keys);
    ratios_.reserve(max_keys);
}

bool run_time_model::learn(const finished_run& run, base::time_point now)
{
    const bool possible = run.took > milliseconds{0} && run.took <= longest_run_time;
    const auto ratio =
        possible ? std::log(as_count(run.took) / as_count(reference_of(run.kind))) : 0.0;
    if (!possible || run.workers.empty() || std::abs(ratio) > max_log_ratio) {
        ++ignored_;
        return false;
    }
    ++samples_;
    const auto before = predict(run.kind);
    const auto speed = slowest_log_speed(run.workers, now);
    record_errors(run.kind, ratio, before.log_ratio - speed);
    follow_typical_speed(speed);
    // Without this, errors of speeds and ratios could grow together: only their difference is
    // observed.
    const auto relative_speed = speed - typical_log_speed_;
    add_ratio(queue_key(run.kind), ratio + relative_speed);
    add_ratio(image_key(run.kind), ratio + relative_speed);
    // Speeds learned from a ratio that is not known yet would take its error for theirs.
    const auto trust = before.samples / (before.samples + 2.0 * half_trusted_samples);
    if (trust > 0.0) {
        learn_speeds(run.workers, before.log_ratio - ratio, trust, now);
    }
    return true;
}

base::milliseconds run_time_model::expected(const run_kind& kind) const
{
    const auto predicted = predict(kind);
    if (predicted.samples <= 0.0) {
        return kind.estimate;
    }
    return milliseconds{std::llround(as_count(reference_of(kind)) * std::exp(predicted.log_ratio))};
}

model_summary run_time_model::summary() const
{
    model_summary made;
    made.keys = keys_.size();
    made.samples = samples_;
    made.ignored = ignored_;
    const auto count = std::min(errors_, max_errors);
    auto estimated = estimate_errors_;
    auto predicted = prediction_errors_;
    made.estimated = quantiles_of(std::span{estimated}.first(count));
    made.predicted = quantiles_of(std::span{predicted}.first(count));
    return made;
}

run_time_model::prediction run_time_model::predict(const run_kind& kind) const
{
    prediction made;
    for (const auto key : {queue_key(kind), image_key(kind)}) {
        const auto* const known = find(key);
        if (known == nullptr) {
            continue;
        }
        const auto samples = static_cast<double>(known->ratios.count());
        const auto trust = samples / (samples + half_trusted_samples);
        made.log_ratio += (known->ratios.median() - made.log_ratio) * trust;
        made.samples = samples;
    }
    return made;
}

const run_time_model::learned_ratio* run_time_model::find(std::uint64_t key) const
{
    const auto found = std::ranges::find(keys_, key);
    return found == keys_.end() ? nullptr
                                : &ratios_[static_cast<std::size_t>(found - keys_.begin())];
}

run_time_model::learned_ratio& run_time_model::find_or_add(std::uint64_t key)
{
    const auto found = std::ranges::find(keys_, key);
    if (found != keys_.end()) {
        return ratios_[static_cast<std::size_t>(found - keys_.begin())];
    }
    if (keys_.size() < max_keys) {
        keys_.push_back(key);
        return ratios_.emplace_back();
    }
    const auto oldest = std::ranges::min_element(ratios_, {}, &learned_ratio::learned_at);
    keys_[static_cast<std::size_t>(oldest - ratios_.begin())] = key;
    *oldest = {};
    return *oldest;
}

void run_time_model::add_ratio(std::uint64_t key, double ratio)
{
    auto& known = find_or_add(key);
    known.ratios.add(ratio);
    known.learned_at = samples_;
}

void run_time_model::follow_typical_speed(double log_speed)
{
    const auto distance = log_speed - typical_log_speed_;
    typical_log_speed_ += std::clamp(distance, -typical_speed_step, typical_speed_step);
}

void run_time_model::record_errors(const run_kind& kind, double ratio, double expected)
{
    if (kind.estimate <= milliseconds{0}) {
        return;
    }
    const auto position = errors_ % max_errors;
    estimate_errors_.at(position) = static_cast<float>(std::abs(ratio));
    prediction_errors_.at(position) = static_cast<float>(std::abs(ratio - expected));
    ++errors_;
}

} // namespace poplarstile::estimation
