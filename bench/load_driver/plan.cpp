#include "bench/load_driver/plan.hpp"

#include <boost/random/bernoulli_distribution.hpp>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace poplarstile::bench::load_driver
{
namespace
{

using nlohmann::json;

constexpr double us_per_second = 1e6;
/// A repeated request follows the first one within this time.
constexpr base::milliseconds least_repeat_delay{20};
constexpr base::milliseconds most_repeat_delay{1'500};

/// Draws the calls of one plan; holds the generator and the numbering of the work.
class planner
{
public:
    explicit planner(const plan_options& options) : options_{options}, generator_{options.seed} {}

    void add(const request_stream& stream)
    {
        for (const auto at : arrivals(stream.base)) {
            add_request(stream, at);
        }
    }

    void add(const job_stream& stream, std::size_t number)
    {
        for (const auto at : arrivals(stream.base)) {
            add_job(stream, number, at);
        }
        for (const auto& wave : stream.cancel_waves) {
            calls_.push_back({at_share(wave.at_share), cancel_call{number, wave.share}});
        }
    }

    [[nodiscard]] std::vector<planned_call> take()
    {
        std::ranges::stable_sort(calls_, {}, &planned_call::at);
        return std::move(calls_);
    }

private:
    [[nodiscard]] base::microseconds at_share(double share) const
    {
        const base::microseconds length{options_.length};
        return base::microseconds{std::llround(static_cast<double>(length.count()) * share)};
    }

    std::vector<base::microseconds> arrivals(const stream_base& stream)
    {
        std::vector<base::microseconds> times;
        for (const auto& each : stream.bursts) {
            times.insert(times.end(), each.count, at_share(each.at_share));
        }
        if (stream.per_second <= 0) {
            return times;
        }
        boost::random::exponential_distribution<double> gap{stream.per_second};
        base::microseconds at{0};
        while (true) {
            at += base::microseconds{std::llround(gap(generator_) * us_per_second)};
            if (at >= options_.length) {
                return times;
            }
            times.push_back(at);
        }
    }

    base::milliseconds draw(const duration_range& range)
    {
        boost::random::uniform_int_distribution<std::int64_t> value{range.least.count(),
                                                                    range.most.count()};
        return base::milliseconds{value(generator_)};
    }

    bool draw(double share)
    {
        return boost::random::bernoulli_distribution<double>{share}(generator_);
    }

    std::string next_name(const stream_base& stream)
    {
        return fmt::format("{}-{}-{}", options_.run_name, stream.work_class, ++last_number_);
    }

    void add_request(const request_stream& stream, base::microseconds at)
    {
        const auto name = next_name(stream.base);
        const json body{{"marker", name},
                        {"service_ms", draw(stream.base.run).count()},
                        {"fail", draw(stream.base.fail_share)}};
        const request_call call{.work_class = stream.base.work_class,
                                .workspace = stream.base.workspace,
                                .marker = name,
                                .key = stream.with_key ? name : std::string{},
                                .body = body.dump(),
                                .deadline = stream.deadline,
                                .idempotent = stream.base.idempotent,
                                .urgent = stream.base.urgent};
        calls_.push_back({at, call});
        if (stream.with_key && draw(stream.repeat_share)) {
            const auto delay = draw(duration_range{least_repeat_delay, most_repeat_delay});
            calls_.push_back({at + delay, call});
        }
    }

    void add_job(const job_stream& stream, std::size_t number, base::microseconds at)
    {
        const auto name = next_name(stream.base);
        const auto run = draw(stream.base.run);
        boost::random::uniform_real_distribution<double> factor{
            stream.declared_factor.least, std::nextafter(stream.declared_factor.most, 1e9)};
        const auto declared = std::llround(static_cast<double>(run.count()) * factor(generator_));
        boost::random::uniform_int_distribution<std::size_t> which{0, stream.shapes.size() - 1};
        const auto& shape = stream.shapes[which(generator_)];
        const json body{
            {"class", stream.base.work_class},
            {"shape", fmt::format("{}x{}", shape.members, shape.accelerators)},
            {"declared_run_ms", std::max(1LL, declared)},
            {"checkpointable", stream.checkpointable},
            {"payload",
             {{"marker", name}, {"run_ms", run.count()}, {"fail", draw(stream.base.fail_share)}}}};
        calls_.push_back({at, job_call{.stream = number,
                                       .work_class = stream.base.work_class,
                                       .members = shape.members,
                                       .accelerators = shape.accelerators,
                                       .workspace = stream.base.workspace,
                                       .key = name,
                                       .body = body.dump(),
                                       .idempotent = stream.base.idempotent,
                                       .urgent = stream.base.urgent}});
    }

    plan_options options_;
    boost::random::mt19937_64 generator_;
    std::uint64_t last_number_ = 0;
    std::vector<planned_call> calls_{};
};

} // namespace

std::vector<planned_call> plan_calls(const workload& work, const plan_options& options)
{
    planner drawn{options};
    for (const auto& stream : work.requests) {
        drawn.add(stream);
    }
    std::size_t number = 0;
    for (const auto& stream : work.jobs) {
        drawn.add(stream, number);
        ++number;
    }
    return drawn.take();
}

} // namespace poplarstile::bench::load_driver
