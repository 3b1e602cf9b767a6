#pragma once

#include "placement/cell_index.hpp"
#include "placement/guarantees.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

namespace poplarstile::placement
{

/// Names a job to the allocation; never 0.
using work_id = std::uint64_t;

/// A gang that asks for a place.
struct work_request {
    work_id id = 0;
    std::string workspace{};
    rules::shape shape{};
    /// True when it can be checkpointed and may be repeated: only such work gives way to a
    /// guarantee.
    bool stoppable = false;
};

/// One guaranteed shape. It is bound to a cell while its workspace's own work runs there.
struct guarantee_instance {
    std::string workspace{};
    rules::shape shape{};
    /// The line of the rules that gives it.
    std::string rule{};
    std::optional<cell> bound{};
    /// Works of the workspace that run or wait in the bound cell.
    std::uint32_t works = 0;
    /// Accelerators of the bound cell that can't be used. A guarantee whose cell is not whole is
    /// owed another one.
    std::uint32_t unusable = 0;
};

/// Where a gang can go.
struct placement_plan {
    cell where{};
    /// The guarantee it uses; nothing when it runs beyond its workspace's guarantee.
    std::optional<std::size_t> instance{};
    /// The cell to which the guarantee is bound with it.
    cell bound{};
    /// Works that must stop first: whole gangs.
    std::vector<work_id> victims{};
    double loss = 0;
};

enum class wait_cause {
    /// No cell of the shape exists on the hardware that is usable now.
    hardware,
    /// Cells of the shape exist, and work that does not give way occupies each.
    occupied,
    /// Cells are free, but another workspace's guarantee may need them and this work could not be
    /// stopped in time.
    guarantee_of_others,
};

/// Why a gang can't be placed now, and what stands in its way.
struct placement_wait {
    wait_cause cause = wait_cause::hardware;
    /// The line of the rules that the cause rests on; empty when none.
    std::string rule{};
    /// Works in the cell that needs the fewest to end.
    std::vector<work_id> blocked_by{};
};

/// Work that would be lost if this one was stopped now, in accelerator milliseconds.
using loss_function = std::function<double(work_id)>;

struct plan_options {
    /// False when only free cells may be used.
    bool reclaim = true;
    /// True when reserved cells may be used as well.
    bool use_reserved = false;
};

/// Who has which accelerators of a failure domain, and the guarantees on them.
///
/// The rule it keeps: every guaranteed shape that is not bound to a whole cell can be had, all at
/// once, from cells that are free or run work that gives way; and within a bound cell only the
/// owner's work does not give way. A placement that would break this is not planned. Hardware that
/// fails can break it; then no placement makes it worse. (Zhao et al., "HiveD", OSDI 2020: cells
/// that make guarantees safe, and their dynamic binding to hardware.)
class allocation
{
public:
    explicit allocation(topology hardware);

    [[nodiscard]] const topology& hardware() const
    {
        return hardware_;
    }

    /// Replaces the guarantees; those bound keep their cells where the same guarantee remains, and
    /// work under a guarantee that is gone gives way from then on if it can.
    void set_guarantees(std::vector<guarantee_instance> guarantees);
    /// One instance for each guaranteed shape of the failure domain.
    [[nodiscard]] static std::vector<guarantee_instance>
    instances_of(const rules::ruleset& rules, std::string_view failure_domain);

    /// False while the accelerator is broken or its worker takes no work.
    void set_usable(std::size_t worker, std::uint32_t accelerator, bool usable);

    /// Keeps a cell from work that does not ask for reserved cells. Guarantees go first.
    void reserve(const cell& where);
    void clear_reservations();

    [[nodiscard]] std::optional<placement_plan> plan(const work_request& request,
                                                     const loss_function& loss,
                                                     const plan_options& options = {}) const;

    /// Takes the place at once, or claims it when the plan has victims.
    void commit(const placement_plan& plan, const work_request& request);

    /// Work found running by a new scheduler. `guarantee_level` is the level of the guaranteed
    /// cell it was started in.
    void adopt(const work_request& request, std::span<const member_place> members,
               std::optional<std::uint32_t> guarantee_level);

    enum class claim_state { none, waiting, ready, broken };
    [[nodiscard]] claim_state claim_of(work_id work) const;
    /// Turns a ready claim into a place.
    void occupy(work_id work);
    /// Ends a place or claim; unknown works are ignored.
    void release(work_id work);

