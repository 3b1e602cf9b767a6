#pragma once

#include <fmt/format.h>

#include <string_view>
#include <utility>

/// Logs: one short sentence a line on standard error, with a fixed prefix for each part.
/// Callers' bodies and secrets are never passed here.
namespace poplarstile::base
{

enum class log_level { debug, info, warning, error };

/// Sets what is written and the name of the process on every line.
void start_log(log_level least, std::string_view process);

/// The level named `debug`, `info`, `warning` or `error`; `info` for any other name.
[[nodiscard]] log_level log_level_named(std::string_view name);

namespace internal
{
void write_log(log_level level, std::string_view part, std::string_view sentence);
[[nodiscard]] bool log_enabled(log_level level);
} // namespace internal

/// The log of one part; `part` is the fixed prefix, such as `lease`.
class logger
{
public:
    explicit constexpr logger(std::string_view part) : part_{part} {}

    template <class... Values>
    void debug(fmt::format_string<Values...> sentence, Values&&... values) const
    {
        write(log_level::debug, sentence, std::forward<Values>(values)...);
    }

    template <class... Values>
    void info(fmt::format_string<Values...> sentence, Values&&... values) const
    {
        write(log_level::info, sentence, std::forward<Values>(values)...);
    }

    template <class... Values>
    void warning(fmt::format_string<Values...> sentence, Values&&... values) const
    {
        write(log_level::warning, sentence, std::forward<Values>(values)...);
    }

    template <class... Values>
    void error(fmt::format_string<Values...> sentence, Values&&... values) const
    {
        write(log_level::error, sentence, std::forward<Values>(values)...);
    }

private:
    template <class... Values>
    void write(log_level level, fmt::format_string<Values...> sentence, Values&&... values) const
    {
        if (internal::log_enabled(level)) {
            internal::write_log(level, part_,
                                fmt::format(sentence, std::forward<Values>(values)...));
        }
    }

    std::string_view part_;
};

} // namespace poplarstile::base
