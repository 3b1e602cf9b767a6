#include "bench/scheduling/workload.hpp"

#include "rules/rules_text.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <random>

namespace poplarstile::bench::scheduling
{
namespace
{

namespace product = poplarstile::scheduling;

/// One kind of work of a workload and its part of all work, in accelerator time.
struct job_mix {
    std::string class_name{};
    std::string workspace{};
    rules::shape shape{};
    double work_share = 0;
    /// Median of the true run times, which are log-normal.
    double median_run_ms = 5'000;
    bool checkpointable = true;
    bool idempotent = true;
    bool urgent = false;
};

constexpr double run_sigma = 1.2;
constexpr double longest_run_ms = 300'000;
/// Declared run times are wrong by up to this factor, either way.
constexpr double declared_error = 100.0;
constexpr double killer_share = 0.002;
constexpr double impossible_share = 0.005;
constexpr std::uint32_t target_workspaces = 87;

class generator
{
public:
    explicit generator(const scenario_request& request) : request_{request}, random_{request.seed}
    {
    }

    scenario make()
    {
        drawn_.name = request_.shape + "/" + std::string{to_string(request_.with)};
        drawn_.load = request_.load;
        drawn_.arrivals_end = request_.arrivals;
        drawn_.ends = request_.arrivals * 2;
        if (request_.shape == "target") {
            make_target();
        } else {
            make_deployment();
        }
        for (const auto& kind : mix_) {
            add_stream(kind);
        }
        disturb();
        std::ranges::stable_sort(drawn_.jobs, {}, &planned_job::arrives);
        return std::move(drawn_);
    }

private:
    double uniform(double least, double most)
    {
        return std::uniform_real_distribution<>{least, most}(random_);
    }

    void add_worker(std::uint32_t rack, std::uint32_t position, std::uint32_t accelerators)
    {
        const auto number = drawn_.workers.size();
        drawn_.workers.push_back({.id = fmt::format("w{}", number),
                                  .address = fmt::format("w{}", number),
                                  .rack = fmt::format("rack{:04}", rack),
                                  .position = position,
                                  .accelerators = accelerators});
    }

    void take_rules(const std::string& text)
    {
        auto read = rules::parse_rules(text);
        drawn_.rules = std::make_shared<rules::ruleset>(read.value());
    }

