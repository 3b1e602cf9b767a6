#include "net/http_server.hpp"

#include "base/log.hpp"
#include "net/internal/connection_meter.hpp"
#include "net/internal/metered_socket.hpp"

#include <fmt/format.h>

#include <asio/steady_timer.hpp>
#include <restinio/all.hpp>

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <numeric>
#include <string_view>
#include <thread>
#include <unordered_set>
#include <utility>

namespace poplarstile::net
{
namespace
{

constexpr base::logger log{"http"};
/// How often stalled requests are looked for.
constexpr base::milliseconds stall_check_interval{250};
constexpr base::milliseconds late_check{1'000};
constexpr base::milliseconds report_interval{1'000};
/// Connections that may be accepted while those to be closed in their place still are.
constexpr std::size_t closing_connections = 4;

/// Counts the open connections of each IP number and remembers those beyond the limit.
class connection_counter
{
public:
    explicit connection_counter(std::size_t most) : most_{most} {}

    void state_changed(const restinio::connection_state::notice_t& notice) noexcept
    {
        const auto address = notice.remote_endpoint().address();
        const auto& cause = notice.cause();
        const std::lock_guard lock{mutex_};
        if (restinio::holds_alternative<restinio::connection_state::accepted_t>(cause)) {
            if (++open_[address] > most_) {
                over_limit_.insert(notice.connection_id());
            }
        } else if (restinio::holds_alternative<restinio::connection_state::closed_t>(cause)) {
            over_limit_.erase(notice.connection_id());
            const auto found = open_.find(address);
            if (found != open_.end() && --found->second == 0) {
                open_.erase(found);
            }
        }
    }

    [[nodiscard]] bool over_limit(restinio::connection_id_t connection) const
    {
        const std::lock_guard lock{mutex_};
        return over_limit_.contains(connection);
    }

    [[nodiscard]] std::size_t open() const
    {
        const std::lock_guard lock{mutex_};
        return std::accumulate(
            open_.begin(), open_.end(), std::size_t{0},
            [](std::size_t sum, const auto& entry) { return sum + entry.second; });
    }

private:
    mutable std::mutex mutex_;
    std::size_t most_;
    std::map<asio::ip::address, std::size_t> open_;
    std::unordered_set<restinio::connection_id_t> over_limit_;
};

struct server_traits : restinio::default_traits_t {
    using request_handler_t =
        std::function<restinio::request_handling_status_t(const restinio::request_handle_t&)>;
    using connection_state_listener_t = connection_counter;
    using stream_socket_t = internal::metered_socket;
    static constexpr bool use_connection_count_limiter = true;
};

using restinio_server = restinio::http_server_t<server_traits>;

http_request to_request(const restinio::request_handle_t& incoming)
{
    http_request request;
    const auto& header = incoming->header();
    request.method = header.method().c_str();
    request.path = std::string{header.path()};
    request.query = std::string{header.query()};
    header.for_each_field([&request](const restinio::http_header_field_t& field) {
        request.headers.push_back({std::string{field.name()}, std::string{field.value()}});
    });
    request.body = incoming->body();
    request.remote_address = incoming->remote_endpoint().address().to_string();
    return request;
}

request_size size_of(const restinio::request_handle_t& incoming)
{
    request_size size;
    const auto& header = incoming->header();
    size.head_bytes = header.request_target().size();
    header.for_each_field([&size](const restinio::http_header_field_t& field) {
        size.head_bytes += field.name().size() + field.value().size();
    });
    size.body_bytes = incoming->body().size();
    if (const auto* const chunked = incoming->chunked_input_info()) {
        size.chunks = chunked->chunk_count();
    }
    return size;
}

/// Closes stalled connections and reports what the bounds have closed, until it is destroyed.
class bounds_watch : public std::enable_shared_from_this<bounds_watch>
{
public:
    using report_function = std::function<void(const request_bounds_counters&)>;

    bounds_watch(asio::io_context& context, std::shared_ptr<internal::connection_meter> meter,
                 report_function report)
        : timer_{context}, meter_{std::move(meter)}, report_{std::move(report)}
    {
    }

    void start()
    {
        due_ = base::now() + stall_check_interval;
        timer_.expires_after(stall_check_interval);
        timer_.async_wait([weak = weak_from_this()](const std::error_code& failure) {
            const auto alive = weak.lock();
            if (!failure && alive) {
                const auto now = base::now();
                // After a standstill what arrived meanwhile is read first.
                if (now - alive->due_ < late_check) {
                    alive->meter_->close_stalled();
                }
                alive->report_closed(now);
                alive->start();
            }
        });
    }

private:
    void report_closed(base::time_point now)
    {
        const auto counted = meter_->counters();
        const auto closed = counted.all_closed();
        if (report_ && closed != reported_ && now - reported_at_ >= report_interval) {
            reported_ = closed;
            reported_at_ = now;
            report_(counted);
        }
    }

    asio::steady_timer timer_;
    std::shared_ptr<internal::connection_meter> meter_;
    report_function report_;
    base::time_point due_{};
    std::uint64_t reported_ = 0;
    base::time_point reported_at_{};
};

std::string_view reason_phrase(std::uint16_t status)
{
    switch (status) {
    case 200:
        return "OK";
    case 202:
        return "Accepted";
    case 400:
        return "Bad Request";
    case 404:
        return "Not Found";
    case 409:
        return "Conflict";
    case 413:
        return "Payload Too Large";
    case 422:
        return "Unprocessable Entity";
    case 429:
        return "Too Many Requests";
    case 503:
        return "Service Unavailable";
    default:
        return status < 400 ? "OK" : "Error";
    }
}

/// `counted` lives until the response is written or the connection is gone.
void send_response(const restinio::request_handle_t& incoming, http_response response,
                   bool accepting, const std::shared_ptr<void>& counted)
{
    const restinio::http_status_line_t line{restinio::http_status_code_t{response.status},
                                            std::string{reason_phrase(response.status)}};
    auto answer = incoming->create_response(line);
    answer.append_header(restinio::http_field::content_type, response.content_type);
    for (auto& header : response.headers) {
        answer.append_header(std::move(header.name), std::move(header.value));
    }
    if (response.close || !accepting || !incoming->header().should_keep_alive()) {
        answer.connection_close();
    }
    answer.set_body(std::move(response.body));
    answer.done([counted](const auto& /*failure*/) {});
}

/// Connections have what is set for the socket that accepts them.
void set_buffers(restinio::acceptor_options_t& acceptor, const http_server_options& options)
{
    acceptor.set_option(asio::socket_base::reuse_address{true});
    if (options.receive_buffer_bytes > 0) {
        acceptor.set_option(
            asio::socket_base::receive_buffer_size{static_cast<int>(options.receive_buffer_bytes)});
    }
    if (options.send_buffer_bytes > 0) {
        acceptor.set_option(
            asio::socket_base::send_buffer_size{static_cast<int>(options.send_buffer_bytes)});
    }
}

restinio::incoming_http_msg_limits_t message_limits(const http_server_options& options)
{
    restinio::incoming_http_msg_limits_t limits;
    limits.max_url_size(options.max_header_bytes);
    limits.max_field_name_size(options.max_header_bytes);
    limits.max_field_value_size(options.max_header_bytes);
    limits.max_field_count(options.max_header_count);
    limits.max_body_size(options.max_body_bytes);
    return limits;
}

} // namespace

struct http_responder::state {
    send_function send;
    std::atomic_flag answered;
};

http_responder::http_responder(send_function send) : state_{std::make_shared<state>()}
{
    state_->send = std::move(send);
}

void http_responder::send(http_response response) const
{
    if (!state_->answered.test_and_set()) {
        state_->send(std::move(response));
        state_->send = nullptr;
    }
}

struct http_server::implementation {
    explicit implementation(http_handler request_handler) : handler{std::move(request_handler)} {}

    restinio::request_handling_status_t handle(const restinio::request_handle_t& incoming) const
    {
        auto request = to_request(incoming);
        request.over_connection_limit = connections->over_limit(incoming->connection_id());
        ++*open_requests;
        newest_request = base::now();
        const std::shared_ptr<void> counted{
            nullptr, [open = open_requests, memory = internal::connection_meter::handle(
                                                meter, size_of(incoming))](void*) { --*open; }};
        handler(std::move(request),
                http_responder{[incoming, counted, going = accepting](http_response response) {
                    send_response(incoming, std::move(response), *going, counted);
                }});
        return restinio::request_accepted();
    }

    http_handler handler;
    std::shared_ptr<connection_counter> connections;
    std::shared_ptr<internal::connection_meter> meter;
    std::size_t most_body_bytes = 0;
    std::shared_ptr<std::atomic<std::size_t>> open_requests =
        std::make_shared<std::atomic<std::size_t>>(0);
    std::shared_ptr<std::atomic<bool>> accepting = std::make_shared<std::atomic<bool>>(true);
    /// When the server started, before the first request.
    mutable std::atomic<base::time_point> newest_request{base::now()};
    std::uint16_t port = 0;
    /// Set when the server runs on somebody else's context.
    asio::io_context* shared = nullptr;
    asio::io_context own;
    std::unique_ptr<restinio_server> server;
    std::shared_ptr<bounds_watch> watch;
    std::vector<std::thread> threads;
};

http_server::http_server(std::unique_ptr<implementation> impl) : impl_{std::move(impl)} {}

base::result<std::unique_ptr<http_server>> http_server::start(const http_server_options& options,
                                                              http_handler handler)
{
    auto impl = std::make_unique<implementation>(std::move(handler));
    auto* const raw = impl.get();
    raw->connections = std::make_shared<connection_counter>(options.max_connections_per_address);
    raw->meter = std::make_shared<internal::connection_meter>(
        request_ledger_options{options.max_request_memory, options.max_connections,
                               options.stall_timeout},
        options.max_body_bytes);
    raw->most_body_bytes = options.max_body_bytes;
    raw->shared = options.context;
    try {
        impl->server = std::make_unique<restinio_server>(
            restinio::external_io_context(raw->shared != nullptr ? *raw->shared : raw->own),
            [raw, &options](restinio::server_settings_t<server_traits>& settings) {
                settings.meter(raw->meter)
                    .address(options.address)
                    .port(options.port)
                    .incoming_http_msg_limits(message_limits(options))
                    .read_next_http_message_timelimit(options.read_timeout)
                    .handle_request_timeout(options.handle_timeout)
                    .write_http_response_timelimit(options.read_timeout)
                    .max_parallel_connections(options.max_connections + closing_connections)
                    .connection_state_listener(raw->connections)
                    .separate_accept_and_create_connect(true)
                    .socket_options_setter([](auto& socket_options) {
                        socket_options.set_option(asio::ip::tcp::no_delay{true});
                    })
                    .acceptor_options_setter([&options](auto& acceptor_options) {
                        set_buffers(acceptor_options, options);
                    })
                    .acceptor_post_bind_hook([raw](asio::ip::tcp::acceptor& acceptor) {
                        raw->port = acceptor.local_endpoint().port();
                    })
                    .request_handler([raw](const restinio::request_handle_t& incoming) {
                        return raw->handle(incoming);
                    });
            });
        impl->server->open_sync();
        impl->watch = std::make_shared<bounds_watch>(
            raw->shared != nullptr ? *raw->shared : raw->own, raw->meter, options.on_closed);
        impl->watch->start();
    } catch (const std::exception& failure) {
        return base::error{base::error_code::listen_failed,
                           fmt::format("{}:{}", options.address, options.port), failure.what(), ""};
    }
    const auto threads = raw->shared != nullptr ? 0 : options.threads;
    for (std::size_t index = 0; index < threads; ++index) {
        impl->threads.emplace_back([raw] { raw->own.run(); });
    }
    return std::unique_ptr<http_server>{new http_server{std::move(impl)}};
}

http_server::~http_server()
{
    impl_->own.stop();
    for (auto& thread : impl_->threads) {
        thread.join();
    }
    if (impl_->shared == nullptr) {
        // RESTinio's connections refer to its acceptor, so they have to end before it does.
        impl_->meter->close_everything();
        impl_->own.restart();
        impl_->own.poll();
    }
}

void http_server::stop_accepting()
{
    const auto closed = [accepting = impl_->accepting] { *accepting = false; };
    impl_->server->close_async(closed, [closed](const std::exception_ptr& /*failure*/) {
        log.error("The listening socket could not be closed.");
        closed();
    });
}

bool http_server::accepting() const
{
    return *impl_->accepting;
}

std::uint16_t http_server::port() const
{
    return impl_->port;
}

std::size_t http_server::open_requests() const
{
    return *impl_->open_requests;
}

std::size_t http_server::open_connections() const
{
    return impl_->connections->open();
}

void http_server::set_max_body_bytes(std::size_t limit)
{
    impl_->meter->set_max_body_bytes(std::min(limit, impl_->most_body_bytes));
}

request_bounds_counters http_server::bounds_counters() const
{
    return impl_->meter->counters();
}

base::milliseconds http_server::since_newest_request() const
{
    return std::chrono::duration_cast<base::milliseconds>(base::now() -
                                                          impl_->newest_request.load());
}

} // namespace poplarstile::net
