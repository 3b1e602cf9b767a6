#include "standins/worker_standin/checkpoint_store.hpp"

#include <fmt/format.h>

#include <cstddef>

namespace poplarstile::standins::worker_standin
{
namespace
{

constexpr std::size_t max_checkpoints = 200'000;

std::string checkpoint_key(const std::string& job, std::uint32_t member)
{
    return fmt::format("{}/{}", job, member);
}

} // namespace

void checkpoint_store::save(const std::string& job, std::uint32_t member,
                            base::milliseconds progress)
{
    const std::lock_guard lock{mutex_};
    if (progress_.size() >= max_checkpoints) {
        progress_.erase(progress_.begin());
    }
    progress_[checkpoint_key(job, member)] = progress;
}

base::milliseconds checkpoint_store::load(const std::string& job, std::uint32_t member) const
{
    const std::lock_guard lock{mutex_};
    const auto found = progress_.find(checkpoint_key(job, member));
    return found == progress_.end() ? base::milliseconds{0} : found->second;
}

} // namespace poplarstile::standins::worker_standin
