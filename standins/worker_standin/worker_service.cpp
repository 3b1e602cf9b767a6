#include "standins/worker_standin/worker_service.hpp"

#include <utility>

namespace poplarstile::standins::worker_standin
{
namespace
{

constexpr std::int64_t default_run_ms = 100;

std::string_view name_of(execute_refusal reason)
{
    switch (reason) {
    case execute_refusal::busy:
        return "busy";
    case execute_refusal::fenced:
        return "fenced";
    case execute_refusal::known:
        return "known";
    case execute_refusal::leaving:
        return "leaving";
    }
    return "busy";
}

std::uint16_t status_of(execute_refusal reason)
{
    switch (reason) {
    case execute_refusal::busy:
        return 429;
    case execute_refusal::leaving:
        return 503;
    case execute_refusal::fenced:
    case execute_refusal::known:
        return 409;
    }
    return 409;
}

json task_json(const task_view& view)
{
    return {{"task", view.task},
            {"job", view.job},
            {"gang_size", view.gang_size},
            {"member", view.member},
            {"accelerators", view.accelerators},
            {"state", name_of(view.state)},
            {"progress_ms", view.progress.count()}};
}

json tasks_json(const std::vector<task_view>& views)
{
    json tasks = json::array();
    for (const auto& view : views) {
        tasks.push_back(task_json(view));
    }
    return tasks;
}

net::http_response task_response(const task_view& view)
{
    return json_response(200, {{"task", view.task},
                               {"state", name_of(view.state)},
                               {"progress_ms", view.progress.count()}});
}

execute_message execute_message_of(const json& body)
{
    return {.request = body.at("request"),
            .attempt = body.at("attempt"),
            .service = body.value("service", ""),
            .idempotent = body.value("idempotent", false),
            .body = body.value("body", json{})};
}

reserve_message reserve_message_of(const json& body)
{
    const auto payload = body.value("payload", json::object());
    const bool has_members = payload.is_object();
    reserve_message message;
    message.token = body.at("token");
    message.domain = body.at("domain");
    message.task = body.at("task");
    message.job = body.at("job");
    message.gang_size = body.at("gang_size");
    message.member = body.at("member");
    message.accelerators = body.at("accelerators").get<std::vector<std::uint32_t>>();
    message.lease = base::milliseconds{body.at("lease_ms").get<std::int64_t>()};
    message.checkpointable = body.value("checkpointable", false);
    message.run_time =
        base::milliseconds{has_members ? payload.value("run_ms", default_run_ms) : default_run_ms};
    message.resume =
        base::milliseconds{has_members ? payload.value("resume_ms", std::int64_t{0}) : 0};
    message.fail = has_members && payload.value("fail", false);
    return message;
}

net::http_response bad_request(std::string_view detail)
{
    return json_response(400, {{"error", detail}});
}

} // namespace

worker_service::worker_service(worker_config config, base::milliseconds usage_lag,
                               const shared_parts& shared)
    : config_{std::move(config)}, shared_{shared}, attempts_{config_.id, config_.slots,
                                                             shared.records},
      tasks_{config_.id, config_.accelerators, shared.records, shared.checkpoints}, usage_{
                                                                                        usage_lag}
{
}

void worker_service::handle(const net::http_request& request, const net::http_responder& responder)
{
    const std::lock_guard lock{mutex_};
    if (faults_.dead) {
        return;
    }
    try {
        if (request.method == "POST" && request.path == "/v1/execute") {
            execute(request, responder);
            return;
        }
        const auto now = instant::now();
        auto response = route(request, now);
        if (faults_.answer_twice && request.method == "POST") {
            static_cast<void>(route(request, now));
        }
        note_changes(now);
        respond(responder, std::move(response));
    } catch (const json::exception& failure) {
        respond(responder, bad_request(failure.what()));
    }
}

void worker_service::respond(const net::http_responder& responder, net::http_response response)
{
    if (faults_.dead || faults_.silent) {
        return;
    }
    if (faults_.answer_late.count() == 0) {
        responder.send(std::move(response));
        return;
    }
    shared_.timer.at(timer_thread::clock::now() + faults_.answer_late,
                     [responder, response = std::move(response)] { responder.send(response); });
}

void worker_service::execute(const net::http_request& request, const net::http_responder& responder)
{
    const auto body = parse_object(request.body);
    if (!body) {
        respond(responder, bad_request("the body is not a JSON object"));
        return;
    }
    const auto now = instant::now();
    const auto message = execute_message_of(*body);
    const worker_condition condition{faults_.failing, faults_.leaving};
    const auto answer = attempts_.start(message, condition, now);
    if (faults_.answer_twice) {
        static_cast<void>(attempts_.start(message, condition, now));
    }
    if (const auto* const refused = std::get_if<attempt_refused>(&answer)) {
        const auto reason = name_of(refused->reason);
        shared_.records.count_refusal(reason);
        json text{{"refused", reason}};
        if (refused->reason == execute_refusal::known) {
            text["state"] = name_of(refused->state);
        }
        respond(responder, json_response(status_of(refused->reason), text));
        return;
    }
    note_changes(now);
    const auto service_time = std::get<attempt_started>(answer).service_time;
    shared_.timer.at(timer_thread::clock::now() + service_time,
                     [this, attempt = message.attempt, responder] { finish(attempt, responder); });
}

void worker_service::finish(const std::string& attempt, const net::http_responder& responder)
{
    const std::lock_guard lock{mutex_};
    const auto now = instant::now();
    const auto ended = attempts_.finish(attempt, now);
    if (!ended) {
        return;
    }
    note_changes(now);
    respond(responder, json_response(200, {{"request", ended->request},
                                           {"attempt", attempt},
                                           {"worker", config_.id},
                                           {"outcome", name_of(ended->state)},
                                           {"body", ended->body}}));
}

net::http_response worker_service::route(const net::http_request& request, const instant& now)
{
    if (request.path == "/v1/health") {
        return health();
    }
    if (request.path == "/v1/usage") {
        return usage(now);
    }
    const auto parts = net::split_path(request.path);
    if (parts.size() >= 3 && parts[1] == "attempts") {
        return route_attempt(request, net::url_decode(parts[2]));
    }
    if (request.path == "/v1/tasks" && request.method == "GET") {
        return json_response(200, {{"worker", config_.id},
                                   {"tasks", tasks_json(tasks_.list(now))},
                                   {"accelerators", accelerators_json()},
                                   {"leaving", faults_.leaving}});
    }
    const auto body = parse_object(request.body);
    if (!body) {
        return bad_request("the body is not a JSON object");
    }
    if (request.path == "/v1/tasks") {
        return reserve(*body, now);
    }
    if (request.path == "/v1/lease") {
        return renew(*body, now);
    }
    if (parts.size() == 4 && parts[1] == "tasks") {
        return route_task(net::url_decode(parts[2]), parts[3], *body, now);
    }
    return json_response(404, {{"error", "unknown path"}});
}

net::http_response worker_service::route_attempt(const net::http_request& request,
                                                 const std::string& attempt)
{
    const bool fences = request.method == "POST" && request.path.ends_with("/fence");
    const auto view = fences ? attempts_.fence(attempt) : attempts_.find(attempt);
    return json_response(200, {{"attempt", attempt},
                               {"state", name_of(view.state)},
                               {"request", view.request},
                               {"body", view.body}});
}

net::http_response worker_service::route_task(const std::string& task, std::string_view action,
                                              const json& body, const instant& now)
{
    const std::uint64_t token = body.at("token");
    task_answer answer = task_refused{};
    if (action == "release") {
        answer = tasks_.release(task, token, faults_.failing, now);
    } else if (action == "checkpoint") {
        answer = tasks_.checkpoint(task, token, now);
    } else if (action == "throttle") {
        answer = tasks_.throttle(task, token, body.at("share"), now);
    } else if (action == "stop") {
        answer = tasks_.stop(task, token, now);
    } else if (action == "forget") {
        answer = tasks_.forget(task, token, now);
    }
    if (const auto* const refused = std::get_if<task_refused>(&answer)) {
        return refuse_task(*refused);
    }
    return task_response(std::get<task_view>(answer));
}

net::http_response worker_service::health() const
{
    return json_response(200, {{"worker", config_.id},
                               {"failure_domain", config_.failure_domain},
                               {"rack", config_.rack},
                               {"accelerators", config_.accelerators},
                               {"slots", config_.slots},
                               {"slots_busy", attempts_.slots_busy()},
                               {"leaving", faults_.leaving}});
}

net::http_response worker_service::usage(const instant& now)
{
    const auto sample = usage_.lagging(now.steady);
    const auto age = std::chrono::duration_cast<base::milliseconds>(now.steady - sample.at);
    return json_response(200, {{"slots_busy", sample.slots_busy},
                               {"accelerators_busy", sample.accelerators_busy},
                               {"as_of_ms_ago", age.count()}});
}

net::http_response worker_service::reserve(const json& body, const instant& now)
{
    const auto answer = tasks_.reserve(reserve_message_of(body), faults_.leaving, now);
    if (const auto* const refused = std::get_if<task_refused>(&answer)) {
        return refuse_task(*refused);
    }
    const auto& view = std::get<task_view>(answer);
    return json_response(200, {{"task", view.task}, {"state", name_of(view.state)}});
}

net::http_response worker_service::renew(const json& body, const instant& now)
{
    const std::uint64_t token = body.at("token");
    const base::milliseconds lease{body.at("lease_ms").get<std::int64_t>()};
    const auto answer = tasks_.renew(body.at("domain"), token, lease, now);
    if (const auto* const refused = std::get_if<task_refused>(&answer)) {
        return refuse_task(*refused);
    }
    return json_response(200, {{"worker", config_.id},
                               {"token", token},
                               {"tasks", tasks_json(std::get<lease_renewed>(answer).tasks)},
                               {"accelerators", accelerators_json()},
                               {"leaving", faults_.leaving}});
}

json worker_service::accelerators_json() const
{
    json accelerators = json::array();
    for (std::uint32_t index = 0; index < config_.accelerators; ++index) {
        accelerators.push_back({{"index", index}, {"broken", tasks_.broken().contains(index)}});
    }
    return accelerators;
}

net::http_response worker_service::refuse_task(const task_refused& refused)
{
    shared_.records.count_refusal(name_of(refused.reason));
    if (refused.reason == task_refusal::token) {
        return json_response(409, {{"refused", "token"}, {"token", refused.greatest_token}});
    }
    return refusal(name_of(refused.reason), refused.reason == task_refusal::unknown ? 404 : 409);
}

void worker_service::note_changes(const instant& now)
{
    usage_.add({now.steady, attempts_.slots_busy(), tasks_.accelerators_busy()});
    const auto due = tasks_.next_due();
    if (due && *due < next_advance_) {
        next_advance_ = *due;
        shared_.timer.at(*due, [this, at = *due] { advance(at); });
    }
}

void worker_service::advance(base::time_point due)
{
    const std::lock_guard lock{mutex_};
    const auto now = instant::now();
    tasks_.advance(now);
    if (due == next_advance_) {
        next_advance_ = base::time_point::max();
    }
    note_changes(now);
}

net::http_response worker_service::set_faults(const json& body)
{
    const std::lock_guard lock{mutex_};
    const auto now = instant::now();
    auto faults = faults_;
    faults.failing = body.value("failing", faults.failing);
    faults.leaving = body.value("leaving", faults.leaving);
    faults.answer_late =
        base::milliseconds{body.value("answer_late_ms", faults.answer_late.count())};
    faults.answer_twice = body.value("answer_twice", faults.answer_twice);
    faults.silent = body.value("silent", faults.silent);
    faults.dead = body.value("die", faults.dead);
    if (body.contains("broken_accelerators")) {
        tasks_.set_broken(body.at("broken_accelerators").get<std::set<std::uint32_t>>(), now);
    }
    if (faults.leaving != faults_.leaving) {
        shared_.records.set_leaving(config_.id, faults.leaving, now.wall_us);
    }
    if (faults.dead && !faults_.dead) {
        attempts_.die(now);
        tasks_.die(now);
    }
    faults_ = faults;
    note_changes(now);
    return json_response(200, json::object());
}

} // namespace poplarstile::standins::worker_standin
