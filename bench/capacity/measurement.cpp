#include "bench/capacity/measurement.hpp"

#include <malloc.h>

#include <algorithm>
#include <ctime>
#include <limits>
#include <utility>

namespace poplarstile::bench::capacity
{
namespace
{

double clock_us(clockid_t clock)
{
    timespec now{};
    clock_gettime(clock, &now);
    return static_cast<double>(now.tv_sec) * 1e6 + static_cast<double>(now.tv_nsec) / 1e3;
}

} // namespace

std::int64_t allocated_bytes()
{
    const auto info = mallinfo2();
    return static_cast<std::int64_t>(info.uordblks + info.hblkhd);
}

double thread_cpu_us()
{
    return clock_us(CLOCK_THREAD_CPUTIME_ID);
}

double process_cpu_us()
{
    return clock_us(CLOCK_PROCESS_CPUTIME_ID);
}

double least_cpu_us(std::size_t repeats, const std::function<void()>& prepare,
                    const std::function<void()>& work)
{
    double least = std::numeric_limits<double>::max();
    for (std::size_t run = 0; run < repeats; ++run) {
        prepare();
        const double began = thread_cpu_us();
        work();
        least = std::min(least, thread_cpu_us() - began);
    }
    return least;
}

slope measure(slope head, std::span<const std::size_t> sizes, const effort& how,
              const std::function<double(std::size_t)>& cost)
{
    for (const auto size : sizes) {
        const auto scaled = std::max<std::size_t>(1, size / how.divisor);
        head.points.push_back({static_cast<double>(scaled), cost(scaled)});
    }
    return head;
}

} // namespace poplarstile::bench::capacity
