#include "net/http_client.hpp"

#include "base/bounded_ring.hpp"

#include <curl/curl.h>

#include <algorithm>
#include <atomic>
#include <cstring>
#include <future>
#include <thread>
#include <unordered_map>
#include <utility>

namespace poplarstile::net
{
namespace
{

constexpr int poll_timeout_ms = 1000;

struct easy_deleter {
    void operator()(CURL* handle) const
    {
        curl_easy_cleanup(handle);
    }
};
struct multi_deleter {
    void operator()(CURLM* handle) const
    {
        curl_multi_cleanup(handle);
    }
};
struct list_deleter {
    void operator()(curl_slist* list) const
    {
        curl_slist_free_all(list);
    }
};
using easy_handle = std::unique_ptr<CURL, easy_deleter>;
using multi_handle = std::unique_ptr<CURLM, multi_deleter>;
using header_list = std::unique_ptr<curl_slist, list_deleter>;

/// One exchange under way: what the library's callbacks read and write.
struct exchange {
    http_call call;
    http_client::reply_handler on_reply;
    http_reply reply;
    easy_handle easy;
    header_list headers;
    std::size_t body_offset = 0;
    /// Set when the library first asks for the body, which is before the first byte leaves.
    bool body_asked = false;
};

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
    static_cast<exchange*>(context)->body_offset = static_cast<std::size_t>(offset);
    return CURL_SEEKFUNC_OK;
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
        curl_easy_setopt(easy, CURLOPT_READFUNCTION, read_body);
        curl_easy_setopt(easy, CURLOPT_READDATA, &current);
        curl_easy_setopt(easy, CURLOPT_SEEKFUNCTION, seek_body);
        curl_easy_setopt(easy, CURLOPT_SEEKDATA, &current);
    }
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, current.call.method.c_str());
}

void set_options(exchange& current, const std::string& proxy)
{
    CURL* const easy = current.easy.get();
    const long fresh = current.call.fresh_connection ? 1L : 0L;
    current.headers = make_headers(current.call);
    curl_easy_setopt(easy, CURLOPT_URL, current.call.url.c_str());
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http,https");
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, current.headers.get());
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(current.call.connect_timeout.count()));
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(current.call.timeout.count()));
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, fresh);
    curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, fresh);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, write_body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &current);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, write_header);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &current);
    curl_easy_setopt(easy, CURLOPT_SUPPRESS_CONNECT_HEADERS, 1L);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, &current);
    curl_easy_setopt(easy, CURLOPT_PROXY, proxy.c_str());
    curl_easy_setopt(easy, CURLOPT_HTTPPROXYTUNNEL, proxy.empty() ? 0L : 1L);
    set_body_options(current);
}

delivery outcome_of(const exchange& current, CURLcode code)
{
    if (code == CURLE_OK) {
        return delivery::answered;
    }
    const bool sends_body = current.call.method != "GET" && current.call.method != "DELETE";
    const bool never_sent = sends_body ? !current.body_asked : code == CURLE_COULDNT_CONNECT;
    return never_sent ? delivery::not_sent : delivery::lost;
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
    current.reply.wire_bytes = static_cast<std::size_t>(request_bytes + header_bytes) +
                               current.body_offset + current.reply.body.size();
    if (code != CURLE_OK) {
        current.reply.failure = curl_easy_strerror(code);
        current.reply.body.clear();
    }
}

} // namespace

struct http_client::implementation {
    explicit implementation(const http_client_options& client_options)
        : options{client_options}, ring{client_options.ring_capacity}, multi{curl_multi_init()}
    {
        curl_multi_setopt(multi.get(), CURLMOPT_MAXCONNECTS,
                          static_cast<long>(options.max_idle_connections));
        curl_multi_setopt(multi.get(), CURLMOPT_MAX_HOST_CONNECTIONS,
                          static_cast<long>(options.max_connections_per_target));
    }

