#include "workers/worker_client.hpp"

#include "base/json_member.hpp"

#include <fmt/format.h>

#include <array>
#include <optional>
#include <utility>

namespace poplarstile::workers
{
namespace
{

using nlohmann::json;

constexpr std::array<std::string_view, 7> task_state_names{
    "held", "running", "completed", "failed", "stopped", "expired", "absent"};

net::http_call post(std::string_view address, std::string_view path, const json& body,
                    base::milliseconds timeout)
{
    return {.method = "POST",
            .url = fmt::format("http://{}{}", address, path),
            .headers = {{"Content-Type", "application/json"}},
            .body = body.dump(),
            .timeout = timeout,
            .once = true};
}

/// The caller's body is spliced in as it came, so that it is neither parsed nor rewritten here.
std::string execute_body(const execute_call& call)
{
    const json head{{"request", call.request},
                    {"attempt", call.attempt},
                    {"service", call.service},
                    {"deadline_ms", call.deadline.count()},
                    {"idempotent", call.idempotent}};
    auto text = head.dump();
    text.pop_back();
    return text + ",\"body\":" + (call.body.empty() ? "null" : call.body) + "}";
}

std::string text_member(const json& object, const char* name)
{
    return base::member_or(object, name, std::string{});
}

std::uint64_t number_member(const json& object, const char* name)
{
    return base::member_or(object, name, std::uint64_t{0});
}

std::vector<std::uint32_t> number_list(const json& list)
{
    std::vector<std::uint32_t> numbers;
    for (const auto& entry : list) {
        if (entry.is_number_unsigned()) {
            numbers.push_back(entry.get<std::uint32_t>());
        }
    }
    return numbers;
}

execute_state attempt_state(std::string_view name)
{
    if (name == "completed") {
        return execute_state::completed;
    }
    if (name == "failed") {
        return execute_state::failed;
    }
    if (name == "running") {
        return execute_state::running;
    }
    if (name == "fenced") {
        return execute_state::fenced;
    }
    return name == "never_seen" ? execute_state::never_seen : execute_state::lost;
}

execute_state refusal_state(const json& body)
{
    const auto reason = text_member(body, "refused");
    if (reason == "busy" || reason == "leaving") {
        return execute_state::refused;
    }
    if (reason == "fenced") {
        return execute_state::fenced;
    }
    // A known attempt came twice. Its result is not in this answer and has to be asked for.
    const bool fenced = reason == "known" && text_member(body, "state") == "fenced";
    return fenced ? execute_state::fenced : execute_state::lost;
}

task_report read_task(const json& entry)
{
    return {text_member(entry, "task"),
            text_member(entry, "job"),
            static_cast<std::uint32_t>(number_member(entry, "gang_size")),
            static_cast<std::uint32_t>(number_member(entry, "member")),
            number_list(entry.value("accelerators", json::array())),
            task_state_named(text_member(entry, "state")),
            base::milliseconds{number_member(entry, "progress_ms")}};
}

/// Nothing when an entry can't be read: a report that lacks a task would say that it is over.
std::optional<std::vector<task_report>> read_tasks(const json& body)
{
    const auto list = body.find("tasks");
    if (list == body.end() || !list->is_array()) {
        return std::nullopt;
    }
    std::vector<task_report> tasks;
    for (const auto& entry : *list) {
        if (!entry.is_object()) {
            return std::nullopt;
        }
        tasks.push_back(read_task(entry));
        if (tasks.back().task.empty() || tasks.back().state == task_state::absent) {
            return std::nullopt;
        }
    }
    return tasks;
}

std::vector<std::uint32_t> read_broken_accelerators(const json& body)
{
    std::vector<std::uint32_t> broken;
    for (const auto& entry : body.value("accelerators", json::array())) {
        if (base::member_or(entry, "broken", false)) {
            broken.push_back(static_cast<std::uint32_t>(number_member(entry, "index")));
        }
    }
    return broken;
}

lease_answer read_report(const json& body, std::string_view worker)
{
    auto tasks = read_tasks(body);
    if (!tasks || text_member(body, "worker") != worker) {
        return {.result = lease_answer::kind::lost};
    }
    return {.result = lease_answer::kind::renewed,
            .report = {.worker = std::string{worker},
                       .token = number_member(body, "token"),
                       .tasks = std::move(*tasks),
                       .broken_accelerators = read_broken_accelerators(body),
                       .leaving = base::member_or(body, "leaving", false)}};
}

} // namespace

std::string_view to_string(task_state state)
{
    return task_state_names.at(static_cast<std::size_t>(state));
}

task_state task_state_named(std::string_view name)
{
    for (std::size_t index = 0; index < task_state_names.size(); ++index) {
        if (task_state_names.at(index) == name) {
            return static_cast<task_state>(index);
        }
    }
    return task_state::absent;
}

execute_answer read_execute_answer(const net::http_reply& reply, std::string_view request,
                                   std::string_view attempt)
{
    execute_answer answer{.elapsed = reply.elapsed};
    if (reply.outcome != net::delivery::answered) {
        answer.state = reply.outcome == net::delivery::not_sent ? execute_state::not_sent
                                                                : execute_state::lost;
        return answer;
    }
    const auto body = json::parse(reply.body, nullptr, false);
    if (!body.is_object()) {
        return answer;
    }
    if (reply.status != 200) {
        answer.state = refusal_state(body);
        answer.leaving = text_member(body, "refused") == "leaving";
        return answer;
    }
    answer.request = text_member(body, "request");
    answer.attempt = text_member(body, "attempt");
    answer.worker = text_member(body, "worker");
    const bool has_outcome = body.contains("outcome");
    const auto state = attempt_state(text_member(body, has_outcome ? "outcome" : "state"));
    const bool has_result = state == execute_state::completed || state == execute_state::failed;
    const bool mine = answer.attempt == attempt && (!has_result || answer.request == request);
    if (!mine) {
        return answer;
    }
    answer.state = state;
    answer.body = body.value("body", json{}).dump();
    return answer;
}

task_answer read_task_answer(const net::http_reply& reply, std::string_view task)
{
    using kind = task_answer::kind;
    if (reply.outcome == net::delivery::not_sent) {
        return {.result = kind::not_sent};
    }
    const auto body = json::parse(
        reply.outcome == net::delivery::answered ? reply.body : std::string{}, nullptr, false);
    if (!body.is_object()) {
        return {.result = kind::lost};
    }
    if (reply.status == 200 && text_member(body, "task") == task) {
        return {.result = kind::accepted,
                .state = task_state_named(text_member(body, "state")),
                .progress = base::milliseconds{number_member(body, "progress_ms")}};
    }
    if (reply.status >= 400 && reply.status < 500) {
        return {.result = kind::refused, .reason = text_member(body, "refused")};
    }
    return {.result = kind::lost};
}

lease_answer read_lease_answer(const net::http_reply& reply, std::string_view worker)
{
    using kind = lease_answer::kind;
    const auto body = json::parse(
        reply.outcome == net::delivery::answered ? reply.body : std::string{}, nullptr, false);
    if (!body.is_object()) {
        return {.result = kind::lost};
    }
    if (reply.status == 200) {
        return read_report(body, worker);
    }
    if (reply.status == 409 && text_member(body, "refused") == "token") {
        return {.result = kind::refused, .greatest = number_member(body, "token")};
    }
    return {.result = kind::lost};
}

worker_client::worker_client(net::http_client& client) : client_{client} {}

void worker_client::execute(std::string_view address, const execute_call& call,
                            execute_handler on_answer)
{
    net::http_call exchange{.method = "POST",
                            .url = fmt::format("http://{}/v1/execute", address),
                            .headers = {{"Content-Type", "application/json"}},
                            .body = execute_body(call),
                            .timeout = call.deadline,
                            .fresh_connection = !call.idempotent};
    client_.send(std::move(exchange),
                 [request = call.request, attempt = call.attempt,
                  on_answer = std::move(on_answer)](const net::http_reply& reply) {
                     on_answer(read_execute_answer(reply, request, attempt));
                 });
}

void worker_client::query_attempt(std::string_view address, std::string_view attempt,
                                  base::milliseconds timeout, execute_handler on_answer)
{
    net::http_call call{.method = "GET",
                        .url = fmt::format("http://{}/v1/attempts/{}", address, attempt),
                        .timeout = timeout,
                        .fresh_connection = true};
    client_.send(std::move(call), [attempt = std::string{attempt},
                                   on_answer = std::move(on_answer)](const net::http_reply& reply) {
        const auto body = json::parse(reply.body, nullptr, false);
        const auto request = body.is_object() ? text_member(body, "request") : std::string{};
        on_answer(read_execute_answer(reply, request, attempt));
    });
}

void worker_client::fence_attempt(std::string_view address, std::string_view attempt,
                                  base::milliseconds timeout, execute_handler on_answer)
{
    auto call =
        post(address, fmt::format("/v1/attempts/{}/fence", attempt), json::object(), timeout);
    call.fresh_connection = true;
    client_.send(std::move(call), [attempt = std::string{attempt},
                                   on_answer = std::move(on_answer)](const net::http_reply& reply) {
        const auto body = json::parse(reply.body, nullptr, false);
        const auto request = body.is_object() ? text_member(body, "request") : std::string{};
        on_answer(read_execute_answer(reply, request, attempt));
    });
}

void worker_client::hold(std::string_view address, const hold_call& call,
                         base::milliseconds timeout, task_handler on_answer)
{
    const json body{{"token", call.token},
                    {"domain", call.failure_domain},
                    {"task", call.task},
                    {"job", call.job},
                    {"gang_size", call.gang_size},
                    {"member", call.member},
                    {"accelerators", call.accelerators},
                    {"lease_ms", call.lease.count()},
                    {"checkpointable", call.checkpointable},
                    {"payload", call.payload.value()}};
    client_.send(post(address, "/v1/tasks", body, timeout),
                 [task = call.task, on_answer = std::move(on_answer)](
                     const net::http_reply& reply) { on_answer(read_task_answer(reply, task)); });
}

void worker_client::order(std::string_view address, std::string_view task, std::string_view order,
                          fencing_token token, base::milliseconds timeout, task_handler on_answer)
{
    client_.send(
        post(address, fmt::format("/v1/tasks/{}/{}", task, order), {{"token", token}}, timeout),
        [task = std::string{task}, on_answer = std::move(on_answer)](const net::http_reply& reply) {
            on_answer(read_task_answer(reply, task));
        });
}

void worker_client::renew(std::string_view address, std::string_view worker,
                          std::string_view failure_domain, fencing_token token,
                          base::milliseconds lease, base::milliseconds timeout,
                          lease_handler on_answer)
{
    const json body{{"token", token}, {"domain", failure_domain}, {"lease_ms", lease.count()}};
    auto call = post(address, "/v1/lease", body, timeout);
    call.purpose = "worker_heartbeat";
    client_.send(std::move(call), [worker = std::string{worker},
                                   on_answer = std::move(on_answer)](const net::http_reply& reply) {
        on_answer(read_lease_answer(reply, worker));
    });
}

void worker_client::list(std::string_view address, std::string_view worker,
                         base::milliseconds timeout, lease_handler on_answer)
{
    net::http_call call{.method = "GET",
                        .url = fmt::format("http://{}/v1/tasks", address),
                        .timeout = timeout,
                        .fresh_connection = true};
    client_.send(std::move(call), [worker = std::string{worker},
                                   on_answer = std::move(on_answer)](const net::http_reply& reply) {
        on_answer(read_lease_answer(reply, worker));
    });
}

} // namespace poplarstile::workers
