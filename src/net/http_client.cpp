#include "net/http_client.hpp"

#include "base/bounded_ring.hpp"
#include "net/internal/exchange.hpp"

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

using internal::easy_handle;
using internal::exchange;
using internal::multi_handle;

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
            current->easy = internal::make_handle(options.proxy);
        } else {
            current->easy = std::move(idle_handles.back());
            idle_handles.pop_back();
        }
        internal::set_options(*current);
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
        internal::read_transfer_facts(*current, code);
        if (options.on_bytes) {
            options.on_bytes(current->call.purpose, current->reply.wire_bytes);
        }
        curl_multi_remove_handle(multi.get(), easy);
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
    BOOST_OUTCOME_TRYV(internal::prepare_library());
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
