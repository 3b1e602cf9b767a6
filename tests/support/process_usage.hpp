#pragma once

#include <fmt/format.h>

#include <sys/types.h>

#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <string_view>

/// What a running process uses, read from the system.
namespace poplarstile::tests
{

/// A member of the process's status in KiB, such as `VmRSS:`, or `VmHWM:` for the peak of it.
inline std::uint64_t status_kib(pid_t process, std::string_view member)
{
    std::ifstream status{fmt::format("/proc/{}/status", process)};
    std::string line;
    while (std::getline(status, line)) {
        if (line.starts_with(member)) {
            return std::stoull(line.substr(line.find(':') + 1));
        }
    }
    return 0;
}

inline std::size_t open_descriptors(pid_t process)
{
    const std::filesystem::directory_iterator open{fmt::format("/proc/{}/fd", process)};
    return static_cast<std::size_t>(std::distance(begin(open), end(open)));
}

} // namespace poplarstile::tests
