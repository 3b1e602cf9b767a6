#include "bench/checker/promises.hpp"

#include "bench/checker/internal/guarantee_check.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <map>

namespace poplarstile::bench::checker
{
namespace
{

using violations = std::vector<violation>;

const fault* first_fault(const history& seen, fault_kind kind, std::string_view subject)
{
    const auto found = std::ranges::find_if(seen.faults, [&](const fault& each) {
        return each.kind == kind && each.subject == subject;
    });
    return found == seen.faults.end() ? nullptr : &*found;
}

bool says_nothing_ran(answer told)
{
    return told == answer::not_run || told == answer::rejected;
}

void check_own_answers(const history& seen, violations& found)
{
    for (const auto& note : seen.requests) {
        if (note.told == answer::completed && note.answered_marker != note.marker) {
            found.push_back({promise::own_answer, note.request,
                             fmt::format("sent marker '{}' to {}, got '{}'", note.marker, note.vm,
                                         note.answered_marker)});
        }
    }
}

/// A request that was still open on a VM when the VM was killed, or was sent right after.
bool excused_by_kill(const history& seen, const request_note& note, const promise_bounds& bounds)
{
    const auto* kill = first_fault(seen, fault_kind::kill_vm, note.vm);
    return kill != nullptr && note.sent >= kill->at - bounds.killed_before;
}

void check_missing_answers(const history& seen, const promise_bounds& bounds, violations& found)
{
    for (const auto& note : seen.requests) {
        if (note.told != answer::no_answer || excused_by_kill(seen, note, bounds)) {
            continue;
        }
        const bool leaving = first_fault(seen, fault_kind::drain_vm, note.vm) != nullptr;
        found.push_back(
            {leaving ? promise::graceful_shutdown : promise::whole_answer, note.request,
             fmt::format("sent to {} at {}, no answer: {}", note.vm, note.sent, note.detail)});
    }
}

void check_executions_once(const history& seen, violations& found)
{
    std::map<std::string_view, std::vector<const execution*>> by_marker;
    for (const auto& run : seen.executions) {
        by_marker[run.marker].push_back(&run);
    }
    std::map<std::string_view, const request_note*> not_idempotent;
    for (const auto& note : seen.requests) {
        if (!note.idempotent) {
            not_idempotent.emplace(note.marker, &note);
        }
    }
    for (const auto& [marker, note] : not_idempotent) {
        const auto runs = by_marker.find(marker);
        if (runs != by_marker.end() && runs->second.size() > 1) {
            found.push_back(
                {promise::at_most_once, note->request,
                 fmt::format("marker '{}' ran {} times, on {} and {}", marker, runs->second.size(),
                             runs->second[0]->worker, runs->second[1]->worker)});
        }
    }
}

void check_tasks_once(const history& seen, violations& found)
{
    std::map<std::string_view, const job_note*> not_idempotent;
    for (const auto& note : seen.jobs) {
        if (!note.idempotent && !note.job.empty()) {
            not_idempotent.emplace(note.job, &note);
        }
    }
    std::map<std::pair<std::string_view, std::uint32_t>, const task_record*> started;
    for (const auto& task : seen.tasks) {
        if (task.released == 0 || !not_idempotent.contains(task.job)) {
            continue;
        }
        const auto [first, fresh] =
            started.emplace(std::pair{std::string_view{task.job}, task.member}, &task);
        if (!fresh) {
            found.push_back(
                {promise::at_most_once, task.job,
                 fmt::format("member {} ran as {} on {} and as {} on {}", task.member,
                             first->second->task, first->second->worker, task.task, task.worker)});
        }
    }
}

/// Earliest sending of an exchange of this marker that may have run; none when all said not.
struct marker_notes {
    const request_note* denied = nullptr;
    wall_us may_run_from = 0;
};

void check_not_run(const history& seen, violations& found)
{
    std::map<std::string_view, marker_notes> by_marker;
    for (const auto& note : seen.requests) {
        auto& entry = by_marker[note.marker];
        if (says_nothing_ran(note.told)) {
            entry.denied = &note;
        } else if (entry.may_run_from == 0 || note.sent < entry.may_run_from) {
            entry.may_run_from = note.sent;
        }
    }
    for (const auto& run : seen.executions) {
        const auto notes = by_marker.find(run.marker);
        if (notes == by_marker.end() || notes->second.denied == nullptr) {
            continue;
        }
        const auto& entry = notes->second;
        if (entry.may_run_from == 0 || run.started < entry.may_run_from) {
            found.push_back(
                {promise::not_run_is_true, entry.denied->request,
                 fmt::format("told {}, but marker '{}' ran on {} at {}",
                             name_of(entry.denied->told), run.marker, run.worker, run.started)});
        }
    }
}

void check_rejected_jobs(const history& seen, violations& found)
{
    std::map<std::string_view, const task_record*> started;
    for (const auto& task : seen.tasks) {
        if (task.released != 0) {
            started.emplace(task.job, &task);
        }
    }
    for (const auto& note : seen.jobs) {
        const auto task = started.find(note.job);
        if (note.state == "rejected" && task != started.end()) {
            found.push_back({promise::not_run_is_true, note.job,
                             fmt::format("told rejected, but member {} ran on {}",
                                         task->second->member, task->second->worker)});
        }
    }
}

struct gang_edge {
    wall_us at = 0;
    int step = 0;
};

/// Longest time for which some but not all members of a gang ran at once.
wall_us longest_partial(std::vector<gang_edge> edges, int gang_size)
{
    std::ranges::sort(edges, [](const gang_edge& left, const gang_edge& right) {
        return left.at < right.at || (left.at == right.at && left.step < right.step);
    });
    wall_us longest = 0;
    wall_us partial_since = 0;
    int running = 0;
    for (const auto& edge : edges) {
        const bool was_partial = running > 0 && running < gang_size;
        running += edge.step;
        const bool is_partial = running > 0 && running < gang_size;
        if (was_partial && !is_partial) {
            longest = std::max(longest, edge.at - partial_since);
        }
        if (!was_partial && is_partial) {
            partial_since = edge.at;
        }
    }
    return longest;
}

void check_gangs(const history& seen, const promise_bounds& bounds, violations& found)
{
    struct gang {
        int size = 1;
        std::vector<gang_edge> edges{};
    };
    std::map<std::string_view, gang> gangs;
    for (const auto& task : seen.tasks) {
        if (task.gang_size < 2 || task.released == 0) {
            continue;
        }
        auto& entry = gangs[task.job];
        entry.size = static_cast<int>(task.gang_size);
        entry.edges.push_back({task.released, 1});
        entry.edges.push_back({task.ended == 0 ? seen.observed_until : task.ended, -1});
    }
    for (const auto& [job, entry] : gangs) {
        const auto longest = longest_partial(entry.edges, entry.size);
        if (longest > bounds.partial_gang) {
            found.push_back({promise::whole_gang, std::string{job},
                             fmt::format("ran with part of its {} members for {} ms", entry.size,
                                         longest / 1'000)});
        }
    }
}

void check_leaving_vms(const history& seen, const promise_bounds& bounds, violations& found)
{
    for (const auto& note : seen.requests) {
        const auto* drain = first_fault(seen, fault_kind::drain_vm, note.vm);
        if (drain == nullptr || note.sent <= drain->at + bounds.leaving_known) {
            continue;
        }
        if (note.told != answer::no_answer && !says_nothing_ran(note.told)) {
            found.push_back({promise::nothing_to_leaving_vm, note.request,
                             fmt::format("{} took it {} ms after it began to leave", note.vm,
                                         (note.sent - drain->at) / 1'000)});
        }
    }
}

bool stays(const history& seen, std::string_view vm)
{
    return first_fault(seen, fault_kind::kill_vm, vm) == nullptr &&
           first_fault(seen, fault_kind::drain_vm, vm) == nullptr;
}

/// When `vm` first stated the changed rules, or -1.
wall_us stated_at(const history& seen, std::string_view vm)
{
    wall_us earliest = -1;
    for (const auto& sample : seen.rules) {
        const bool states = sample.vm == vm && sample.version >= seen.change.version;
        if (states && (earliest < 0 || sample.at < earliest)) {
            earliest = sample.at;
        }
    }
    return earliest;
}

void check_rule_in_force(const history& seen, const promise_bounds& bounds, violations& found)
{
    if (seen.change.version == 0) {
        return;
    }
    for (const auto& vm : seen.vms) {
        if (!stays(seen, vm)) {
            continue;
        }
        const auto stated = stated_at(seen, vm);
        const bool late = stated < 0 || stated - seen.change.accepted > bounds.rule_in_force;
        if (late) {
            found.push_back(
                {promise::rule_in_force, vm,
                 fmt::format("version {} accepted at {}, {}", seen.change.version,
                             seen.change.accepted,
                             stated < 0 ? "never stated" : fmt::format("stated at {}", stated))});
        }
    }
}

void check_rule_order(const history& seen, violations& found)
{
    auto samples = seen.rules;
    std::ranges::stable_sort(samples, {}, &rules_sample::at);
    std::map<std::string_view, std::uint64_t> greatest;
    for (const auto& sample : samples) {
        auto& highest = greatest[sample.vm];
        if (sample.version < highest) {
            found.push_back({promise::rule_never_reverts, sample.vm,
                             fmt::format("stated version {} after {}", sample.version, highest)});
        }
        highest = std::max(highest, sample.version);
    }
}

} // namespace

std::string_view name_of(answer given)
{
    switch (given) {
    case answer::completed:
        return "completed";
    case answer::failed:
        return "failed";
    case answer::rejected:
        return "rejected";
    case answer::not_run:
        return "not_run";
    case answer::unknown:
        return "unknown";
    case answer::no_answer:
        break;
    }
    return "no_answer";
}

std::string_view name_of(promise kept)
{
    switch (kept) {
    case promise::own_answer:
        return "own_answer";
    case promise::whole_answer:
        return "whole_answer";
    case promise::at_most_once:
        return "at_most_once";
    case promise::not_run_is_true:
        return "not_run_is_true";
    case promise::whole_gang:
        return "whole_gang";
    case promise::graceful_shutdown:
        return "graceful_shutdown";
    case promise::nothing_to_leaving_vm:
        return "nothing_to_leaving_vm";
    case promise::rule_in_force:
        return "rule_in_force";
    case promise::rule_never_reverts:
        return "rule_never_reverts";
    case promise::guarantee_reclaimable:
        break;
    }
    return "guarantee_reclaimable";
}

std::vector<violation> check(const history& seen, const promise_bounds& bounds)
{
    violations found;
    check_own_answers(seen, found);
    check_missing_answers(seen, bounds, found);
    check_executions_once(seen, found);
    check_tasks_once(seen, found);
    check_not_run(seen, found);
    check_rejected_jobs(seen, found);
    check_gangs(seen, bounds, found);
    check_leaving_vms(seen, bounds, found);
    check_rule_in_force(seen, bounds, found);
    check_rule_order(seen, found);
    internal::check_guarantees(seen, bounds, found);
    std::ranges::stable_sort(found, {}, &violation::broken);
    return found;
}

std::size_t count_of(const std::vector<violation>& found, promise broken)
{
    return static_cast<std::size_t>(std::ranges::count(found, broken, &violation::broken));
}

wall_us time_until_in_force(const history& seen)
{
    if (seen.change.version == 0) {
        return -1;
    }
    wall_us longest = 0;
    for (const auto& vm : seen.vms) {
        if (!stays(seen, vm)) {
            continue;
        }
        const auto stated = stated_at(seen, vm);
        if (stated < 0) {
            return -1;
        }
        longest = std::max(longest, stated - seen.change.accepted);
    }
    return longest;
}

} // namespace poplarstile::bench::checker