    /// One failure domain of today's deployments: 17 workers of 8 accelerators, 8 to a rack.
    void make_deployment()
    {
        constexpr std::uint32_t workers = 17;
        constexpr std::uint32_t workers_per_rack = 8;
        for (std::uint32_t worker = 0; worker < workers; ++worker) {
            add_worker(worker / workers_per_rack, worker % workers_per_rack, 8);
        }
        const bool renders = request_.shape == "camara";
        take_rules("# asked by: bench\nworkspace north guarantee 1 of 4x8 in centro\n"
                   "# asked by: bench\nworkspace south guarantee 1 of 4x8 in centro\n"
                   "# asked by: bench\nworkspace coast guarantee 1 of 2x8 in centro\n"
                   "# asked by: bench\nworkspace north share 2\n"
                   "# asked by: bench\nclass quick urgent within 1100ms\n"
                   "# asked by: bench\nclass once not_idempotent\n");
        const double large = renders ? 0.15 : 0.3;
        mix_ = {
            {"large", "north", {4, 8}, large, 20'000},
            {"large", "south", {4, 8}, large / 2, 20'000},
            {"middle", "south", {2, 8}, 0.15, 12'000},
            {"middle", "coast", {1, 8}, 0.15, 8'000},
            {"small", "coast", {1, 1}, 0.12, 4'000},
            {"small", "admin", {1, 2}, 0.12, 6'000},
            {"small", "admin", {1, 4}, renders ? 0.2 : 0.05, 6'000},
            {"once", "north", {1, 2}, 0.03, 3'000, false, false},
            {"quick", "north", {1, 1}, 0.03, 400, true, true, true},
        };
        normalise();
    }

    /// 13,000 accelerators on 8,900 workers with 1, 2, 4 and 8 of them, racks with gaps.
    void make_target()
    {
        constexpr std::uint32_t workers = 8'900;
        drawn_.worker_heartbeat = base::milliseconds{5'000};
        drawn_.worker_lease = base::milliseconds{15'000};
        std::uint32_t rack = 0;
        std::uint32_t position = 0;
        for (std::uint32_t worker = 0; worker < workers; ++worker) {
            const auto share = static_cast<double>(rack % 100) / 100.0;
            const std::uint32_t size = share < 0.86 ? 1 : share < 0.92 ? 2 : share < 0.96 ? 4 : 8;
            add_worker(rack, position, size);
            position += uniform(0, 1) < 0.002 ? 2 : 1;
            if (position >= 32) {
                position = 0;
                ++rack;
            }
        }
        std::string text = "# asked by: bench\nclass quick urgent within 1100ms\n";
        for (std::uint32_t space = 0; space < target_workspaces; ++space) {
            const auto* const shape = space % 8 == 0 ? "4x8" : "4x1";
            text += fmt::format("# asked by: bench\nworkspace s{} guarantee 1 of {} in centro\n",
                                space, shape);
        }
        take_rules(text);
        for (std::uint32_t space = 0; space < target_workspaces; ++space) {
            const auto name = fmt::format("s{}", space);
            mix_.push_back({"small", name, {1, 1}, 0.5, 6'000});
            mix_.push_back({"middle", name, {8, 1}, 0.4, 10'000});
            mix_.push_back({"quick", name, {1, 1}, 0.02, 400, true, true, true});
            if (space % 8 == 0) {
                mix_.push_back({"large", name, {4, 8}, 0.6, 20'000});
                mix_.push_back({"large", name, {32, 1}, 0.6, 20'000});
            }
        }
        normalise();
    }

    void normalise()
    {
        double sum = 0;
        for (const auto& kind : mix_) {
            sum += kind.work_share;
        }
        for (auto& kind : mix_) {
            kind.work_share /= sum;
        }
    }

    planned_job& add_job(const job_mix& kind, double arrives_ms)
    {
        const double run =
            std::min(longest_run_ms, std::lognormal_distribution<>{std::log(kind.median_run_ms),
                                                                   run_sigma}(random_));
        const double error = std::pow(declared_error, uniform(-1.0, 1.0));
        planned_job job;
        job.arrives = base::milliseconds{static_cast<std::int64_t>(arrives_ms)};
        job.true_run = base::milliseconds{static_cast<std::int64_t>(run) + 1};
        job.urgent = kind.urgent;
        job.spec = {.id = fmt::format("j{}", drawn_.jobs.size()),
                    .workspace = kind.workspace,
                    .class_name = kind.class_name,
                    .shape = kind.shape,
                    .declared_run = base::milliseconds{static_cast<std::int64_t>(run * error) + 1},
                    .checkpointable = kind.checkpointable,
                    .idempotent = kind.idempotent,
                    .failure_domain = "centro",
                    .payload = {}};
        drawn_.jobs.push_back(std::move(job));
        return drawn_.jobs.back();
    }

    void add_stream(const job_mix& kind)
    {
        const double mean_run = kind.median_run_ms * std::exp(run_sigma * run_sigma / 2);
        const double work = mean_run * static_cast<double>(kind.shape.total());
        const double rate =
            request_.load * kind.work_share * static_cast<double>(drawn_.accelerators()) / work;
        std::exponential_distribution<> gap{rate};
        const auto end = static_cast<double>(request_.arrivals.count());
        for (double at = gap(random_); at < end; at += gap(random_)) {
            auto& job = add_job(kind, at);
            const double draw = uniform(0, 1);
            if (draw < impossible_share) {
                job.spec.shape = {4'096, 8};
            } else if (draw < impossible_share + killer_share && kind.idempotent) {
                job.kills_workers = true;
            }
        }
    }

    void add_burst(const rules::shape& shape, std::uint32_t count)
    {
        const auto kind = std::ranges::find(mix_, shape, &job_mix::shape);
        const auto at = static_cast<double>(request_.arrivals.count()) * 0.4;
        for (std::uint32_t job = 0; kind != mix_.end() && job < count; ++job) {
            add_job(*kind, at);
        }
    }

    void disturb()
    {
        const auto middle = request_.arrivals / 2;
        const bool target = request_.shape == "target";
        switch (request_.with) {
        case disturbance::none:
            return;
        case disturbance::small_burst:
            add_burst({1, 1}, target ? 10'000 : 1'000);
            return;
        case disturbance::large_burst:
            add_burst({4, 8}, target ? 50 : 12);
            return;
        case disturbance::cancel_wave:
            add_burst({1, 1}, target ? 10'000 : 1'000);
            for (auto& job : drawn_.jobs) {
                if (job.arrives < middle && uniform(0, 1) < 0.5) {
                    job.cancelled_at = middle;
                }
            }
            return;
        case disturbance::rack_lost:
            drawn_.lost_rack = rack_loss{drawn_.workers.front().rack, middle};
            return;
        case disturbance::bad_workers:
            for (const auto& worker : drawn_.workers) {
                if (uniform(0, 1) < 0.1) {
                    drawn_.failing_workers.insert(worker.id);
                }
            }
            return;
        }
    }

    scenario_request request_;
    std::mt19937_64 random_;
    std::vector<job_mix> mix_{};
    scenario drawn_{};
};

} // namespace

rules::shape scenario::guaranteed_shape() const
{
    rules::shape largest;
    for (const auto& line : rules->lines) {
        const auto* guarantee = std::get_if<rules::guarantee_rule>(&line.body);
        if (guarantee != nullptr && guarantee->guaranteed.total() > largest.total()) {
            largest = guarantee->guaranteed;
        }
    }
    return largest;
}

std::uint64_t scenario::accelerators() const
{
    std::uint64_t sum = 0;
    for (const auto& worker : workers) {
        sum += worker.accelerators;
    }
    return sum;
}

std::string_view to_string(disturbance with)
{
    switch (with) {
    case disturbance::none:
        return "steady";
    case disturbance::small_burst:
        return "small_burst";
    case disturbance::large_burst:
        return "large_burst";
    case disturbance::cancel_wave:
        return "cancel_wave";
    case disturbance::rack_lost:
        return "rack_lost";
    case disturbance::bad_workers:
        return "bad_workers";
    }
    return "steady";
}

scenario make_scenario(const scenario_request& request)
{
    return generator{request}.make();
}

} // namespace poplarstile::bench::scheduling
