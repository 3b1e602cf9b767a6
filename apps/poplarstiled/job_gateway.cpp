#include "job_gateway.hpp"

#include "answers.hpp"

#include "gateway/caller_request.hpp"

#include <fmt/format.h>

#include <utility>

namespace poplarstile::daemon
{
namespace
{

using base::error;
using base::error_code;
using dispatch::outcome;
using nlohmann::json;
using scheduling::stored_job;
using table::commit_state;

constexpr int submit_tries = 3;
constexpr base::milliseconds retry_hint{1'000};
constexpr base::milliseconds forward_timeout{1'000};

json job_body(const scheduling::job_spec& spec, scheduling::job_state state,
              std::string_view detail, std::int64_t started_us, std::int64_t ended_us)
{
    return {{"job", spec.id},
            {"state", scheduling::to_string(state)},
            {"class", spec.class_name},
            {"workspace", spec.workspace},
            {"shape", scheduling::to_string(spec.shape)},
            {"failure_domain", spec.failure_domain},
            {"detail", detail},
            {"submitted_ms", spec.submitted_us / 1000},
            {"started_ms", started_us / 1000},
            {"ended_ms", ended_us / 1000}};
}

json why_body(const scheduling::job_view& job)
{
    auto body = job_body(job.spec, job.state, job.detail, job.started_us, 0);
    json history = json::array();
    for (const auto& step : job.history) {
        history.push_back(
            {{"time_ms", step.time_us / 1000}, {"what", step.what}, {"why", step.why}});
    }
    body["waits_for"] = job.reason.waits_for;
    body["rule"] = job.reason.rule;
    body["blocked_by"] = job.reason.blocked_by;
    body["would_change"] = job.reason.would_change;
    body["attempts"] = job.attempts;
    body["guaranteed"] = job.guaranteed;
    body["history"] = history;
    return body;
}

void refuse(const net::http_responder& responder, outcome result, const error& failure,
            base::milliseconds retry_after = base::milliseconds{0})
{
    responder.send(error_response(result, failure, retry_after));
}

std::string nearest_shape_advice(const rules::shape& nearest)
{
    return nearest.total() == 0
               ? std::string{"no shape fits"}
               : "the nearest shape that fits is " + scheduling::to_string(nearest);
}

} // namespace

job_gateway::job_gateway(node& owner, scheduler_duty& scheduler, peer_link& link)
    : node_{owner}, scheduler_{scheduler}, link_{link}
{
}

void job_gateway::submit(const net::http_request& request, const net::http_responder& responder)
{
    auto read = gateway::read_job_request(request, node_.settings.limits.max_json_depth);
    if (!read.has_value()) {
        refuse(responder, outcome::rejected, std::move(read).error());
        return;
    }
    stored_job job;
    job.spec = std::move(read).value();
    const auto current = node_.current_rules();
    const auto* const kind = current->find_class(job.spec.class_name);
    if (kind == nullptr) {
        refuse(responder, outcome::rejected,
               {error_code::request_unknown_service, job.spec.class_name, "", ""});
        return;
    }
    if (!current->has_workspace(job.spec.workspace)) {
        refuse(responder, outcome::rejected,
               {error_code::request_unknown_workspace, job.spec.workspace, "", ""});
        return;
    }
    const auto nearest = scheduler_.nearest_possible_shape(job.spec.shape);
    if (nearest != job.spec.shape) {
        refuse(responder, outcome::rejected,
               {error_code::job_can_never_run, scheduling::to_string(job.spec.shape),
                nearest_shape_advice(nearest), ""});
        return;
    }
    job.spec.idempotent = kind->idempotent;
    job.spec.failure_domain = node_.settings.vm.failure_domain;
    job.spec.submitted_us = base::wall_clock_us();
    job.operation = fmt::format("{}-{}-s{}", node_.settings.vm.id, node_.run_id, next_operation_++);
    write(job, responder, submit_tries);
}

void job_gateway::write(const stored_job& job, const net::http_responder& responder, int tries_left)
{
    const auto index_key = scheduling::job_index_key(job.spec.id);
    const auto live_key = scheduling::live_job_key(job.spec.failure_domain, job.spec.id);
    const json index{{"failure_domain", job.spec.failure_domain},
                     {"body_hash", job.spec.body_hash},
                     {"operation", job.operation}};
    const table::table_transaction transaction{
        job.operation, {{index_key, 0}}, {{index_key, index}, {live_key, to_json(job)}}};
    node_.table->transact(
        transaction, [this, job, responder, tries_left](const table::commit_result& result) {
            if (result.state == commit_state::committed) {
                auto accepted = job;
                accepted.version = result.version;
                accept(accepted, responder);
            } else if (result.state == commit_state::not_applied) {
                refuse(responder, outcome::not_run,
                       {error_code::job_not_accepted, "table", "the table can't be written", ""},
                       retry_hint);
            } else {
                settle(job, responder, tries_left - 1);
            }
        });
}

void job_gateway::settle(const stored_job& job, const net::http_responder& responder,
                         int tries_left)
{
    node_.table->read(scheduling::job_index_key(job.spec.id),
                      [this, job, responder, tries_left](auto read) {
                          if (!read.has_value() || (!read.value() && tries_left <= 0)) {
                              refuse(responder, outcome::unknown,
                                     {error_code::platform_outcome_unknown, "table", "",
                                      "submit again with the same Idempotency-Key"},
                                     retry_hint);
                              return;
                          }
                          const auto& row = read.value();
                          if (!row) {
                              write(job, responder, tries_left);
                              return;
                          }
                          if (row->value.value("body_hash", "") != job.spec.body_hash) {
                              refuse(responder, outcome::rejected,
                                     {error_code::request_key_reused, "Idempotency-Key", "", ""});
                              return;
                          }
                          auto accepted = job;
                          accepted.spec.failure_domain = row->value.value("failure_domain", "");
                          accepted.version = row->version;
                          accept(accepted, responder);
                      });
}

void job_gateway::accept(const stored_job& job, const net::http_responder& responder)
{
    node_.note("jobs", "job.accepted", "job/" + job.spec.id, job.spec.workspace,
               scheduling::to_string(job.spec.shape));
    responder.send(json_response(
        202,
        {{"job", job.spec.id}, {"state", "queued"}, {"failure_domain", job.spec.failure_domain}}));
    if (job.spec.failure_domain == node_.settings.vm.failure_domain) {
        nudge(peer::scheduler_call::submit, job);
    }
}

void job_gateway::nudge(peer::scheduler_call kind, const stored_job& job)
{
    const auto view = node_.scheduler.get();
    if (view->is_self) {
        if (kind == peer::scheduler_call::submit) {
            scheduler_.submitted(job);
        } else {
            scheduler_.cancelled(job.spec.id);
        }
        return;
    }
    const auto address = node_.address_of(view->holder);
    if (!address) {
        return;
    }
    auto row = to_json(job);
    row["version"] = job.version;
    link_.call(*address, peer::scheduler_forward{kind, node_.settings.vm.id, row.dump()},
               forward_timeout, [](const auto& /*answer*/) {});
}

peer::scheduler_answer job_gateway::answer(const peer::scheduler_forward& call)
{
    const auto payload = json::parse(call.payload, nullptr, false);
    const auto view = node_.scheduler.get();
    if (!view->is_self) {
        return {503, error_body({error_code::peer_not_scheduler, view->holder, "", ""}).dump()};
    }
    switch (call.kind) {
    case peer::scheduler_call::submit:
    case peer::scheduler_call::cancel: {
        const table::table_row row{"job", payload.value("version", std::uint64_t{0}), payload};
        auto job = scheduling::read_job(row);
        if (!job.has_value()) {
            return {400, error_body(job.error()).dump()};
        }
        nudge(call.kind, job.value());
        return {202, "{}"};
    }
    case peer::scheduler_call::list: {
        json jobs = json::array();
        for (const auto& job : view->jobs) {
            jobs.push_back(job_body(job.spec, job.state, job.detail, job.started_us, 0));
        }
        return {200, json{{"jobs", jobs}}.dump()};
    }
    case peer::scheduler_call::show:
    case peer::scheduler_call::why: {
        const auto id = payload.value("job", "");
        for (const auto& job : view->jobs) {
            if (job.spec.id == id && call.kind == peer::scheduler_call::why) {
                return {200, why_body(job).dump()};
            }
            if (job.spec.id == id) {
                return {200, job_body(job.spec, job.state, job.detail, job.started_us, 0).dump()};
            }
        }
        return {404, error_body({error_code::job_unknown, id, "", ""}).dump()};
    }
    case peer::scheduler_call::fragmentation:
        return {200, scheduler_.fragmentation().dump()};
    }
    return {400, "{}"};
}

void job_gateway::ask_scheduler(peer::scheduler_call kind, const json& payload,
                                const net::http_responder& responder)
{
    const peer::scheduler_forward call{kind, node_.settings.vm.id, payload.dump()};
    const auto view = node_.scheduler.get();
    if (view->is_self) {
        auto local = answer(call);
        responder.send({.status = local.status, .body = std::move(local.payload)});
        return;
    }
    const auto no_scheduler = [responder, holder = view->holder] {
        responder.send(json_response(
            503, error_body({error_code::peer_unreachable, holder,
                             "the scheduler of this failure domain can't be reached", ""})));
    };
    const auto address = node_.address_of(view->holder);
    if (!address) {
        no_scheduler();
        return;
    }
    link_.call(*address, call, forward_timeout, [responder, no_scheduler](auto reply) {
        const auto* const remote = reply.has_value() && reply.value()
                                       ? std::get_if<peer::scheduler_answer>(&*reply.value())
                                       : nullptr;
        if (remote == nullptr) {
            no_scheduler();
            return;
        }
        responder.send({.status = remote->status, .body = remote->payload});
    });
}

void job_gateway::find_row(std::string_view id, const net::http_responder& responder,
                           std::function<void(stored_job, bool live)> on_found)
{
    const auto unreachable = [responder](const error& failure) {
        responder.send(json_response(503, error_body(failure)));
    };
    const auto unknown = [responder, id = std::string{id}] {
        refuse(responder, outcome::rejected, {error_code::job_unknown, id, "", ""});
    };
    node_.table->read(scheduling::job_index_key(id), [this, unreachable, unknown,
                                                      id = std::string{id},
                                                      on_found = std::move(on_found)](auto index) {
        if (!index.has_value()) {
            unreachable(index.error());
            return;
        }
        if (!index.value()) {
            unknown();
            return;
        }
        const auto domain = index.value()->value.value("failure_domain", "");
        const auto done_key = scheduling::done_job_key(domain, id);
        node_.table->read(scheduling::live_job_key(domain, id), [this, unreachable, unknown,
                                                                 done_key, on_found](auto live) {
            if (live.has_value() && live.value()) {
                auto job = scheduling::read_job(*live.value());
                if (job.has_value()) {
                    on_found(std::move(job).value(), true);
                    return;
                }
            }
            if (!live.has_value()) {
                unreachable(live.error());
                return;
            }
            node_.table->read(done_key, [unreachable, unknown, on_found](auto done) {
                if (!done.has_value()) {
                    unreachable(done.error());
                    return;
                }
                if (!done.value()) {
                    unknown();
                    return;
                }
                auto job = scheduling::read_job(*done.value());
                if (!job.has_value()) {
                    unreachable(job.error());
                    return;
                }
                on_found(std::move(job).value(), false);
            });
        });
    });
}

void job_gateway::show(std::string_view id, const net::http_responder& responder)
{
    const auto view = node_.scheduler.get();
    for (const auto& job : view->jobs) {
        if (job.spec.id == id && !scheduling::final_state(job.state)) {
            responder.send(
                json_response(200, job_body(job.spec, job.state, job.detail, job.started_us, 0)));
            return;
        }
    }
    find_row(id, responder, [responder](const stored_job& job, bool /*live*/) {
        responder.send(json_response(
            200, job_body(job.spec, job.state, job.detail, job.started_us, job.ended_us)));
    });
}

void job_gateway::cancel(std::string_view id, const net::http_responder& responder)
{
    find_row(id, responder, [this, responder](stored_job job, bool live) {
        if (!live || job.cancel_requested) {
            const auto* const state = live ? "cancelling" : nullptr;
            responder.send(json_response(
                200, {{"job", job.spec.id},
                      {"state", state != nullptr ? std::string_view{state}
                                                 : scheduling::to_string(job.state)}}));
            return;
        }
        job.cancel_requested = true;
        write_cancel(job, responder);
    });
}

void job_gateway::write_cancel(const stored_job& job, const net::http_responder& responder)
{
    auto row = job;
    row.operation = fmt::format("{}-{}-c{}", node_.settings.vm.id, node_.run_id, next_operation_++);
    const auto key = scheduling::live_job_key(job.spec.failure_domain, job.spec.id);
    node_.table->transact(
        {row.operation, {{key, job.version}}, {{key, to_json(row)}}},
        [this, row, responder](const table::commit_result& result) {
            if (result.state != commit_state::committed) {
                responder.send(json_response(
                    503, error_body({error_code::platform_conflict, row.spec.id,
                                     "the cancellation was not stored", "cancel again"})));
                return;
            }
            auto stored = row;
            stored.version = result.version;
            responder.send(json_response(200, {{"job", row.spec.id}, {"state", "cancelling"}}));
            nudge(peer::scheduler_call::cancel, stored);
        });
}

} // namespace poplarstile::daemon