    void run()
    {
        while (!stopping.load()) {
            take_new_calls();
            int running = 0;
            curl_multi_perform(multi.get(), &running);
            finish_done();
            curl_multi_poll(multi.get(), nullptr, 0, poll_timeout_ms, nullptr);
        }
        give_up_all();
    }

    void take_new_calls()
    {
        while (auto next = ring.pop_until(std::chrono::steady_clock::time_point{})) {
            begin(std::move(*next));
        }
    }

    void begin(std::unique_ptr<exchange> current)
    {
        if (idle_handles.empty()) {
            current->easy.reset(curl_easy_init());
        } else {
            current->easy = std::move(idle_handles.back());
            idle_handles.pop_back();
        }
        set_options(*current, options.proxy);
        curl_multi_add_handle(multi.get(), current->easy.get());
        CURL* const key = current->easy.get();
        under_way.emplace(key, std::move(current));
    }

    void finish_done()
    {
        int left = 0;
        while (const CURLMsg* message = curl_multi_info_read(multi.get(), &left)) {
            if (message->msg == CURLMSG_DONE) {
                finish(message->easy_handle, message->data.result);
            }
        }
    }

    void finish(CURL* easy, CURLcode code)
    {
        auto entry = under_way.extract(easy);
        if (entry.empty()) {
            return;
        }
        auto current = std::move(entry.mapped());
        read_transfer_facts(*current, code);
        if (options.on_bytes) {
            options.on_bytes(current->call.purpose, current->reply.wire_bytes);
        }
        curl_multi_remove_handle(multi.get(), easy);
        curl_easy_reset(easy);
        idle_handles.push_back(std::move(current->easy));
        current->on_reply(std::move(current->reply));
    }

    void give_up_all()
    {
        take_new_calls();
        while (!under_way.empty()) {
            finish(under_way.begin()->first, CURLE_ABORTED_BY_CALLBACK);
        }
    }

    http_client_options options;
    base::bounded_ring<std::unique_ptr<exchange>> ring;
    multi_handle multi;
    std::unordered_map<CURL*, std::unique_ptr<exchange>> under_way;
    std::vector<easy_handle> idle_handles;
    std::atomic<bool> stopping{false};
    std::thread thread;
};

http_client::http_client(std::unique_ptr<implementation> impl) : impl_{std::move(impl)} {}

base::result<std::unique_ptr<http_client>> http_client::start(const http_client_options& options)
{
    static const CURLcode initialized = curl_global_init(CURL_GLOBAL_DEFAULT);
    if (initialized != CURLE_OK) {
        return base::error{base::error_code::listen_failed, "http client",
                           curl_easy_strerror(initialized), "check the installed libcurl"};
    }
    auto impl = std::make_unique<implementation>(options);
    auto* const raw = impl.get();
    impl->thread = std::thread{[raw] { raw->run(); }};
    return std::unique_ptr<http_client>{new http_client{std::move(impl)}};
}

http_client::~http_client()
{
    impl_->stopping = true;
    impl_->ring.close();
    curl_multi_wakeup(impl_->multi.get());
    impl_->thread.join();
}

void http_client::send(http_call call, reply_handler on_reply)
{
    auto next = std::make_unique<exchange>();
    next->call = std::move(call);
    next->on_reply = std::move(on_reply);
    if (!impl_->ring.try_push(std::move(next))) {
        http_reply refused;
        refused.failure = "too many calls under way";
        // A refused push leaves the message with its producer.
        // NOLINTNEXTLINE(bugprone-use-after-move)
        next->on_reply(std::move(refused));
        return;
    }
    curl_multi_wakeup(impl_->multi.get());
}

http_reply http_client::send_and_wait(http_call call)
{
    auto promise = std::make_shared<std::promise<http_reply>>();
    auto reply = promise->get_future();
    send(std::move(call), [promise](http_reply answer) { promise->set_value(std::move(answer)); });
    return reply.get();
}

} // namespace poplarstile::net
