#include "rules/rules_text.hpp"
#include "scheduling/fake_cluster.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace poplarstile::scheduling
{
namespace
{

using testing::fake_cluster;
using testing::fake_task;

/// A lease can have been renewed just before the worker was cut off, and orders are lost as well:
/// under several faults at once a member may run on for two leases and a retry.
constexpr base::milliseconds longest_partial_run{2 * 3'000 + 1'500};

constexpr std::string_view rules_text = "workspace a guarantee 1 of 2x4 in centro  # asked by: a\n"
                                        "workspace b guarantee 1 of 1x4 in centro  # asked by: b\n"
                                        "workspace b guarantee 1 of 1x2 in centro  # asked by: b\n"
                                        "workspace c share 1                       # asked by: c\n";

const std::vector<rules::shape> shapes{{1, 1}, {1, 2}, {1, 4}, {2, 4}, {4, 4}, {3, 2}};

std::vector<worker_description> eight_workers()
{
    std::vector<worker_description> workers;
    for (std::uint32_t at = 0; at < 8; ++at) {
        const auto name = "w" + std::to_string(at);
        workers.push_back({name, name + ":1", at < 4 ? "r1" : "r2", at % 4, 4});
    }
    return workers;
}

struct attempt_tasks {
    std::string job{};
    std::vector<fake_task> members{};
};

std::map<std::string, attempt_tasks> attempts_of(fake_cluster& cluster)
{
    std::map<std::string, attempt_tasks> attempts;
    const auto add = [&attempts](const auto& tasks) {
        for (const auto& [id, task] : tasks) {
            auto& attempt = attempts[id.substr(0, id.rfind('.'))];
            attempt.job = task.call.job;
            attempt.members.push_back(task);
        }
    };
    for (auto& [address, worker] : cluster.workers) {
        add(worker.tasks);
        add(worker.forgotten);
    }
    return attempts;
}

/// No member runs unless all were held, and none runs on long after another was lost.
void check_gang(const fake_cluster& cluster, const attempt_tasks& attempt)
{
    auto first_lost = base::time_point::max();
    auto first_start = base::time_point::max();
    bool runs = false;
    bool waits = false;
    for (const auto& task : attempt.members) {
        const bool lost =
            workers::ended(task.state) && task.state != workers::task_state::completed;
        first_lost = lost ? std::min(first_lost, task.lost_at) : first_lost;
        first_start = task.was_started ? std::min(first_start, task.started_at) : first_start;
        runs = runs || task.state == workers::task_state::running;
        waits = waits || task.state == workers::task_state::held;
    }
    const bool started = first_start != base::time_point::max();
    const auto size = attempt.members.front().call.gang_size;
    RC_ASSERT(!started || attempt.members.size() == size);
    RC_ASSERT(!runs || first_lost == base::time_point::max() ||
              cluster.now - first_lost <= longest_partial_run);
    RC_ASSERT(!runs || !waits || cluster.now - first_start <= longest_partial_run);
}

void check_promises(fake_cluster& cluster)
{
    std::map<std::string, int> starts;
    for (const auto& [name, attempt] : attempts_of(cluster)) {
        check_gang(cluster, attempt);
        const bool started = std::ranges::any_of(attempt.members, &fake_task::was_started);
        starts[attempt.job] += started ? 1 : 0;
    }
    for (const auto& [job, count] : starts) {
        RC_ASSERT(cluster.specs.at(job).idempotent || count <= 1);
    }
    for (const auto& [address, worker] : cluster.workers) {
        std::set<std::uint32_t> used;
        for (const auto& [id, task] : worker.tasks) {
            for (const auto at : task.call.accelerators) {
                // RC_ASSERT evaluates both sides of an operator.
                const bool shared = !workers::ended(task.state) && !used.insert(at).second;
                RC_ASSERT(!shared);
            }
        }
    }
    const auto& cells = cluster.current().cells();
    const bool judged = cluster.has_scheduler() && cluster.current().active() && cells.all_usable();
    RC_ASSERT(!judged || cells.unmet().empty());
}

template <class Number>
Number any_in(Number least, Number end)
{
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(least, end));
}

bool one_in(int cases)
{
    return any_in(0, cases) == 0;
}

job_spec draw_job(int number)
{
    job_spec spec;
    spec.id = "job" + std::to_string(number);
    spec.workspace = *rc::gen::element<std::string>("a", "b", "c");
    spec.shape = *rc::gen::elementOf(shapes);
    spec.checkpointable = !one_in(3);
    spec.idempotent = !one_in(3);
    spec.payload =
        base::json_text{nlohmann::json{{"run_ms", any_in(50, 4'000)}, {"fail", one_in(12)}}};
    return spec;
}

void draw_network(fake_cluster& cluster)
{
    const double share = any_in(0, 15) / 100.0;
    cluster.faults = {.lost_requests = share,
                      .lost_answers = share,
                      .doubled_answers = share,
                      .late_messages = share / 2};
}

void one_fault(fake_cluster& cluster, int submitted)
{
    const auto worker = "w" + std::to_string(any_in(0, 8)) + ":1";
    switch (any_in(0, 9)) {
    case 0:
        cluster.kill_scheduler();
        cluster.start_scheduler();
        break;
    case 1:
        // The former holder does not know yet.
        cluster.start_scheduler();
        break;
    case 2:
        cluster.cut_workers.insert(worker);
        break;
    case 3:
        cluster.cut_workers.clear();
        break;
    case 4:
        cluster.workers[worker].restart(cluster.now);
        break;
    case 5:
        cluster.table_down = !cluster.table_down;
        break;
    case 6:
    case 7:
        if (submitted > 0) {
            cluster.cancel("job" + std::to_string(any_in(0, submitted)), one_in(2));
        }
        break;
    default:
        draw_network(cluster);
    }
}

/// After the faults every job comes to an end, and nothing is left on the workers.
void check_end(fake_cluster& cluster)
{
    for (const auto& [id, spec] : cluster.specs) {
        const auto state = cluster.state_of(id);
        RC_LOG() << id << " " << to_string(state) << "\n";
        RC_ASSERT(final_state(state));
        RC_ASSERT(state != job_state::rejected);
    }
    for (const auto& [name, attempt] : attempts_of(cluster)) {
        const bool live = std::ranges::any_of(
            attempt.members, [](const fake_task& task) { return !workers::ended(task.state); });
        RC_ASSERT(!live);
    }
    for (const auto& [id, spec] : cluster.specs) {
        if (cluster.state_of(id) != job_state::completed) {
            continue;
        }
        bool ran_whole = false;
        for (const auto& [name, attempt] : attempts_of(cluster)) {
            const bool whole =
                attempt.job == id && std::ranges::all_of(attempt.members, [](const auto& task) {
                    return task.state == workers::task_state::completed;
                });
            ran_whole = ran_whole || whole;
        }
        for (const auto& [name, attempt] : attempts_of(cluster)) {
            for (const auto& task : attempt.members) {
                RC_LOG() << name << " member " << task.call.member << " "
                         << workers::to_string(task.state) << "\n";
            }
        }
        RC_ASSERT(ran_whole);
    }
}

RC_GTEST_PROP(scheduler_history, keeps_its_promises_under_every_fault, ())
{
    fake_cluster cluster{eight_workers(), any_in<std::uint64_t>(0, 1U << 31)};
    cluster.rules = std::make_shared<rules::ruleset>(rules::parse_rules(rules_text).value());
    const auto check = [&cluster] { check_promises(cluster); };
    cluster.start_scheduler();
    cluster.run_for(base::milliseconds{200}, check);
    const auto steps = any_in(1, 30);
    int submitted = 0;
    for (int step = 0; step < steps; ++step) {
        if (one_in(2)) {
            cluster.submit(draw_job(submitted++));
        } else {
            one_fault(cluster, submitted);
        }
        cluster.run_for(base::milliseconds{any_in(0, 1'500)}, check);
    }
    cluster.faults = {};
    cluster.cut_workers.clear();
    cluster.table_down = false;
    if (!cluster.has_scheduler()) {
        cluster.start_scheduler();
    }
    cluster.run_for(base::milliseconds{240'000}, check);
    check_end(cluster);
}

} // namespace
} // namespace poplarstile::scheduling
