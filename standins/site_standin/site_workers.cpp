// The life of the workers: heartbeats, crashes, restarts, drains and capacity.
#include "platform/wire.hpp"
#include "standins/site_standin/named_fate.hpp"
#include "standins/site_standin/site_host.hpp"
#include "standins/site_standin/worker_wire.hpp"

#include <algorithm>
#include <array>

namespace poplarstile::standins::site_standin
{
namespace
{

namespace wire = platform::wire;
using worker_fate = tests::fake_workers::fate;

constexpr base::milliseconds heartbeat{1'500};
/// A silent worker's registration is removed after so long.
constexpr base::milliseconds registration_timeout{4'500};
/// The address of a worker that crashed is used again after so long.
constexpr base::milliseconds time_until_reuse{2'000};
constexpr std::array<named_fate<worker_fate>, 5> worker_fates{
    {{"serve", worker_fate::serve},
     {"unavailable", worker_fate::unavailable},
     {"swallow", worker_fate::swallow},
     {"lose_answer", worker_fate::lose_answer},
     {"late", worker_fate::late}}};
/// The same for a share of the starts and stops only.
constexpr std::array<named_fate<worker_fate>, 2> fates_of_some_orders{
    {{"some_late", worker_fate::late}, {"some_lost", worker_fate::lose_answer}}};

} // namespace

void site_host::add_worker(const std::string& place, const std::string& worker)
{
    const auto& settings = places_.at(place);
    auto& made = workers_.add(worker, settings.rack, settings.capacity);
    made.facts.address = address_ + ":" + std::to_string(settings.port);
    made.facts.labels = {"standard", settings.rack};
    made.facts.failure_domain = settings.failure_domain;
    occupants_[place] = worker;
    place_of_[worker] = place;
    beat(worker);
}

void site_host::beat(const std::string& worker)
{
    publish(worker);
    time_.after(heartbeat, [this, worker] { beat(worker); });
}

void site_host::publish(const std::string& worker)
{
    auto& machine = workers_.at(worker);
    if (!machine.up || !machine.listed || cut_off_.contains(place_of_.at(worker))) {
        return;
    }
    if (machine.facts.draining) {
        machine.facts.remaining = std::max(
            base::milliseconds{base::milliseconds_between(time_.now(), leaves_at_[worker])},
            base::milliseconds{0});
    }
    store_.put({wire::worker_table, {}, worker}, encode_entry(machine.facts, ++sequences_[worker]));
    published_at_[worker] = time_.now();
    expire_later(worker);
}

void site_host::expire_later(const std::string& worker)
{
    time_.after(registration_timeout, [this, worker, written = time_.now()] {
        if (published_at_[worker] == written && cut_off_.contains(place_of_.at(worker))) {
            store_.remove({wire::worker_table, {}, worker});
        }
    });
}

void site_host::crash(const std::string& worker)
{
    auto& machine = workers_.at(worker);
    machine.up = false;
    machine.tasks.clear();
    machine.ended.clear();
    judge_.forgot_ends(worker);
    const auto born = machine.facts.life.started_at;
    time_.after(registration_timeout, [this, worker, born] {
        const auto& later = workers_.at(worker);
        if (!later.up && later.facts.life.started_at == born) {
            store_.remove({wire::worker_table, {}, worker});
        }
    });
}

void site_host::come_back(const std::string& worker)
{
    judge_.forgot_ends(worker);
    workers_.restart(worker);
    auto& machine = workers_.at(worker);
    machine.up = true;
    machine.facts.draining = false;
    machine.facts.remaining.reset();
    sequences_[worker] = 0;
    publish(worker);
}

void site_host::drain(const std::string& worker, base::milliseconds serves_on)
{
    auto& machine = workers_.at(worker);
    machine.facts.draining = true;
    machine.facts.remaining = serves_on;
    leaves_at_[worker] = time_.now() + serves_on;
    publish(worker);
    const auto born = machine.facts.life.started_at;
    time_.after(serves_on, [this, worker, born] {
        if (workers_.at(worker).facts.life.started_at == born && workers_.at(worker).up) {
            crash(worker);
            store_.remove({wire::worker_table, {}, worker});
        }
    });
}

void site_host::displace(const std::string& worker)
{
    const auto place = place_of_.at(worker);
    add_worker(place, worker + "x");
}

void site_host::crash_by(const fleet::start_order& order)
{
    const auto task = batch::to_text(order.task);
    const auto* const step = judge_.step_of(task);
    if (step == nullptr || !step->crashes_after || order.task.index != 0) {
        return;
    }
    const auto& worker = order.to.life.worker;
    const auto born = workers_.at(worker).facts.life.started_at;
    time_.after(*step->crashes_after, [this, task, run = order.run, worker, born] {
        const auto& machine = workers_.at(worker);
        const auto found = machine.tasks.find(task);
        const bool runs = machine.up && machine.facts.life.started_at == born &&
                          found != machine.tasks.end() && found->second.run == run;
        if (!runs) {
            return;
        }
        judge_.crashed_its_worker(task);
        crash(worker);
        replace_later(worker, born);
    });
}

void site_host::replace_later(const std::string& worker, std::uint64_t born)
{
    const bool by_another = ++crashes_by_tasks_ % 2 == 0;
    time_.after(time_until_reuse, [this, worker, born, by_another] {
        const auto& machine = workers_.at(worker);
        if (machine.up || machine.facts.life.started_at != born) {
            return;
        }
        if (by_another) {
            displace(worker);
        } else {
            come_back(worker);
        }
    });
}

std::string site_host::act_on_worker(const std::string& place, const std::string& action,
                                     base::milliseconds serves_on)
{
    const auto found = occupants_.find(place);
    if (found == occupants_.end()) {
        return "unknown worker";
    }
    const auto worker = found->second;
    if (action == "crash") {
        crash(worker);
    } else if (action == "come_back") {
        come_back(worker);
    } else if (action == "drain") {
        drain(worker, serves_on);
    } else if (action == "cut_off") {
        cut_off_.insert(place);
    } else if (action == "reach_store") {
        cut_off_.erase(place);
    } else if (const auto fate = find_fate(worker_fates, action)) {
        worker_faults_[place] = {*fate, false};
    } else if (const auto some = find_fate(fates_of_some_orders, action)) {
        worker_faults_[place] = {*some, true};
    } else {
        return "unknown action";
    }
    return {};
}

std::string site_host::set_capacity(const std::string& place, std::int64_t percent)
{
    const auto found = occupants_.find(place);
    if (found == occupants_.end() || percent < 0 || percent > 100) {
        return "unknown worker, or not a percentage";
    }
    const auto& full = places_.at(place).capacity;
    workers_.set_capacity(found->second,
                          {full.cpu_milli * percent / 100, full.memory_mb * percent / 100,
                           full.accelerators * percent / 100});
    return {};
}

} // namespace poplarstile::standins::site_standin
