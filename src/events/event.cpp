#include "events/event.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace poplarstile::events
{
namespace
{

auto order_of(const event& value)
{
    return std::tie(value.hlc, value.process, value.seq);
}

base::error wrong_member(std::string_view name, std::string_view expected)
{
    return {.code = base::error_code::operator_argument_invalid,
            .place = fmt::format("event.{}", name),
            .detail = fmt::format("expected {}", expected)};
}

base::result<std::uint64_t> unsigned_member(const nlohmann::json& value, const char* name)
{
    const auto found = value.find(name);
    if (found == value.end() || !found->is_number_unsigned()) {
        return wrong_member(name, "an unsigned integer");
    }
    return found->get<std::uint64_t>();
}

base::result<std::int64_t> integer_member(const nlohmann::json& value, const char* name)
{
    const auto found = value.find(name);
    if (found == value.end() || !found->is_number_integer()) {
        return wrong_member(name, "an integer");
    }
    return found->get<std::int64_t>();
}

base::result<std::string> string_member(const nlohmann::json& value, const char* name)
{
    const auto found = value.find(name);
    if (found == value.end() || !found->is_string()) {
        return wrong_member(name, "a string");
    }
    return found->get<std::string>();
}

} // namespace

nlohmann::json to_json_value(const event& value)
{
    return {{"seq", value.seq},         {"hlc", value.hlc},     {"wall_us", value.wall_us},
            {"process", value.process}, {"part", value.part},   {"kind", value.kind},
            {"subject", value.subject}, {"cause", value.cause}, {"detail", value.detail}};
}

base::result<event> event_from_json(const nlohmann::json& value)
{
    if (!value.is_object()) {
        return wrong_member("", "an object");
    }
    BOOST_OUTCOME_TRY(seq, unsigned_member(value, "seq"));
    BOOST_OUTCOME_TRY(hlc, unsigned_member(value, "hlc"));
    BOOST_OUTCOME_TRY(wall_us, integer_member(value, "wall_us"));
    BOOST_OUTCOME_TRY(process, string_member(value, "process"));
    BOOST_OUTCOME_TRY(part, string_member(value, "part"));
    BOOST_OUTCOME_TRY(kind, string_member(value, "kind"));
    BOOST_OUTCOME_TRY(subject, string_member(value, "subject"));
    BOOST_OUTCOME_TRY(cause, string_member(value, "cause"));
    BOOST_OUTCOME_TRY(detail, string_member(value, "detail"));
    return event{.seq = seq,
                 .hlc = hlc,
                 .wall_us = wall_us,
                 .process = std::move(process),
                 .part = std::move(part),
                 .kind = std::move(kind),
                 .subject = std::move(subject),
                 .cause = std::move(cause),
                 .detail = std::move(detail)};
}

std::vector<event> merge_time_line(std::vector<event> events)
{
    std::ranges::sort(events, [](const event& left, const event& right) {
        return order_of(left) < order_of(right);
    });
    const auto is_same = [](const event& left, const event& right) {
        return order_of(left) == order_of(right);
    };
    events.erase(std::unique(events.begin(), events.end(), is_same), events.end());
    return events;
}

} // namespace poplarstile::events
