#include "integration/harness/access.hpp"
#include "integration/harness/cluster.hpp"

#include "bench/checker/records.hpp"
#include "bench/load_driver/answers.hpp"

#include <gtest/gtest.h>

#include <fmt/format.h>

#include <utility>

/// What tests ask of a running cluster: requests, operators' calls, records and faults.
namespace poplarstile::integration
{
namespace
{

using nlohmann::json;
namespace checker = bench::checker;
namespace load_driver = bench::load_driver;

constexpr base::milliseconds control_timeout{5'000};
constexpr base::milliseconds caller_margin{3'000};

} // namespace

short_answer cluster::request(const std::string& vm, const short_request& asked)
{
    checker::request_note note{.marker = asked.marker,
                               .service = asked.service,
                               .vm = vm,
                               .idempotent = asked.service != "sheet",
                               .sent = base::wall_clock_us()};
    {
        const std::lock_guard lock{notes_mutex_};
        note.request = fmt::format("test-{}", next_request_++);
    }
    const auto& place = vm_places_.at(vm);
    net::http_call call{
        .method = "POST",
        .url = fmt::format("http://{}/v1/requests/{}",
                           endpoint(asked.through_proxy ? place.forward : place.caller),
                           asked.service),
        .headers = {{"X-Workspace", asked.workspace},
                    {"X-Request-Id", note.request},
                    {"X-Deadline-Ms", std::to_string(asked.deadline.count())}},
        .body = json{{"service_ms", asked.service_time.count()}, {"marker", asked.marker}}.dump(),
        .timeout = asked.deadline + caller_margin};
    if (!asked.key.empty()) {
        call.headers.push_back({"Idempotency-Key", asked.key});
    }
    const auto reply = client_->send_and_wait(std::move(call));
    const auto read = load_driver::read_request_answer(reply);
    note.answered = base::wall_clock_us();
    note.told = read.told;
    note.answered_marker = read.marker;
    note.detail = read.detail;
    {
        const std::lock_guard lock{notes_mutex_};
        notes_.push_back(note);
    }
    return {read.told, reply.status, read.code, read.marker,
            json::parse(reply.body, nullptr, false)};
}

net::http_reply cluster::caller_call(const std::string& vm, net::http_call call)
{
    call.url = fmt::format("http://{}{}", endpoint(vm_places_.at(vm).caller), call.url);
    return client_->send_and_wait(std::move(call));
}

net::http_reply cluster::operator_call(const std::string& vm, net::http_call call)
{
    call.url = fmt::format("http://{}{}", endpoint(vm_places_.at(vm).operators), call.url);
    call.headers.push_back({"Authorization", fmt::format("Bearer {}", operator_key)});
    return client_->send_and_wait(std::move(call));
}

net::http_reply cluster::apply_rules(const std::string& vm, const std::string& text,
                                     const std::string& author)
{
    return operator_call(vm, {.method = "POST",
                              .url = "/v1/rules",
                              .body = json{{"text", text}, {"author", author}}.dump(),
                              .timeout = control_timeout});
}

json cluster::status(const std::string& vm)
{
    return json::parse(operator_call(vm, {.url = "/v1/status"}).body, nullptr, false);
}

json cluster::events(const std::string& vm, std::string_view subject)
{
    auto url = std::string{"/v1/events?limit=20000"};
    if (!subject.empty()) {
        url += "&subject=" + net::url_encode(subject);
    }
    auto body = json::parse(operator_call(vm, {.url = url}).body, nullptr, false);
    return body.is_object() ? body.value("events", json::array()) : json::array();
}

json cluster::records()
{
    return get(workers_control_, "/records");
}

json cluster::rows(std::string_view prefix)
{
    auto body = get(platform_port_, "/control/rows?prefix=" + net::url_encode(prefix));
    return body.is_object() ? body.value("rows", json::array()) : json::array();
}

checker::history cluster::history()
{
    checker::history seen;
    const auto read = checker::add_records(records().dump(), seen);
    EXPECT_TRUE(read.has_value()) << "the workers' records can't be read";
    const std::lock_guard lock{notes_mutex_};
    seen.requests = notes_;
    seen.faults = faults_;
    seen.vms = vm_names_;
    seen.observed_until = base::wall_clock_us();
    return seen;
}

std::size_t cluster::executions_of(std::string_view marker)
{
    std::size_t count = 0;
    for (const auto& row : records().value("executions", json::array())) {
        count += row.value("marker", json{}) == json(marker) ? 1 : 0;
    }
    return count;
}

std::uint16_t cluster::caller_port(const std::string& vm) const
{
    return vm_places_.at(vm).caller;
}

std::uint16_t cluster::operator_port(const std::string& vm) const
{
    return vm_places_.at(vm).operators;
}

std::uint16_t cluster::peer_port(const std::string& vm) const
{
    return vm_places_.at(vm).peer;
}

void cluster::note_fault(checker::fault_kind kind, const std::string& subject)
{
    const std::lock_guard lock{notes_mutex_};
    faults_.push_back({base::wall_clock_us(), kind, subject});
}

net::http_reply cluster::control(std::uint16_t port, std::string_view path, const json& body)
{
    auto reply = client_->send_and_wait({.method = "POST",
                                         .url = fmt::format("http://{}{}", endpoint(port), path),
                                         .body = body.dump(),
                                         .timeout = control_timeout});
    EXPECT_TRUE(reply.ok()) << "control call " << path << " got " << reply.status << " "
                            << reply.body;
    return reply;
}

json cluster::get(std::uint16_t port, std::string_view path)
{
    constexpr std::size_t largest_records = std::size_t{256} * 1024 * 1024;
    net::http_call call{.url = fmt::format("http://{}{}", endpoint(port), path),
                        .timeout = control_timeout,
                        .max_response_bytes = largest_records};
    return json::parse(client_->send_and_wait(std::move(call)).body, nullptr, false);
}

} // namespace poplarstile::integration
