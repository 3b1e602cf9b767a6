#include "bench/capacity/measurement.hpp"

#include "dispatch/dispatcher.hpp"
#include "rules/rules_text.hpp"

#include <fmt/format.h>

#include <array>
#include <memory>

namespace poplarstile::bench::capacity
{
namespace
{

constexpr std::array<std::size_t, 5> worker_sizes{80, 160, 320, 640, 1'280};
constexpr std::array<std::size_t, 5> class_sizes{8, 16, 32, 64, 128};
constexpr std::array<std::size_t, 5> queue_sizes{125, 250, 500, 1'000, 2'000};
constexpr std::size_t requests_per_run = 500;
constexpr std::size_t few_workers = 80;

std::shared_ptr<const rules::ruleset> make_rules(std::size_t classes)
{
    std::string text = "workspace shops share 1 # asked by: owner\n";
    for (std::size_t number = 0; number < classes; ++number) {
        text += fmt::format("class kind-{} # asked by: owner\n", number);
    }
    return std::make_shared<rules::ruleset>(rules::parse_rules(text).value());
}

/// A dispatcher whose workers complete everything at once.
class fake_service
{
public:
    fake_service(std::size_t workers, std::size_t classes)
        : dispatcher_{{.vm = "vm-1",
                       .run_id = "run",
                       .max_queued_requests = 10'000,
                       .default_deadline = base::milliseconds{60'000}},
                      make_workers(workers)},
          service_{fmt::format("kind-{}", classes - 1)}
    {
        (void)dispatcher_.decide(dispatch::rules_changed{make_rules(classes)}, now_);
    }

    dispatch::actions offer()
    {
        dispatch::incoming_request request;
        request.number = ++next_;
        request.request_id = fmt::format("request-{:020}", next_);
        request.workspace = "shops";
        request.service = service_;
        request.body = R"({"chart":"exposure","film":"ortho-25","pinhole_mm":0.3})";
        return dispatcher_.decide(dispatch::request_received{std::move(request)}, now_);
    }

    /// One request from its arrival to its answer.
    void complete_one()
    {
        for (const auto& action : offer()) {
            const auto* const sent = std::get_if<dispatch::send_execute>(&action);
            if (sent == nullptr) {
                continue;
            }
            workers::execute_answer answer{.state = workers::execute_state::completed,
                                           .request = sent->call.request,
                                           .attempt = sent->call.attempt,
                                           .body = "{}",
                                           .elapsed = base::microseconds{2'000}};
            (void)dispatcher_.decide(
                dispatch::attempt_reported{sent->number, sent->call.attempt, std::move(answer)},
                now_);
        }
    }

    void tick()
    {
        (void)dispatcher_.decide(dispatch::time_passed{}, now_);
    }

private:
    static std::vector<routing::worker_description> make_workers(std::size_t count)
    {
        std::vector<routing::worker_description> workers;
        for (std::size_t index = 0; index < count; ++index) {
            workers.push_back({fmt::format("w-{:05}", index), "10.0.0.1:8080", 8});
        }
        return workers;
    }

    dispatch::dispatcher dispatcher_;
    std::string service_;
    base::time_point now_{};
    dispatch::request_number next_ = 0;
};

double cpu_of_request(const effort& how, std::size_t workers, std::size_t classes)
{
    fake_service service{workers, classes};
    const auto all = least_cpu_us(
        how.repeats, [] {},
        [&] {
            for (std::size_t request = 0; request < requests_per_run; ++request) {
                service.complete_one();
            }
        });
    return all / static_cast<double>(requests_per_run);
}

slope by_workers(const effort& how)
{
    return measure({.name = "dispatcher.request.workers.cpu",
                    .what = "Decisions on one idempotent request, by the workers to choose from.",
                    .size_unit = "workers",
                    .cost_unit = "us"},
                   worker_sizes, how,
                   [&how](std::size_t workers) { return cpu_of_request(how, workers, 4); });
}

slope by_classes(const effort& how)
{
    return measure({.name = "dispatcher.request.classes.cpu",
                    .what = "Decisions on one idempotent request, by the classes declared.",
                    .size_unit = "classes",
                    .cost_unit = "us"},
                   class_sizes, how, [&how](std::size_t classes) {
                       return cpu_of_request(how, few_workers, classes);
                   });
}

slope state_per_worker(const effort& how)
{
    return measure({.name = "dispatcher.worker.state",
                    .what = "Memory of a dispatcher without requests.",
                    .size_unit = "workers",
                    .cost_unit = "bytes"},
                   worker_sizes, how, [](std::size_t workers) {
                       const auto before = allocated_bytes();
                       const fake_service service{workers, 4};
                       return static_cast<double>(allocated_bytes() - before);
                   });
}

slope state_per_request(const effort& how)
{
    return measure({.name = "dispatcher.request.state",
                    .what = "Memory of waiting requests with a body of 55 bytes.",
                    .size_unit = "requests",
                    .cost_unit = "bytes"},
                   queue_sizes, how, [](std::size_t requests) {
                       fake_service service{1, 4};
                       const auto before = allocated_bytes();
                       for (std::size_t request = 0; request < requests; ++request) {
                           (void)service.offer();
                       }
                       return static_cast<double>(allocated_bytes() - before);
                   });
}

slope tick(const effort& how)
{
    return measure({.name = "dispatcher.tick.cpu",
                    .what = "Decision on passed time, by waiting requests.",
                    .size_unit = "requests",
                    .cost_unit = "us"},
                   queue_sizes, how, [&how](std::size_t requests) {
                       fake_service service{1, 4};
                       for (std::size_t request = 0; request < requests; ++request) {
                           (void)service.offer();
                       }
                       return least_cpu_us(
                           how.repeats, [] {}, [&] { service.tick(); });
                   });
}

} // namespace

std::vector<slope> request_slopes(const effort& how)
{
    return {state_per_worker(how), state_per_request(how), by_workers(how), by_classes(how),
            tick(how)};
}

} // namespace poplarstile::bench::capacity
