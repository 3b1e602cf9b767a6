#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace poplarstile::standins::worker_standin
{

/// Progress saved by checkpoints, by job and member; shared by the workers of one process.
class checkpoint_store
{
public:
    void save(const std::string& job, std::uint32_t member, base::milliseconds progress);
    [[nodiscard]] base::milliseconds load(const std::string& job, std::uint32_t member) const;

private:
    mutable std::mutex mutex_;
    std::map<std::string, base::milliseconds, std::less<>> progress_;
};

} // namespace poplarstile::standins::worker_standin
