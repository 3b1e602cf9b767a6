#include "base/log.hpp"

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>

#include <array>
#include <atomic>
#include <iostream>
#include <mutex>
#include <string>

namespace poplarstile::base
{
namespace
{

namespace blog = boost::log;

constexpr std::array<std::string_view, 4> level_names{"debug", "info", "warning", "error"};

std::atomic<log_level> least_level{log_level::info};

std::string& process_name()
{
    static std::string name;
    return name;
}

} // namespace

void start_log(log_level least, std::string_view process)
{
    static std::once_flag started;
    least_level = least;
    process_name() = process;
    std::call_once(started, [] {
        blog::add_common_attributes();
        blog::add_console_log(std::clog,
                              blog::keywords::format =
                                  blog::expressions::stream
                                  << blog::expressions::format_date_time<boost::posix_time::ptime>(
                                         "TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
                                  << ' ' << blog::expressions::smessage);
    });
}

log_level log_level_named(std::string_view name)
{
    for (std::size_t index = 0; index < level_names.size(); ++index) {
        if (level_names.at(index) == name) {
            return static_cast<log_level>(index);
        }
    }
    return log_level::info;
}

namespace internal
{

bool log_enabled(log_level level)
{
    return level >= least_level.load(std::memory_order_relaxed);
}

void write_log(log_level level, std::string_view part, std::string_view sentence)
{
    static blog::sources::severity_logger_mt<int> source;
    BOOST_LOG_SEV(source, static_cast<int>(level))
        << level_names.at(static_cast<std::size_t>(level)) << ' ' << process_name() << " [" << part
        << "] " << sentence;
}

} // namespace internal
} // namespace poplarstile::base
