#include "standins/site_standin/site_host.hpp"

#include "platform/wire.hpp"
#include "standins/site_standin/named_fate.hpp"
#include "standins/site_standin/site_control.hpp"
#include "standins/site_standin/store_wire.hpp"
#include "standins/site_standin/worker_wire.hpp"
#include "store/lease_record.hpp"
#include "store/row_keys.hpp"

#include <fmt/format.h>

#include <array>
#include <optional>
#include <utility>
#include <variant>

namespace poplarstile::standins::site_standin
{
namespace
{

namespace wire = platform::wire;
using store_fate = tests::fake_store::fate;
using worker_fate = tests::fake_workers::fate;

constexpr base::milliseconds tick_interval{1};
/// Of an order that only a share of all meets: less than a lease, and more than a takeover takes.
constexpr int shortest_delay_ms = 300;
/// Stops more than starts: what is being stopped still fills its worker meanwhile.
constexpr double share_of_starts = 0.3;
constexpr double share_of_stops = 0.75;
constexpr int longest_delay_ms = 5'000;
constexpr base::milliseconds usual_delay{4'000};

constexpr std::array<named_fate<store_fate>, 5> store_fates{
    {{"serve", store_fate::serve},
     {"refuse", store_fate::refuse},
     {"swallow", store_fate::swallow},
     {"lose_answer", store_fate::lose_answer},
     {"late", store_fate::late}}};

json to_json(const batch::resources& amount)
{
    return json::array({amount.cpu_milli, amount.memory_mb, amount.accelerators});
}

std::string describe(const tests::held_run& run)
{
    return fmt::format("{} run {} (epoch {}{})", run.task, run.run, run.token,
                       run.being_stopped ? ", being stopped" : "");
}

/// Which task, where, what the worker held of which runs, and who sent each.
std::string describe(const tests::overfull_start& start)
{
    std::string beside;
    for (const auto& run : start.beside) {
        beside += (beside.empty() ? "" : ", ") + describe(run);
    }
    return fmt::format("{}: holds more than it has: {} was started beside {}; {} of {}",
                       start.worker, describe(start.started), beside, to_json(start.used).dump(),
                       to_json(start.capacity).dump());
}

/// Sends an encoded answer; where there is none the caller hears nothing.
template <class Reply>
auto answer_with(const net::http_responder& responder)
{
    return [responder](const Reply& reply) {
        if (auto response = encode_reply(reply)) {
            responder.send(*std::move(response));
        }
    };
}

} // namespace

site_host::site_host(const site_config& config) : address_{config.address}
{
    orders_ = workers_.orders();
    workers_.longest_lease = config.longest_lease;
    workers_.stop_time = config.stop_time;
    connect_judge();
    for (const auto& vm : config.vms) {
        store_ports_[vm.name] = store_.port(vm.name);
    }
    for (const auto& worker : config.workers) {
        places_[worker.id] = worker;
        add_worker(worker.id, worker.id);
    }
    set_configuration(config.configuration);
}

void site_host::connect_judge()
{
    workers_.on_start = [this](const fleet::start_order& order) {
        judge_.started(order);
        crash_by(order);
    };
    workers_.on_end = [this](const std::string& worker, const fleet::ended_task& ended) {
        judge_.ended(worker, ended);
        if (ended.how == batch::run_end::done) {
            last_done_[ended.task.job] = time_.now();
        }
    };
    workers_.on_acknowledged = [this](const std::string& worker, const fleet::ended_task& ended) {
        judge_.acknowledged(worker, ended);
    };
    workers_.on_no_lease = [this](const std::string& worker) { judge_.forgot_ends(worker); };
    workers_.duration = [this](const std::string& task) {
        const auto* const step = judge_.step_of(task);
        return step == nullptr ? base::milliseconds{0} : step->work;
    };
    workers_.need = [this](const std::string& task) {
        const auto* const step = judge_.step_of(task);
        return step == nullptr ? batch::resources{} : step->need;
    };
    workers_.outcome = [this](const std::string& /*worker*/, const std::string& task) {
        const auto* const step = judge_.step_of(task);
        return step != nullptr && step->fails ? batch::run_end::failed : batch::run_end::done;
    };
    workers_.gang_size = [this](const std::string& task) {
        const auto* const step = judge_.step_of(task);
        return step != nullptr && step->gang ? step->tasks : 0U;
    };
    workers_.decide = [this](const std::string& worker, const std::string& order) {
        return fate_of(worker, order);
    };
    store_.decide = [this](const std::string& vm, bool is_write) {
        const auto found = store_faults_.find(vm);
        const bool spared =
            found == store_faults_.end() || (found->second.only_writes && !is_write);
        return spared ? store_fate::serve : found->second.fate;
    };
}

base::result<std::unique_ptr<site_host>> site_host::start(const site_config& config)
{
    std::unique_ptr<site_host> made{new site_host{config}};
    BOOST_OUTCOME_TRYV(made->listen(config));
    return made;
}

base::result<void> site_host::serve(const site_config& config, std::uint16_t port,
                                    net::http_handler handler)
{
    net::http_server_options options;
    options.address = config.address;
    options.port = port;
    options.context = &context_;
    options.max_body_bytes = std::size_t{4} * 1024 * 1024;
    BOOST_OUTCOME_TRY(server, net::http_server::start(options, std::move(handler)));
    servers_.push_back(std::move(server));
    return base::success();
}

base::result<void> site_host::listen(const site_config& config)
{
    for (const auto& vm : config.vms) {
        BOOST_OUTCOME_TRYV(serve(
            config, vm.store_port,
            [this, vm](const net::http_request& request, const net::http_responder& responder) {
                handle_store(vm, request, responder);
            }));
    }
    for (const auto& worker : config.workers) {
        BOOST_OUTCOME_TRYV(serve(config, worker.port,
                                 [this, id = worker.id](const net::http_request& request,
                                                        const net::http_responder& responder) {
                                     handle_worker(id, request, responder);
                                 }));
    }
    return serve(config, config.control_port,
                 [this](const net::http_request& request, const net::http_responder& responder) {
                     responder.send(handle_control(*this, request));
                 });
}

void site_host::run()
{
    last_tick_ = std::chrono::steady_clock::now();
    advance();
    context_.run();
}

void site_host::stop()
{
    context_.stop();
}

void site_host::advance()
{
    const auto now = std::chrono::steady_clock::now();
    const auto passed = std::chrono::duration_cast<base::milliseconds>(now - last_tick_);
    last_tick_ += passed;
    time_.run_for(passed);
    tick_.expires_after(tick_interval);
    tick_.async_wait([this](const std::error_code& failure) {
        if (!failure) {
            advance();
        }
    });
}

std::string site_host::set_store_fate(const std::string& vm, const std::string& fate,
                                      bool only_writes)
{
    const auto found = find_fate(store_fates, fate);
    if (!found) {
        return "unknown fate";
    }
    for (const auto& [name, port] : store_ports_) {
        if (vm == "*" || vm == name) {
            store_faults_[name] = {*found, only_writes};
        }
    }
    return {};
}

void site_host::set_away_parts(std::set<std::string> parts)
{
    store_.away_parts = std::move(parts);
}

void site_host::forget_history()
{
    store_.forget_history();
}

void site_host::set_configuration(const std::string& document)
{
    store_.put({wire::operator_table, {}, wire::configuration_row}, document);
}

void site_host::drain_domain(const std::string& domain, base::milliseconds bound)
{
    store_.put({wire::operator_table, {}, std::string{wire::drain_prefix} + domain}, "{}");
    drain_judge_.drained(domain, time_.now(), bound);
}

void site_host::restore_domain(const std::string& domain)
{
    store_.remove({wire::operator_table, {}, std::string{wire::drain_prefix} + domain});
    drain_judge_.restored(domain);
}

worker_fate site_host::fate_of(const std::string& worker, const std::string& order)
{
    const auto found = worker_faults_.find(place_of_.at(worker));
    if (found == worker_faults_.end()) {
        return worker_fate::serve;
    }
    const auto& fault = found->second;
    workers_.late_by = usual_delay;
    if (!fault.only_some_orders) {
        return fault.fate;
    }
    const auto share = order == "start" ? share_of_starts : order == "stop" ? share_of_stops : 0.0;
    const bool meets = std::uniform_real_distribution{0.0, 1.0}(chances_) < share;
    if (!meets) {
        return worker_fate::serve;
    }
    workers_.late_by = base::milliseconds{
        std::uniform_int_distribution{shortest_delay_ms, longest_delay_ms}(chances_)};
    return fault.fate;
}

json site_host::report() const
{
    json violations = judge_.violations();
    for (const auto& violation : drain_judge_.violations()) {
        violations.push_back(violation);
    }
    for (const auto& task : workers_.doubled()) {
        violations.push_back(task + ": ran twice at the same time");
    }
    for (const auto& start : workers_.overfull_starts()) {
        violations.push_back(describe(start));
    }
    std::string leader;
    for (const auto& row : store_.all(store::lease_row({}).table)) {
        if (const auto record = store::decode_lease(row.value); record.has_value()) {
            leader = record.value().holder;
        }
    }
    return {{"violations", std::move(violations)},
            {"starts", judge_.starts()},
            {"done", judge_.done_tasks()},
            {"leader", leader},
            {"crashes", judge_.crashes()},
            {"writes", store_.writes()},
            {"looks", workers_.looks()},
            {"stored_jobs", stored_jobs()},
            {"last_done_ms_ago", ages_of_last_done()},
            {"room", room_of_workers()},
            {"running", running_tasks()},
            {"done_tasks", judge_.done()},
            {"starts_beside_drains", drain_judge_.starts_elsewhere()}};
}

json site_host::room_of_workers() const
{
    json room = json::array();
    for (const auto& [id, worker] : workers_.machines()) {
        if (!worker.up || worker.displaced || worker.facts.draining) {
            continue;
        }
        batch::resources used;
        for (const auto& [task, run] : worker.tasks) {
            used += workers_.need(task);
        }
        room.push_back(
            {{"worker", id}, {"capacity", to_json(worker.capacity)}, {"used", to_json(used)}});
    }
    return room;
}

json site_host::running_tasks() const
{
    json running = json::array();
    for (const auto& [id, worker] : workers_.machines()) {
        for (const auto& [task, run] : worker.tasks) {
            if (worker.up && !run.being_stopped) {
                running.push_back(task);
            }
        }
    }
    return running;
}

json site_host::stored_jobs() const
{
    json ids = json::array();
    for (const auto& row : store_.all("jobs")) {
        if (!row.id.key.ends_with(store::cancel_suffix)) {
            ids.push_back(row.id.key);
        }
    }
    return ids;
}

json site_host::ages_of_last_done() const
{
    json ages = json::object();
    for (const auto& [job, at] : last_done_) {
        ages[job] = base::milliseconds_between(at, time_.now());
    }
    return ages;
}

std::vector<store::row> site_host::rename_workers(const vm_config& vm,
                                                  std::vector<store::row> rows) const
{
    for (auto& row : rows) {
        const auto place = place_of_.find(row.id.key);
        const auto found = vm.worker_addresses.find(place == place_of_.end() ? "" : place->second);
        if (row.id.table == wire::worker_table && found != vm.worker_addresses.end()) {
            row.value = with_address(row.value, found->second);
        }
    }
    return rows;
}

void site_host::handle_store(const vm_config& vm, const net::http_request& request,
                             const net::http_responder& responder)
{
    const auto& port = store_ports_.at(vm.name);
    if (request.path == wire::commit_path) {
        auto made = decode_transaction(request.body);
        if (!made) {
            responder.send(json_response(400, json::object()));
            return;
        }
        port.commit(*std::move(made), answer_with<store::commit_reply>(responder));
    } else if (request.path == wire::read_path) {
        port.read(decode_range(request), [this, vm, responder](store::read_reply reply) {
            reply.rows = rename_workers(vm, std::move(reply.rows));
            answer_with<store::read_reply>(responder)(reply);
        });
    } else if (request.path == wire::feed_path) {
        port.follow(decode_feed_request(request), [this, vm, responder](store::feed_reply reply) {
            for (auto& changed : reply.rows) {
                changed.current = rename_workers(vm, {changed.current}).front();
            }
            answer_with<store::feed_reply>(responder)(reply);
        });
    } else {
        responder.send(json_response(404, json::object()));
    }
}

void site_host::handle_worker(const std::string& place, const net::http_request& request,
                              const net::http_responder& responder)
{
    const auto& worker = occupants_.at(place);
    if (is_for_another(worker, request)) {
        responder.send(json_response(421, json::object()));
        return;
    }
    const auto order = decode_order(worker, request);
    if (!order) {
        responder.send(json_response(400, json::object()));
        return;
    }
    if (const auto* const start = std::get_if<fleet::start_order>(&*order)) {
        drain_judge_.start_arrived(workers_.at(worker).facts.failure_domain,
                                   batch::to_text(start->task), time_.now());
        orders_.start(*start, answer_with<fleet::order_reply>(responder));
    } else if (const auto* const stop = std::get_if<fleet::stop_order>(&*order)) {
        orders_.stop(*stop, answer_with<fleet::order_reply>(responder));
    } else {
        orders_.look(std::get<fleet::look_order>(*order),
                     answer_with<fleet::look_reply>(responder));
    }
}

} // namespace poplarstile::standins::site_standin
