#include "metrics.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace poplarstile::daemon
{
namespace
{

const prometheus::Histogram::BucketBoundaries& latency_buckets()
{
    static const prometheus::Histogram::BucketBoundaries seconds{
        0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0};
    return seconds;
}

} // namespace

struct daemon_metrics::implementation {
    prometheus::Registry registry;
    prometheus::Labels labels;
    prometheus::Family<prometheus::Counter>* answers = nullptr;
    prometheus::Family<prometheus::Histogram>* latency = nullptr;
    prometheus::Family<prometheus::Histogram>* stages = nullptr;
    prometheus::Family<prometheus::Counter>* control_bytes = nullptr;

    void set_counter(std::string_view name, const prometheus::Labels& of, double value)
    {
        auto& counter = prometheus::BuildCounter()
                            .Name(std::string{name})
                            .Help("See docs/OPERATIONS.md")
                            .Labels(labels)
                            .Register(registry)
                            .Add(of);
        counter.Increment(value - counter.Value());
    }

    void set_gauge(std::string_view name, const prometheus::Labels& of, double value)
    {
        prometheus::BuildGauge()
            .Name(std::string{name})
            .Help("See docs/OPERATIONS.md")
            .Labels(labels)
            .Register(registry)
            .Add(of)
            .Set(value);
    }
};

daemon_metrics::daemon_metrics(std::string_view vm, std::string_view failure_domain)
    : impl_{std::make_unique<implementation>()}
{
    impl_->labels = {{"vm", std::string{vm}}, {"failure_domain", std::string{failure_domain}}};
    impl_->answers = &prometheus::BuildCounter()
                          .Name("poplarstile_requests_total")
                          .Help("Answered requests by service and outcome")
                          .Labels(impl_->labels)
                          .Register(impl_->registry);
    impl_->latency = &prometheus::BuildHistogram()
                          .Name("poplarstile_request_seconds")
                          .Help("Time from arrival to answer")
                          .Labels(impl_->labels)
                          .Register(impl_->registry);
    impl_->stages = &prometheus::BuildHistogram()
                         .Name("poplarstile_stage_seconds")
                         .Help("Time that a stage of the scheduler's work took")
                         .Labels(impl_->labels)
                         .Register(impl_->registry);
    impl_->control_bytes = &prometheus::BuildCounter()
                                .Name("poplarstile_control_bytes_total")
                                .Help("Bytes of control traffic by purpose")
                                .Labels(impl_->labels)
                                .Register(impl_->registry);
}

daemon_metrics::~daemon_metrics() = default;

void daemon_metrics::record_answer(std::string_view service, std::string_view outcome,
                                   double seconds)
{
    impl_->answers->Add({{"service", std::string{service}}, {"outcome", std::string{outcome}}})
        .Increment();
    impl_->latency->Add({{"service", std::string{service}}}, latency_buckets()).Observe(seconds);
}

void daemon_metrics::record_stage(std::string_view stage, double seconds)
{
    impl_->stages->Add({{"stage", std::string{stage}}}, latency_buckets()).Observe(seconds);
}

void daemon_metrics::record_control_bytes(std::string_view purpose, std::size_t bytes)
{
    impl_->control_bytes->Add({{"purpose", std::string{purpose}}})
        .Increment(static_cast<double>(bytes));
}

void daemon_metrics::set_gauge(std::string_view name, double value)
{
    impl_->set_gauge(name, {}, value);
}

void daemon_metrics::set_gauge_of_cause(std::string_view cause, std::string_view name, double value)
{
    impl_->set_gauge(name, {{"cause", std::string{cause}}}, value);
}

void daemon_metrics::set_gauge_of_kind(std::string_view kind, std::string_view name, double value)
{
    impl_->set_gauge(name, {{"kind", std::string{kind}}}, value);
}

void daemon_metrics::set_counter(std::string_view name, double value)
{
    impl_->set_counter(name, {}, value);
}

void daemon_metrics::set_counter_of(std::string_view purpose, std::string_view name, double value)
{
    impl_->set_counter(name, {{"purpose", std::string{purpose}}}, value);
}

void daemon_metrics::set_counter_of_cause(std::string_view cause, std::string_view name,
                                          double value)
{
    impl_->set_counter(name, {{"cause", std::string{cause}}}, value);
}

void daemon_metrics::set_counter_of_kind(std::string_view kind, std::string_view name, double value)
{
    impl_->set_counter(name, {{"kind", std::string{kind}}}, value);
}

void daemon_metrics::record_bounds(std::string_view port,
                                   const net::request_bounds_counters& counted)
{
    for (std::size_t index = 0; index < net::closing_cause_count; ++index) {
        const auto cause = net::name_of(static_cast<net::closing_cause>(index));
        impl_->set_counter("poplarstile_connections_closed_total",
                           {{"port", std::string{port}}, {"cause", std::string{cause}}},
                           static_cast<double>(counted.closed.at(index)));
    }
    impl_->set_gauge("poplarstile_request_bytes", {{"port", std::string{port}}},
                     static_cast<double>(counted.held_bytes));
}

std::string daemon_metrics::text() const
{
    return prometheus::TextSerializer{}.Serialize(impl_->registry.Collect());
}

} // namespace poplarstile::daemon
