#include "soak/crowd_requests.hpp"

#include "cluster/cluster_codec.hpp"
#include "soak/soak_site.hpp"
#include "standins/site_standin/job_script.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <utility>

namespace poplarstile::soak
{
namespace
{

constexpr std::size_t kib = 1'024;
constexpr std::size_t body_limit = 256 * kib;
constexpr std::size_t tiny_chunks = 200'000;
/// A message of empty texts within 3 MiB, as long as one list may be.
constexpr std::size_t texts_of_list = 50'000;
constexpr std::size_t lists_of_message = 60;
constexpr std::size_t pipelined_calls = 1'000;
/// Each is refused with an answer of its own length.
constexpr std::size_t pipelined_texts = 8;
constexpr std::size_t unended_text = 64 * kib;
constexpr std::string_view unended_job = "0000000100000003";

/// Joins what `element` makes of 0, 1, 2 and so on until the body is as long as it may be.
template <class Element>
std::string filled_body(std::string_view begin, Element element, std::string_view end)
{
    std::string body{begin};
    for (std::size_t index = 0;; ++index) {
        const std::string next = element(index);
        if (body.size() + next.size() + end.size() > body_limit) {
            break;
        }
        body += next;
    }
    body.pop_back();
    return body.append(end);
}

} // namespace

std::string short_job(std::string_view job)
{
    using nlohmann::json;
    constexpr std::int64_t work_ms = 50;
    standins::site_standin::job_script script;
    script.job = job;
    script.steps.push_back({.work = base::milliseconds{work_ms}, .need = {500, 256, 0}});
    const json step{{"count", 1}, {"cpu", 500}, {"mem_mb", 256}, {"estimate_ms", work_ms}};
    return json{{"spec", to_payload(script)}, {"steps", {step}}}.dump();
}

std::string head_of(std::string_view method, std::string_view path, std::string_view fields)
{
    return fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\nKey: {}\r\n"
                       "Content-Type: application/json\r\n{}\r\n",
                       method, path, caller_host, caller_key, fields);
}

std::string submission_path()
{
    return fmt::format("{}{}", batch_prefix, unended_job);
}

std::string post_with_length(std::string_view path, std::size_t length)
{
    return head_of("POST", path, fmt::format("Content-Length: {}\r\n", length));
}

std::string whole_post(std::string_view path, std::string_view body)
{
    return post_with_length(path, body.size()).append(body);
}

std::string unended_tiny_chunks()
{
    auto text = head_of("POST", submission_path(), "Transfer-Encoding: chunked\r\n");
    for (std::size_t chunk = 0; chunk < tiny_chunks; ++chunk) {
        text += "1\r\nb\r\n";
    }
    return text;
}

std::string empty_steps()
{
    return filled_body(R"({"spec":"x","steps":[)", [](std::size_t /*index*/) { return "{},"; },
                       "]}");
}

std::string many_members()
{
    return filled_body(R"({"spec":"x","steps":[],"more":{)",
                       [](std::size_t index) { return fmt::format(R"("{:x}":{{}},)", index); },
                       "}}");
}

std::string pipelined(std::string_view method, std::string_view path)
{
    std::string text;
    for (std::size_t call = 0; call < pipelined_calls; ++call) {
        text += head_of(method, path, "");
    }
    return text;
}

std::string pipelined_unended_texts()
{
    std::string text;
    for (std::size_t call = 0; call < pipelined_texts; ++call) {
        text += whole_post(submission_path(), '"' + std::string(unended_text, 'x'));
    }
    return text;
}

std::string message_of_many_texts()
{
    cluster::leader_heartbeat heartbeat;
    cluster::queue_load load;
    load.shortage.emplace().at_fair_share.resize(texts_of_list);
    heartbeat.loads.assign(lists_of_message, load);
    auto bytes = cluster::encode(heartbeat);
    return bytes.has_value() ? std::move(bytes).value() : std::string{};
}

} // namespace poplarstile::soak
