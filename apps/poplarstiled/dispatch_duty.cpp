#include "dispatch_duty.hpp"

#include "answers.hpp"

#include <utility>

namespace poplarstile::daemon
{
namespace
{

constexpr std::size_t ring_capacity = 16'384;
constexpr base::milliseconds tick_interval{20};
constexpr std::string_view part = "dispatch";

dispatch::dispatcher_options options_of(const node& owner)
{
    const auto& settings = owner.settings;
    dispatch::dispatcher_options options;
    options.vm = settings.vm.id;
    options.run_id = owner.run_id;
    options.max_queued_requests = settings.limits.max_queued_requests;
    options.default_deadline = settings.times.default_deadline;
    options.max_deadline = settings.times.max_deadline;
    options.retry_budget_share = settings.limits.retry_budget;
    options.seed = std::hash<std::string>{}(owner.run_id);
    return options;
}

std::vector<routing::worker_description> workers_of(const settings::vm_settings& settings)
{
    std::vector<routing::worker_description> workers;
    for (const auto& worker : settings.workers) {
        workers.push_back({worker.id, worker.address, worker.slots});
    }
    return workers;
}

} // namespace

dispatch_duty::dispatch_duty(node& owner)
    : node_{owner}, dispatcher_{options_of(owner), workers_of(owner.settings)}, duty_{ring_capacity,
                                                                                      tick_interval}
{
}

void dispatch_duty::start()
{
    duty_.start([this](dispatch::event&& event) { handle(std::move(event)); },
                [this] {
                    handle(dispatch::time_passed{});
                    node_.dispatch.set(dispatcher_.counters());
                });
}

void dispatch_duty::stop()
{
    duty_.stop();
}

bool dispatch_duty::submit(dispatch::incoming_request request, net::http_responder responder)
{
    request.number = next_number_++;
    const auto number = request.number;
    {
        const std::lock_guard lock{callers_mutex_};
        callers_.emplace(number, waiting_caller{std::move(responder), request.request_id,
                                                request.service, base::now()});
    }
    if (duty_.try_post(dispatch::request_received{std::move(request)})) {
        return true;
    }
    (void)take_caller(number);
    return false;
}

void dispatch_duty::post(dispatch::event event)
{
    duty_.post(std::move(event));
}

void dispatch_duty::handle(dispatch::event event)
{
    carry_out(dispatcher_.decide(std::move(event), base::now()));
}

void dispatch_duty::carry_out(dispatch::actions actions)
{
    for (auto& action : actions) {
        std::visit([this](auto& one) { carry_out_one(one); }, action);
    }
}

void dispatch_duty::carry_out_one(dispatch::send_execute& action)
{
    const auto number = action.number;
    node_.workers->execute(
        action.address, action.call, [this, number, attempt = action.call.attempt](auto answer) {
            duty_.post(dispatch::attempt_reported{number, attempt, std::move(answer)});
        });
}

void dispatch_duty::carry_out_one(dispatch::send_query& action)
{
    const auto number = action.number;
    node_.workers->query_attempt(
        action.address, action.attempt, action.timeout,
        [this, number, attempt = action.attempt](auto answer) {
            duty_.post(dispatch::attempt_reported{number, attempt, std::move(answer), true});
        });
}

void dispatch_duty::carry_out_one(dispatch::send_fence& action)
{
    const auto number = action.number;
    node_.workers->fence_attempt(
        action.address, action.attempt, action.timeout,
        [this, number, attempt = action.attempt](auto answer) {
            duty_.post(dispatch::attempt_reported{number, attempt, std::move(answer), true});
        });
}

void dispatch_duty::carry_out_one(dispatch::write_ledger& action)
{
    const auto number = action.number;
    node_.table->transact(action.transaction, [this, number](table::commit_result result) {
        duty_.post(dispatch::ledger_written{number, std::move(result)});
    });
}

void dispatch_duty::carry_out_one(dispatch::read_ledger& action)
{
    const auto number = action.number;
    node_.table->read(action.key, [this, number](auto row) {
        duty_.post(dispatch::ledger_read{number, std::move(row)});
    });
}

void dispatch_duty::carry_out_one(dispatch::give_answer& action)
{
    const auto caller = take_caller(action.answer.number);
    if (!caller) {
        return;
    }
    const std::chrono::duration<double> taken = base::now() - caller->arrived;
    node_.metrics->record_answer(caller->service, dispatch::to_string(action.answer.result),
                                 taken.count());
    caller->responder.send(answer_response(action.answer, caller->request_id));
}

void dispatch_duty::carry_out_one(dispatch::note_event& action)
{
    node_.note(part, std::move(action.kind), std::move(action.subject), std::move(action.cause),
               std::move(action.detail));
}

std::optional<dispatch_duty::waiting_caller>
dispatch_duty::take_caller(dispatch::request_number number)
{
    const std::lock_guard lock{callers_mutex_};
    auto entry = callers_.extract(number);
    if (entry.empty()) {
        return std::nullopt;
    }
    return std::move(entry.mapped());
}

} // namespace poplarstile::daemon
