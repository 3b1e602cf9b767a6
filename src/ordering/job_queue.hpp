#pragma once

#include "ordering/policy.hpp"
#include "rules/ruleset.hpp"

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace poplarstile::ordering
{

/// Names a job to the queue; grows in the order of submission.
using job_number = std::uint64_t;

struct queued_job {
    job_number number = 0;
    std::string workspace{};
    std::string class_name{};
    rules::shape shape{};
    /// True when it can be checkpointed and may be repeated.
    bool stoppable = false;
    base::milliseconds attained{0};
    base::time_point queued_since{};
};

/// What put a job where it stands in the order.
enum class order_reason { urgent, aged, guarantee, share, service };

/// The waiting jobs of a failure domain.
///
/// Jobs that the order can't tell apart but by their age share a lane, first come first. A pass
/// sorts lanes, not jobs: its cost depends on the lanes and on the jobs taken, and adding or
/// removing a job costs O(1) on average.
///
/// Order: urgent classes; jobs that waited for the ageing time, longest first; classes that no
/// waiting class must go before; workspaces below their guarantee; workspaces below their share;
/// least attained service; least weighted use; longest wait. So a job that is not urgent waits at
/// most the ageing time until only urgent jobs, and those that waited even longer, go before it.
class job_queue
{
private:
    struct lane_key {
        std::string workspace{};
        std::string class_name{};
        rules::shape shape{};
        bool stoppable = false;
        std::size_t level = 0;

        // clang-tidy 14 takes the 0 in what the compiler makes of <=> for a null pointer.
        // NOLINTNEXTLINE(modernize-use-nullptr)
        auto operator<=>(const lane_key&) const = default;
    };
    using lane = std::list<queued_job>;
    using lane_map = std::map<lane_key, lane>;

public:
    explicit job_queue(const policy& constants, std::string failure_domain);

    void set_rules(std::shared_ptr<const rules::ruleset> in_force);
    void add(const queued_job& job);
    /// False when the job does not wait here.
    bool remove(job_number number);
    void clear();
    [[nodiscard]] bool contains(job_number number) const
    {
        return entries_.contains(number);
    }
    /// True when the job waits here and its workspace's quota has room for it.
    [[nodiscard]] bool may_start(job_number number) const;
    [[nodiscard]] std::size_t size() const
    {
        return entries_.size();
    }

    /// Adds accelerators that the workspace uses now.
    void add_use(const std::string& workspace, std::uint64_t accelerators);
    void remove_use(const std::string& workspace, std::uint64_t accelerators);

    /// One walk over the waiting jobs in order. The queue may lose the job returned last, and
    /// use may be added, between two calls.
    class pass
    {
    public:
        pass(job_queue& queue, base::time_point now);

        /// The next job; nothing at the end.
        [[nodiscard]] std::optional<job_number> next();
        /// The job returned last found no place: neither do those of its lane.
        void skip_lane();
        [[nodiscard]] order_reason reason() const
        {
            return reason_;
        }

    private:
        friend class job_queue;
        struct order_key {
            bool not_urgent = true;
            bool not_aged = true;
            std::uint32_t rank = 0;
            bool above_guarantee = true;
            bool above_share = false;
            std::size_t level = 0;
            std::uint64_t size = 0;
            double weighted_use = 0;
            base::time_point queued_since{};
            job_number number = 0;

            // clang-tidy 14 takes the 0 in what the compiler makes of <=> for a null pointer.
            // NOLINTNEXTLINE(modernize-use-nullptr)
            auto operator<=>(const order_key&) const = default;
        };
        struct entry {
            order_key key{};
            lane_map::iterator at{};
            lane::iterator job{};

            bool operator>(const entry& other) const
            {
                return key > other.key;
            }
        };

        void push(lane_map::iterator at, lane::iterator job);
        void return_taken();
        [[nodiscard]] order_key key_of(const lane_key& alike, const queued_job& job) const;

        job_queue& queue_;
        base::time_point now_;
        std::map<std::string, std::uint32_t, std::less<>> ranks_{};
        std::vector<entry> heap_{};
        std::optional<entry> taken_{};
        /// The job after the one returned last.
        lane::iterator following_{};
        order_reason reason_ = order_reason::service;
    };

private:
    struct entry_place {
        lane_map::iterator at{};
        lane::iterator job{};
    };
    struct workspace_account {
        std::uint64_t used = 0;
        std::uint64_t guaranteed = 0;
        double weight = 1.0;
        std::optional<std::uint32_t> quota{};
    };

    [[nodiscard]] std::map<std::string, std::uint32_t, std::less<>> class_ranks() const;
    [[nodiscard]] double fair_use() const;
    [[nodiscard]] bool within_quota(const lane_key& key) const;

    policy policy_;
    std::string failure_domain_;
    std::shared_ptr<const rules::ruleset> rules_ = std::make_shared<rules::ruleset>();
    lane_map lanes_{};
    std::unordered_map<job_number, entry_place> entries_{};
    std::map<std::string, workspace_account, std::less<>> accounts_{};
};

} // namespace poplarstile::ordering