    [[nodiscard]] bool has(work_id work) const
    {
        return works_.contains(work);
    }
    [[nodiscard]] std::vector<member_place> members_of(work_id work) const;
    [[nodiscard]] std::optional<cell> cell_of(work_id work) const;
    /// Level of the guaranteed cell that the work runs in; nothing when it has no guarantee.
    [[nodiscard]] std::optional<std::uint32_t> guarantee_level_of(work_id work) const;
    [[nodiscard]] std::span<const guarantee_instance> guarantees() const
    {
        return guarantees_;
    }

    /// Why `plan` finds nothing for the request.
    [[nodiscard]] placement_wait explain(const work_request& request) const;

    /// Guaranteed shapes that could not all be had at once now; empty while the rule holds.
    [[nodiscard]] std::vector<cell_demand> unmet() const;

    /// Whole cells for the shape that are free, and that are free or give way.
    [[nodiscard]] std::uint32_t free_cells(const rules::shape& wanted) const;
    [[nodiscard]] std::uint32_t reclaimable_cells(const rules::shape& wanted) const;
    [[nodiscard]] bool all_usable() const;
    [[nodiscard]] std::uint32_t free_accelerators() const;
    [[nodiscard]] std::uint32_t free_accelerators_of(std::size_t worker) const;
    /// Free accelerators that are part of no free cell of the shape, as a share of those free.
    [[nodiscard]] double fragmentation(const rules::shape& wanted) const;

    /// Grows whenever something may have become free.
    [[nodiscard]] std::uint64_t freed_count() const
    {
        return freed_count_;
    }

private:
    struct accelerator_state {
        bool usable = true;
        bool reserved = false;
        /// The guarantee whose bound cell this is part of.
        std::optional<std::uint32_t> bound{};
        work_id occupant = 0;
        work_id claimant = 0;
    };

    struct work_state {
        work_request request{};
        cell where{};
        /// Offsets in the line of `where`, or places of adopted work.
        std::vector<accelerator_place> places{};
        std::optional<std::size_t> instance{};
        bool claiming = false;
    };

    [[nodiscard]] accelerator_state& state_at(const accelerator_place& place);
    [[nodiscard]] const accelerator_state& state_at(const accelerator_place& place) const;
    [[nodiscard]] bool is_free(const accelerator_state& state) const;
    [[nodiscard]] bool gives_way(const accelerator_state& state) const;
    void refresh(const accelerator_place& place);
    void bind(std::size_t instance, const cell& where);
    void unbind(std::size_t instance);
    [[nodiscard]] bool any_bound(const cell& where) const;
    void mark_bound(const cell& where, std::optional<std::size_t> instance);

    [[nodiscard]] std::vector<cell_demand> owed(std::optional<std::size_t> except) const;
    [[nodiscard]] bool removal_is_safe(const removed_cell& without,
                                       std::optional<std::size_t> instance) const;
    [[nodiscard]] bool places_are_safe(std::span<const accelerator_place> places) const;

    [[nodiscard]] std::optional<placement_plan> plan_guaranteed(const work_request& request,
                                                                const loss_function& loss) const;
    void plan_in_bound(const work_request& request, const loss_function& loss,
                       std::optional<placement_plan>& best) const;
    void plan_by_binding(const work_request& request, const loss_function& loss,
                         std::size_t instance, std::optional<placement_plan>& best) const;
    void consider(const work_request& request, const loss_function& loss, std::size_t instance,
                  const cell& bound, std::optional<placement_plan>& best) const;
    [[nodiscard]] std::optional<std::vector<work_id>> victims_in(const work_request& request,
                                                                 const cell& where) const;
    [[nodiscard]] std::optional<placement_plan> plan_free(const work_request& request,
                                                          const plan_options& options) const;
    [[nodiscard]] std::optional<cell> find_pinned(const work_request& request,
                                                  const cell_index& free) const;
    [[nodiscard]] std::optional<cell> find_partial(const work_request& request,
                                                   bool use_reserved) const;

    topology hardware_;
    std::vector<std::vector<accelerator_state>> lines_;
    std::vector<guarantee_instance> guarantees_;
    std::unordered_map<work_id, work_state> works_;
    std::vector<cell> reserved_;
    /// Free or running work that gives way, outside bound cells.
    cell_index available_;
    /// Free, outside bound cells, not reserved.
    cell_index free_;
    /// Free inside bound cells, not reserved.
    cell_index bound_free_;
    /// Free and reserved.
    cell_index reserved_free_;
    std::uint32_t free_accelerators_ = 0;
    std::uint64_t freed_count_ = 0;
};

} // namespace poplarstile::placement
