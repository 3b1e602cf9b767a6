#include "net/internal/exchange.hpp"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <string_view>

namespace poplarstile::net::internal
{
namespace
{

std::size_t read_body(char* buffer, std::size_t size, std::size_t count, void* context)
{
    auto& current = *static_cast<exchange*>(context);
    current.body_asked = true;
    const auto left = current.call.body.size() - current.body_offset;
    const auto chunk = std::min(left, size * count);
    std::memcpy(buffer, current.call.body.data() + current.body_offset, chunk);
    current.body_offset += chunk;
    return chunk;
}

int seek_body(void* context, curl_off_t offset, int origin)
{
    if (origin != SEEK_SET) {
        return CURL_SEEKFUNC_CANTSEEK;
    }
    auto& current = *static_cast<exchange*>(context);
    current.reply.resent = current.reply.resent || current.body_asked;
    current.body_offset = static_cast<std::size_t>(offset);
    return CURL_SEEKFUNC_OK;
}

int ask_before_sending(void* context, char* /*remote_address*/, char* /*local_address*/,
                       int /*remote_port*/, int /*local_port*/)
{
    auto& current = *static_cast<exchange*>(context);
    current.reply.withdrawn = current.call.may_leave && !current.call.may_leave();
    return current.reply.withdrawn ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

std::size_t write_body(char* data, std::size_t size, std::size_t count, void* context)
{
    auto& current = *static_cast<exchange*>(context);
    const auto bytes = size * count;
    if (current.reply.body.size() + bytes > current.call.max_response_bytes) {
        return 0;
    }
    current.reply.body.append(data, bytes);
    return bytes;
}

std::size_t write_header(char* data, std::size_t size, std::size_t count, void* context)
{
    auto& current = *static_cast<exchange*>(context);
    const std::string_view line{data, size * count};
    if (line.starts_with("HTTP/")) {
        current.reply.headers.clear();
        return line.size();
    }
    const auto colon = line.find(':');
    if (colon != std::string_view::npos) {
        auto value = line.substr(colon + 1);
        const auto first = value.find_first_not_of(" \t");
        const auto last = value.find_last_not_of(" \t\r\n");
        value = first == std::string_view::npos || last == std::string_view::npos
                    ? std::string_view{}
                    : value.substr(first, last - first + 1);
        current.reply.headers.push_back({std::string{line.substr(0, colon)}, std::string{value}});
    }
    return line.size();
}

header_list make_headers(const http_call& call)
{
    curl_slist* list = curl_slist_append(nullptr, "Expect:");
    list = curl_slist_append(list, "Accept:");
    for (const auto& header : call.headers) {
        list = curl_slist_append(list, (header.name + ": " + header.value).c_str());
    }
    return header_list{list};
}

void set_body_options(exchange& current)
{
    CURL* const easy = current.easy.get();
    const bool sends_body = current.call.method != "GET" && current.call.method != "DELETE";
    if (!sends_body) {
        curl_easy_setopt(easy, CURLOPT_HTTPGET, 1L);
    } else {
        curl_easy_setopt(easy, CURLOPT_POST, 1L);
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(current.call.body.size()));
        curl_easy_setopt(easy, CURLOPT_READDATA, &current);
        // The library resends only a body that it can rewind.
        curl_easy_setopt(easy, CURLOPT_SEEKFUNCTION, current.call.once ? nullptr : seek_body);
        curl_easy_setopt(easy, CURLOPT_SEEKDATA, &current);
    }
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, current.call.method.c_str());
}

delivery outcome_of(const exchange& current, CURLcode code)
{
    if (code == CURLE_OK) {
        return delivery::answered;
    }
    const bool sends_body = current.call.method != "GET" && current.call.method != "DELETE";
    const bool never_sent =
        sends_body ? !current.body_asked : code == CURLE_COULDNT_CONNECT || current.reply.withdrawn;
    return never_sent ? delivery::not_sent : delivery::lost;
}

} // namespace

easy_handle make_handle(const std::string& proxy)
{
    easy_handle made{curl_easy_init()};
    CURL* const easy = made.get();
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http,https");
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_READFUNCTION, read_body);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, write_body);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, write_header);
    curl_easy_setopt(easy, CURLOPT_SUPPRESS_CONNECT_HEADERS, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, proxy.c_str());
    curl_easy_setopt(easy, CURLOPT_HTTPPROXYTUNNEL, proxy.empty() ? 0L : 1L);
    return made;
}

void set_options(exchange& current)
{
    CURL* const easy = current.easy.get();
    const long fresh = current.call.fresh_connection ? 1L : 0L;
    current.headers = make_headers(current.call);
    curl_easy_setopt(easy, CURLOPT_URL, current.call.url.c_str());
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, current.headers.get());
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(current.call.connect_timeout.count()));
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(current.call.timeout.count()));
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, fresh);
    curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, fresh);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &current);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &current);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, ask_before_sending);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, &current);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, &current);
    set_body_options(current);
}

void read_transfer_facts(exchange& current, CURLcode code)
{
    CURL* const easy = current.easy.get();
    long status = 0;
    long request_bytes = 0;
    long header_bytes = 0;
    curl_off_t elapsed_us = 0;
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &request_bytes);
    curl_easy_getinfo(easy, CURLINFO_HEADER_SIZE, &header_bytes);
    curl_easy_getinfo(easy, CURLINFO_TOTAL_TIME_T, &elapsed_us);
    current.reply.outcome = outcome_of(current, code);
    current.reply.status = static_cast<std::uint16_t>(status);
    current.reply.elapsed = base::microseconds{elapsed_us};
    current.reply.sent_bytes = static_cast<std::size_t>(request_bytes) + current.body_offset;
    current.reply.wire_bytes = current.reply.sent_bytes + static_cast<std::size_t>(header_bytes) +
                               current.reply.body.size();
    if (code == CURLE_COULDNT_CONNECT) {
        long system_error = 0;
        curl_easy_getinfo(easy, CURLINFO_OS_ERRNO, &system_error);
        current.reply.connection_refused = system_error == ECONNREFUSED;
    }
    if (code != CURLE_OK) {
        current.reply.failure = curl_easy_strerror(code);
        current.reply.body.clear();
    }
}

base::result<void> prepare_library()
{
    static const CURLcode initialized = curl_global_init(CURL_GLOBAL_DEFAULT);
    if (initialized != CURLE_OK) {
        return base::error{base::error_code::listen_failed, "http client",
                           curl_easy_strerror(initialized), "check the installed libcurl"};
    }
    return base::success();
}

} // namespace poplarstile::net::internal
