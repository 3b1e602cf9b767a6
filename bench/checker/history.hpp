#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// What happened in one run, as typed values: the callers' own notes, the records of workers and
/// the faults that were injected. Times are wall-clock microseconds; 0 means that it never
/// happened.
namespace poplarstile::bench::checker
{

using wall_us = std::int64_t;

/// What a caller was told about one exchange.
enum class answer { completed, failed, rejected, not_run, unknown, no_answer };

[[nodiscard]] std::string_view name_of(answer given);

/// One exchange of a short request, as its caller wrote it down.
struct request_note {
    std::string request{};
    /// Names the work inside the body; repeats of one Idempotency-Key share it.
    std::string marker{};
    std::string service{};
    std::string vm{};
    bool idempotent = true;
    bool urgent = false;
    wall_us sent = 0;
    wall_us answered = 0;
    answer told = answer::no_answer;
    /// Marker found in a completed answer.
    std::string answered_marker{};
    std::string detail{};
    /// True when the caller went on to another VM, so that this was not its last word.
    bool superseded = false;
};

/// One job, as its caller wrote it down.
struct job_note {
    std::string job{};
    std::string job_class{};
    std::string workspace{};
    /// Failure domain that the VM named when it accepted the job.
    std::string domain{};
    /// Shape asked for: gang members, and accelerators of each.
    std::uint32_t members = 1;
    std::uint32_t accelerators = 1;
    bool idempotent = true;
    bool urgent = false;
    wall_us submitted = 0;
    /// Last state that the caller was told; empty when the submission was never accepted.
    std::string state{};
    bool cancelled = false;
    bool submission_rejected = false;
};

/// One run of a short request in a slot, as the worker recorded it.
struct execution {
    std::string worker{};
    std::string request{};
    std::string attempt{};
    std::string marker{};
    wall_us started = 0;
    wall_us ended = 0;
    std::string outcome{};
};

/// One gang member on a worker, as the worker recorded it.
struct task_record {
    std::string worker{};
    std::string task{};
    std::string job{};
    std::uint32_t gang_size = 1;
    std::uint32_t member = 0;
    std::string domain{};
    wall_us held = 0;
    wall_us released = 0;
    wall_us ended = 0;
    std::string state{};
    std::vector<std::uint32_t> accelerators{};
};

enum class fault_kind { kill_vm, drain_vm, worker_leaving };

struct fault {
    wall_us at = 0;
    fault_kind kind = fault_kind::kill_vm;
    std::string subject{};
};

/// The rules version that a VM stated at one moment.
struct rules_sample {
    wall_us at = 0;
    std::string vm{};
    std::uint64_t version = 0;
};

/// The operator's change made during the run; `version` 0 when none was accepted.
struct rule_change {
    wall_us accepted = 0;
    std::uint64_t version = 0;
};

struct worker_place {
    std::string worker{};
    std::string domain{};
    std::string rack{};
    std::uint32_t position = 0;
    std::uint32_t accelerators = 8;
};

/// `count` shapes of `members` neighbours of `accelerators` each, promised to a workspace.
struct guarantee {
    std::string workspace{};
    std::string domain{};
    std::uint32_t count = 1;
    std::uint32_t members = 1;
    std::uint32_t accelerators = 1;
};

/// What the platform counted over the whole run.
struct platform_counts {
    std::uint64_t transactions = 0;
    std::uint64_t reads = 0;
    std::uint64_t conflicts = 0;
    /// Calls over its budget or during an outage.
    std::uint64_t refused = 0;
};

struct history {
    std::vector<request_note> requests{};
    std::vector<job_note> jobs{};
    std::vector<execution> executions{};
    std::vector<task_record> tasks{};
    std::vector<fault> faults{};
    std::vector<rules_sample> rules{};
    rule_change change{};
    platform_counts platform{};
    std::vector<std::string> vms{};
    std::vector<guarantee> guarantees{};
    /// End of the observation; what still ran then ran at least until here.
    wall_us observed_until = 0;
};

} // namespace poplarstile::bench::checker
