#include "net/reactor_client.hpp"

#include "net/internal/exchange.hpp"
#include "net/internal/waiting_calls.hpp"

#include <asio/posix/stream_descriptor.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <chrono>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace poplarstile::net
{
namespace
{

using internal::easy_handle;
using internal::exchange;
using internal::multi_handle;

void set_int_option(int descriptor, int level, int name, int value)
{
    // A socket without the option still works; time-outs of the call find what it would.
    (void)setsockopt(descriptor, level, name, &value, sizeof value);
}

void set_liveness_options(int descriptor, const reactor_client_options& options)
{
    set_int_option(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT,
                   static_cast<int>(options.user_timeout.count()));
    set_int_option(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_int_option(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, options.keep_alive_idle_s);
    set_int_option(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, options.keep_alive_interval_s);
    set_int_option(descriptor, IPPROTO_TCP, TCP_KEEPCNT, options.keep_alive_probes);
}

/// The watch of a socket that the library waits for. The library owns the descriptor: it closes
/// some sockets, those that it gives up while they connect, without calling a close callback, and
/// the system then gives the same descriptor to the next socket.
struct watched_socket {
    explicit watched_socket(asio::io_context& context) : descriptor{context} {}
    ~watched_socket()
    {
        leave();
    }
    watched_socket(const watched_socket&) = delete;
    watched_socket& operator=(const watched_socket&) = delete;

    /// Ends the watch and leaves the descriptor open.
    void leave()
    {
        wanted = 0;
        if (descriptor.is_open()) {
            descriptor.release();
        }
    }

    asio::posix::stream_descriptor descriptor;
    /// What the library waits for: `CURL_POLL_*`.
    int wanted = 0;
    bool reading = false;
    bool writing = false;
};

} // namespace

struct reactor_client::implementation {
    implementation(asio::io_context& io_context, const reactor_client_options& client_options)
        : context{io_context}, options{client_options},
          queued{static_cast<std::size_t>(client_options.max_connections_per_target)},
          expiry{io_context}, timer{io_context}, multi{curl_multi_init()}
    {
        curl_multi_setopt(multi.get(), CURLMOPT_MAXCONNECTS, options.max_idle_connections);
        curl_multi_setopt(multi.get(), CURLMOPT_MAX_HOST_CONNECTIONS,
                          options.max_connections_per_target);
        curl_multi_setopt(multi.get(), CURLMOPT_SOCKETFUNCTION, on_socket);
        curl_multi_setopt(multi.get(), CURLMOPT_SOCKETDATA, this);
        curl_multi_setopt(multi.get(), CURLMOPT_TIMERFUNCTION, on_timer);
        curl_multi_setopt(multi.get(), CURLMOPT_TIMERDATA, this);
    }

    ~implementation()
    {
        *alive = false;
        for (auto& [easy, current] : under_way) {
            curl_multi_remove_handle(multi.get(), easy);
        }
        under_way.clear();
        multi.reset();
    }
    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;

    void set_socket_options(CURL* easy)
    {
        curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, prepare_socket);
        curl_easy_setopt(easy, CURLOPT_SOCKOPTDATA, this);
    }

    /// Begins a call, or keeps it until one to its target has ended.
    void add(std::unique_ptr<exchange> added)
    {
        const auto now = base::now();
        const auto deadline = now + added->call.timeout;
        const auto target = added->target;
        queued.add({std::move(added), deadline});
        if (auto next = queued.take(target)) {
            begin(std::move(next->call));
            return;
        }
        if (!expiry_at || deadline < *expiry_at) {
            await_expiry(deadline);
        }
    }

    /// Begins calls that have waited, those that are still wanted.
    void begin_waiting(const std::string& target)
    {
        while (auto next = queued.take(target)) {
            auto& call = next->call->call;
            const auto left = std::chrono::ceil<base::milliseconds>(next->deadline - base::now());
            const bool withdrawn = call.may_leave && !call.may_leave();
            if (withdrawn || left <= base::milliseconds{0}) {
                queued.end(target);
                end_unsent(std::move(next->call), withdrawn);
                continue;
            }
            call.timeout = left;
            call.connect_timeout = std::min(call.connect_timeout, left);
            begin(std::move(next->call));
        }
    }

    void await_expiry(base::time_point at)
    {
        expiry_at = at;
        expiry.expires_at(at);
        expiry.async_wait([this, running = alive](const std::error_code& failure) {
            if (failure || !*running) {
                return;
            }
            expiry_at.reset();
            for (auto& expired : queued.take_expired(base::now())) {
                end_unsent(std::move(expired.call), false);
            }
            if (const auto next = queued.next_deadline()) {
                await_expiry(*next);
            }
        });
    }

    /// Ends a call that was not handed to the library.
    void end_unsent(std::unique_ptr<exchange> ended, bool withdrawn)
    {
        http_reply reply;
        reply.withdrawn = withdrawn;
        reply.failure = withdrawn ? "withdrawn" : "no connection to the target was free in time";
        answer(std::move(ended->on_reply), std::move(reply));
    }

    /// Handlers may send again, and neither the library nor the list of waiting calls may be
    /// entered from inside itself.
    void answer(reply_handler on_reply, http_reply reply)
    {
        asio::post(context, [handler = std::move(on_reply), reply = std::move(reply),
                             running = alive]() mutable {
            if (*running) {
                handler(std::move(reply));
            }
        });
    }

    void begin(std::unique_ptr<exchange> current)
    {
        if (idle_handles.empty()) {
            current->easy = internal::make_handle({});
            set_socket_options(current->easy.get());
        } else {
            current->easy = std::move(idle_handles.back());
            idle_handles.pop_back();
        }
        CURL* const easy = current->easy.get();
        internal::set_options(*current);
        under_way.emplace(easy, std::move(current));
        curl_multi_add_handle(multi.get(), easy);
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
        const auto& reply = current->reply;
        account.record(current->call.purpose, reply.sent_bytes, reply.wire_bytes - reply.sent_bytes,
                       reply.resent);
        curl_multi_remove_handle(multi.get(), easy);
        idle_handles.push_back(std::move(current->easy));
        answer(std::move(current->on_reply), std::move(current->reply));
        queued.end(current->target);
        begin_waiting(current->target);
    }

    void act(curl_socket_t descriptor, int events)
    {
        int running = 0;
        curl_multi_socket_action(multi.get(), descriptor, events, &running);
        finish_done();
    }

    void watch(curl_socket_t descriptor)
    {
        const auto found = sockets.find(descriptor);
        if (found == sockets.end()) {
            return;
        }
        const auto& watched = found->second;
        const bool wants_read = (watched->wanted & CURL_POLL_IN) != 0;
        const bool wants_write = (watched->wanted & CURL_POLL_OUT) != 0;
        if (wants_read && !watched->reading) {
            watched->reading = true;
            watched->descriptor.async_wait(asio::posix::stream_descriptor::wait_read,
                                           ready_handler(descriptor, watched, CURL_CSELECT_IN));
        }
        if (wants_write && !watched->writing) {
            watched->writing = true;
            watched->descriptor.async_wait(asio::posix::stream_descriptor::wait_write,
                                           ready_handler(descriptor, watched, CURL_CSELECT_OUT));
        }
    }

    std::function<void(const std::error_code&)>
    ready_handler(curl_socket_t descriptor, const std::shared_ptr<watched_socket>& watched,
                  int event)
    {
        return [this, descriptor, event, running = alive,
                weak = std::weak_ptr{watched}](const std::error_code& failure) {
            const auto current = weak.lock();
            if (!*running || !current) {
                return;
            }
            auto& waiting = event == CURL_CSELECT_IN ? current->reading : current->writing;
            waiting = false;
            const auto wanted = event == CURL_CSELECT_IN ? CURL_POLL_IN : CURL_POLL_OUT;
            if (failure == asio::error::operation_aborted || (current->wanted & wanted) == 0) {
                return;
            }
            act(descriptor, failure ? CURL_CSELECT_ERR : event);
            watch(descriptor);
        };
    }

    static int on_socket(CURL* /*easy*/, curl_socket_t descriptor, int wanted, void* context,
                         void* /*socket_context*/)
    {
        auto& self = *static_cast<implementation*>(context);
        if (wanted == CURL_POLL_REMOVE) {
            self.stop_watching(descriptor);
            return 0;
        }
        auto& watched = self.sockets[descriptor];
        if (!watched) {
            watched = std::make_shared<watched_socket>(self.context);
            std::error_code failure;
            if (watched->descriptor.assign(descriptor, failure)) {
                // Nobody hears of the socket; the call's time-out ends it.
                self.sockets.erase(descriptor);
                return 0;
            }
        }
        watched->wanted = wanted;
        self.watch(descriptor);
        return 0;
    }

    /// Called before the library closes the socket, and must have ended by then, even while a
    /// handler of the watch runs.
    void stop_watching(curl_socket_t descriptor)
    {
        const auto found = sockets.find(descriptor);
        if (found != sockets.end()) {
            found->second->leave();
            sockets.erase(found);
        }
    }

    static int on_timer(CURLM* /*multi*/, long timeout_ms, void* context)
    {
        auto& self = *static_cast<implementation*>(context);
        self.timer.cancel();
        if (timeout_ms >= 0) {
            self.timer.expires_after(base::milliseconds{timeout_ms});
            self.timer.async_wait([&self, running = self.alive](const std::error_code& failure) {
                if (!failure && *running) {
                    self.act(CURL_SOCKET_TIMEOUT, 0);
                }
            });
        }
        return 0;
    }

    static int prepare_socket(void* context, curl_socket_t descriptor, curlsocktype /*purpose*/)
    {
        auto& self = *static_cast<implementation*>(context);
        set_liveness_options(descriptor, self.options);
        ++self.opened;
        return CURL_SOCKOPT_OK;
    }

    asio::io_context& context;
    reactor_client_options options;
    internal::waiting_calls queued;
    /// Goes off when the first of the calls that wait is given up.
    asio::steady_timer expiry;
    std::optional<base::time_point> expiry_at{};
    asio::steady_timer timer;
    std::unordered_map<curl_socket_t, std::shared_ptr<watched_socket>> sockets;
    multi_handle multi;
    std::unordered_map<CURL*, std::unique_ptr<exchange>> under_way;
    std::vector<easy_handle> idle_handles;
    std::size_t opened = 0;
    traffic_account account{};
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

reactor_client::reactor_client(std::unique_ptr<implementation> impl) : impl_{std::move(impl)} {}

base::result<std::unique_ptr<reactor_client>>
reactor_client::create(asio::io_context& context, const reactor_client_options& options)
{
    BOOST_OUTCOME_TRYV(internal::prepare_library());
    return std::unique_ptr<reactor_client>{
        new reactor_client{std::make_unique<implementation>(context, options)}};
}

reactor_client::~reactor_client() = default;

void reactor_client::send(http_call call, reply_handler on_reply)
{
    auto next = std::make_unique<exchange>();
    next->call = std::move(call);
    next->on_reply = std::move(on_reply);
    next->target = internal::target_of(next->call.url);
    impl_->add(std::move(next));
}

std::size_t reactor_client::connections_opened() const
{
    return impl_->opened;
}

const traffic_account& reactor_client::account() const
{
    return impl_->account;
}

} // namespace poplarstile::net
