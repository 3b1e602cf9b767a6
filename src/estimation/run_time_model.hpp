#pragma once

#include "base/time.hpp"
#include "estimation/log_ratios.hpp"
#include "estimation/worker_speed.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace poplarstile::estimation
{

/// What is known of a task's run time before it runs.
struct run_kind {
    std::string_view queue{};
    std::string_view image{};
    /// The caller's estimate; 0 without one.
    base::milliseconds estimate{0};
};

/// A task, or a whole gang, that ran from its beginning to its end.
struct finished_run {
    run_kind kind{};
    base::milliseconds took{0};
    /// The different workers that it ran on; several for a gang.
    std::span<worker_speed* const> workers{};
};

/// Relative errors of predictions as factors, of the newest samples; 1 is no error.
struct error_quantiles {
    double median = 1.0;
    double high = 1.0;
};

/// What a model has learned, for operators.
struct model_summary {
    std::size_t keys = 0;
    std::uint64_t samples = 0;
    std::uint64_t ignored = 0;
    /// Of the callers' estimates alone.
    error_quantiles estimated{};
    /// Of predictions made before the run was learned from.
    error_quantiles predicted{};
};

/// Learns the ratio of run times to the callers' estimates by queue and image, together with the
/// speeds of the workers that showed them: a ratio is corrected by the speed of its worker, and a
/// speed is learned from what the ratio of its kind does not explain. A speed of 1 is that of most
/// workers. Load pattern: estimates that
/// are wrong by a factor, on workers of uneven speed, with some tasks that take many times their
/// estimate. Without samples, predictions are the callers' estimates. Fixed memory.
class run_time_model
{
public:
    /// Kinds of work that are told apart, including one for each queue as a whole. The kind that
    /// was learned from least recently is forgotten for a new one.
    static constexpr std::size_t max_keys = 256;

    run_time_model();

    /// Learns from a run. Returns false, and learns nothing, when its run time can't be right.
    bool learn(const finished_run& run, base::time_point now);

    /// Expected run time on a worker of speed 1; the estimate while nothing is known.
    [[nodiscard]] base::milliseconds expected(const run_kind& kind) const;

    [[nodiscard]] model_summary summary() const;

private:
    /// Number of newest samples of which errors are kept.
    static constexpr std::size_t max_errors = 256;

    struct learned_ratio {
        log_ratios ratios{};
        std::uint64_t learned_at = 0;
    };

    /// Logarithm of the ratio, and how many samples it rests on.
    struct prediction {
        double log_ratio = 0.0;
        double samples = 0.0;
    };

    [[nodiscard]] prediction predict(const run_kind& kind) const;
    [[nodiscard]] const learned_ratio* find(std::uint64_t key) const;
    learned_ratio& find_or_add(std::uint64_t key);
    void add_ratio(std::uint64_t key, double ratio);
    void follow_typical_speed(double log_speed);
    void record_errors(const run_kind& kind, double ratio, double expected);

    /// Hashes of the keys, in the order of `ratios_`.
    std::vector<std::uint64_t> keys_{};
    std::vector<learned_ratio> ratios_{};
    /// Running median of the logarithmic speeds of the workers that runs ended on. Speeds are kept
    /// around it, so that 1 is the speed of most workers.
    double typical_log_speed_ = 0.0;
    std::uint64_t samples_ = 0;
    std::uint64_t ignored_ = 0;
    std::array<float, max_errors> estimate_errors_{};
    std::array<float, max_errors> prediction_errors_{};
    std::size_t errors_ = 0;
};

} // namespace poplarstile::estimation
