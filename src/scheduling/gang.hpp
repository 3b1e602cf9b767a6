#pragma once

#include "base/time.hpp"
#include "workers/worker_messages.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// The life of one attempt to run a gang.
namespace poplarstile::scheduling
{

/// One member: a task on one worker.
struct gang_member {
    std::string task{};
    /// Index of the worker in the scheduler's list.
    std::size_t worker = 0;
    std::vector<std::uint32_t> accelerators{};
    /// As the worker last said; `absent` before it has confirmed the hold.
    workers::task_state state = workers::task_state::absent;
    /// True when the worker has confirmed that the task does not run and never will.
    bool settled = false;
    /// When the worker first said that the task is held or runs.
    base::time_point confirmed_at{};
};

enum class gang_phase {
    /// Every member is ordered to hold; none runs.
    holding,
    /// All members are held and the order to release may be given.
    held,
    /// The release is ordered: some members may run already.
    releasing,
    running,
    /// Some doubt arose: every member is ordered to stop until all are settled.
    stopping,
    /// Every member is settled.
    ended,
};

/// Why a gang is stopped.
enum class stop_cause { none, member_refused, member_lost, member_failed, cancelled, reclaimed };

/// All members start held, all confirm, then all are released; any doubt stops all. The aggregate
/// keeps this rule; its user carries out the orders that the phase asks for.
class gang
{
public:
    explicit gang(std::vector<gang_member> members, base::time_point now);

    /// An attempt found on its workers by a new scheduler: it goes on when all members are there
    /// and none has ended badly, and is stopped otherwise. `released` tells whether a release may
    /// have been ordered before.
    [[nodiscard]] static gang adopt(std::vector<gang_member> members, std::size_t gang_size,
                                    bool released, base::time_point now);

    /// The worker has said this about the member's task.
    void record_state(std::string_view task, workers::task_state state, base::time_point now);

    /// The worker refused to hold the member; it does not run there.
    void record_refusal(std::string_view task, base::time_point now);

    /// A report of this worker, asked for at `asked_at`, does not list the task: if the worker had
    /// confirmed it before, it has forgotten it and the task runs no more.
    void record_absence(std::string_view task, base::time_point asked_at, base::time_point now);

    /// The worker is lost for longer than its lease: its members run no more.
    void record_worker_lost(std::size_t worker, base::time_point now);

    /// The release order is about to be sent; nothing is certain from here on.
    void begin_release(base::time_point now);

    /// Stops all members; the first cause is kept.
    void stop(stop_cause cause, base::time_point now);

    [[nodiscard]] gang_phase phase() const
    {
        return phase_;
    }
    [[nodiscard]] stop_cause cause() const
    {
        return cause_;
    }
    /// True when all members ran to success.
    [[nodiscard]] bool completed() const;
    /// True when a release was ever ordered.
    [[nodiscard]] bool was_released() const
    {
        return released_;
    }
    [[nodiscard]] std::span<const gang_member> members() const
    {
        return members_;
    }
    [[nodiscard]] base::time_point phase_since() const
    {
        return phase_since_;
    }

private:
    [[nodiscard]] gang_member* find(std::string_view task);
    void enter(gang_phase phase, base::time_point now);
    void advance(base::time_point now);

    std::vector<gang_member> members_;
    gang_phase phase_ = gang_phase::holding;
    stop_cause cause_ = stop_cause::none;
    bool released_ = false;
    /// False when a successor did not find all members.
    bool whole_ = true;
    base::time_point phase_since_;
};

} // namespace poplarstile::scheduling
