#include "bench/load_driver/answers.hpp"

#include "base/error_codes.hpp"

#include "base/json_member.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <optional>

namespace poplarstile::bench::load_driver
{
namespace
{

using checker::answer;
using nlohmann::json;

constexpr auto told_answers = std::to_array<answer>(
    {answer::completed, answer::failed, answer::rejected, answer::not_run, answer::unknown});

std::optional<answer> answer_named(std::string_view name)
{
    const auto found =
        std::ranges::find(told_answers, name, [](answer each) { return checker::name_of(each); });
    return found == told_answers.end() ? std::nullopt : std::optional{*found};
}

/// The worker's answer repeats the marker of the request that it ran as `echo`.
std::string first_echo(const json& value)
{
    if (!value.is_object()) {
        return {};
    }
    const auto marker = value.find("echo");
    if (marker != value.end() && marker->is_string()) {
        return marker->get<std::string>();
    }
    for (const auto& member : value) {
        auto found = first_echo(member);
        if (!found.empty()) {
            return found;
        }
    }
    return {};
}

json parsed_body(const net::http_reply& reply)
{
    auto body = json::parse(reply.body, nullptr, false);
    return body.is_object() ? body : json::object();
}

std::string text_of(const json& body, const char* member)
{
    return base::member_or(body, member, std::string{});
}

std::uint32_t code_of(const json& body)
{
    const auto found = body.find("code");
    return found != body.end() && found->is_number_unsigned() ? found->get<std::uint32_t>() : 0;
}

} // namespace

read_answer read_request_answer(const net::http_reply& reply)
{
    if (reply.outcome == net::delivery::not_sent) {
        return {.told = answer::not_run, .detail = reply.failure};
    }
    if (reply.outcome == net::delivery::lost) {
        return {.told = answer::no_answer, .detail = reply.failure};
    }
    const auto body = parsed_body(reply);
    const auto told = answer_named(text_of(body, "outcome"));
    if (!told) {
        return {.told = answer::no_answer,
                .detail = fmt::format("status {} without an outcome", reply.status)};
    }
    return {.told = *told,
            .marker = *told == answer::completed ? first_echo(body) : std::string{},
            .code = code_of(body),
            .detail = text_of(body, "detail")};
}

read_job read_job_answer(const net::http_reply& reply)
{
    if (reply.outcome != net::delivery::answered) {
        return {};
    }
    const auto body = parsed_body(reply);
    const bool rejected =
        text_of(body, "outcome") == "rejected" || text_of(body, "state") == "rejected";
    return {.job = text_of(body, "job"),
            .state = text_of(body, "state"),
            .domain = text_of(body, "failure_domain"),
            .rejected = rejected};
}

bool may_fail_over(const net::http_reply& reply, const read_answer& given)
{
    if (reply.outcome == net::delivery::not_sent) {
        return true;
    }
    const auto rate_limited = static_cast<std::uint32_t>(base::error_code::request_rate_limited);
    const auto too_late = static_cast<std::uint32_t>(base::error_code::request_deadline_passed);
    return given.told == answer::not_run && given.code != rate_limited && given.code != too_late;
}

bool is_final_state(std::string_view state)
{
    return state == "completed" || state == "failed" || state == "rejected" ||
           state == "cancelled" || state == "unknown";
}

} // namespace poplarstile::bench::load_driver
