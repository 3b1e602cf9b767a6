#include "standins/fault_proxy/tunnel.hpp"

#include <asio/buffer.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>

#include <algorithm>
#include <charconv>
#include <string_view>
#include <utility>

namespace poplarstile::standins::fault_proxy
{
namespace
{

constexpr std::size_t max_connect_request_bytes = std::size_t{8} * 1024;
constexpr std::string_view established = "HTTP/1.1 200 Connection established\r\n\r\n";
constexpr std::string_view bad_gateway = "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n";
constexpr std::string_view connect_method = "CONNECT ";

std::optional<asio::ip::tcp::endpoint> parse_endpoint(std::string_view address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    std::error_code failure;
    const auto host = asio::ip::make_address(std::string{address.substr(0, colon)}, failure);
    std::uint16_t port = 0;
    const auto port_text = address.substr(colon + 1);
    const auto parsed =
        std::from_chars(port_text.data(), port_text.data() + port_text.size(), port);
    if (failure || parsed.ec != std::errc{}) {
        return std::nullopt;
    }
    return asio::ip::tcp::endpoint{host, port};
}

void reset_socket(asio::ip::tcp::socket& socket)
{
    std::error_code ignored;
    socket.set_option(asio::socket_base::linger{true, 0}, ignored);
    socket.close(ignored);
}

} // namespace

std::shared_ptr<tunnel> tunnel::create(asio::ip::tcp::socket source, std::string source_name,
                                       link_table& links, closed_handler on_closed)
{
    return std::shared_ptr<tunnel>{
        new tunnel{std::move(source), std::move(source_name), links, std::move(on_closed)}};
}

tunnel::tunnel(asio::ip::tcp::socket source, std::string source_name, link_table& links,
               closed_handler on_closed)
    : source_{std::move(source)}, target_{source_.get_executor()}, links_{links},
      link_{std::move(source_name), ""}, on_closed_{std::move(on_closed)},
      to_target_{.from = source_,
                 .to = target_,
                 .drop_fault = fault_kind::drop_requests,
                 .timer = asio::steady_timer{source_.get_executor()}},
      to_source_{.from = target_,
                 .to = source_,
                 .drop_fault = fault_kind::drop_answers,
                 .timer = asio::steady_timer{source_.get_executor()}}
{
}

void tunnel::start_connect()
{
    speaks_connect_ = true;
    asio::async_read_until(source_, asio::dynamic_buffer(early_, max_connect_request_bytes),
                           "\r\n\r\n",
                           [self = shared_from_this()](std::error_code failure, std::size_t bytes) {
                               if (self->stage_ == stage::closed) {
                                   return;
                               }
                               if (failure) {
                                   self->close();
                                   return;
                               }
                               self->on_connect_request(bytes);
                           });
}

void tunnel::on_connect_request(std::size_t header_bytes)
{
    const auto line = std::string_view{early_}.substr(0, early_.find("\r\n"));
    const auto space = line.rfind(' ');
    if (!line.starts_with(connect_method) || space <= connect_method.size()) {
        refuse();
        return;
    }
    target_address_ = line.substr(connect_method.size(), space - connect_method.size());
    early_.erase(0, header_bytes);
    link_.target = links_.target_name(target_address_);
    admit();
}

void tunnel::start_forward(const std::string& target)
{
    target_address_ = target;
    link_.target = links_.target_name(target);
    admit();
}

void tunnel::admit()
{
    switch (links_.fault_of(link_).kind) {
    case fault_kind::cut:
    case fault_kind::refuse:
        refuse();
        return;
    case fault_kind::blackhole:
    case fault_kind::freeze:
        stage_ = stage::waiting;
        return;
    default:
        connect_target();
    }
}

void tunnel::refuse()
{
    if (!link_.target.empty()) {
        ++links_.counters_of(link_).refused;
    }
    if (!speaks_connect_) {
        close();
        return;
    }
    asio::async_write(source_, asio::buffer(bad_gateway.data(), bad_gateway.size()),
                      [self = shared_from_this()](std::error_code, std::size_t) {
                          std::error_code ignored;
                          self->source_.shutdown(asio::socket_base::shutdown_send, ignored);
                          // A reset could overtake the refusal.
                          self->to_target_.ended = true;
                          self->to_source_.ended = true;
                          self->close();
                      });
}

void tunnel::connect_target()
{
    const auto endpoint = parse_endpoint(target_address_);
    if (!endpoint) {
        refuse();
        return;
    }
    stage_ = stage::connecting;
    target_.async_connect(*endpoint, [self = shared_from_this()](std::error_code failure) {
        if (self->stage_ == stage::closed) {
            return;
        }
        if (failure) {
            self->refuse();
            return;
        }
        self->on_connected();
    });
}

void tunnel::on_connected()
{
    std::error_code ignored;
    source_.set_option(asio::ip::tcp::no_delay{true}, ignored);
    target_.set_option(asio::ip::tcp::no_delay{true}, ignored);
    auto& counters = links_.counters_of(link_);
    ++counters.opened;
    ++counters.open;
    stage_ = stage::open;
    if (!speaks_connect_) {
        start_pumps();
        return;
    }
    asio::async_write(source_, asio::buffer(established.data(), established.size()),
                      [self = shared_from_this()](std::error_code failure, std::size_t) {
                          if (self->stage_ == stage::closed) {
                              return;
                          }
                          if (failure) {
                              self->close();
                              return;
                          }
                          self->start_pumps();
                      });
}

void tunnel::start_pumps()
{
    const auto early_bytes = std::min(early_.size(), chunk_bytes);
    std::copy_n(early_.begin(), early_bytes, to_target_.buffer.begin());
    early_.clear();
    if (early_bytes > 0) {
        on_chunk(to_target_, early_bytes);
    } else {
        read(to_target_);
    }
    read(to_source_);
    apply_fault();
}

void tunnel::read(direction& way)
{
    way.from.async_read_some(
        asio::buffer(way.buffer),
        [self = shared_from_this(), &way](std::error_code failure, std::size_t bytes) {
            if (self->stage_ == stage::closed) {
                return;
            }
            if (failure) {
                self->on_end(way, failure != asio::error::eof);
                return;
            }
            self->on_chunk(way, bytes);
        });
}

bool tunnel::swallows(const direction& way, fault_kind kind) const
{
    return way.silent || kind == fault_kind::blackhole || kind == way.drop_fault;
}

void tunnel::on_chunk(direction& way, std::size_t bytes)
{
    const auto fault = links_.fault_of(link_);
    if (swallows(way, fault.kind)) {
        swallow(way, bytes);
        return;
    }
    if (fault.kind == fault_kind::freeze) {
        way.held_bytes = bytes;
        return;
    }
    if (fault.kind == fault_kind::delay) {
        write_later(way, bytes, fault.delay);
        return;
    }
    write(way, bytes);
}

void tunnel::swallow(direction& way, std::size_t bytes)
{
    way.silent = true;
    links_.counters_of(link_).bytes_swallowed += bytes;
    read(way);
}

void tunnel::write_later(direction& way, std::size_t bytes, base::milliseconds delay)
{
    way.timer.expires_after(delay);
    way.timer.async_wait([self = shared_from_this(), &way, bytes](std::error_code failure) {
        if (self->stage_ == stage::closed || failure) {
            return;
        }
        const auto kind = self->links_.fault_of(self->link_).kind;
        if (self->swallows(way, kind)) {
            self->swallow(way, bytes);
        } else if (kind == fault_kind::freeze) {
            way.held_bytes = bytes;
        } else {
            self->write(way, bytes);
        }
    });
}

void tunnel::write(direction& way, std::size_t bytes)
{
    auto& counters = links_.counters_of(link_);
    (&way == &to_target_ ? counters.bytes_to_target : counters.bytes_to_source) += bytes;
    asio::async_write(way.to, asio::buffer(way.buffer.data(), bytes),
                      [self = shared_from_this(), &way](std::error_code failure, std::size_t) {
                          if (self->stage_ == stage::closed) {
                              return;
                          }
                          if (failure) {
                              self->close();
                              return;
                          }
                          self->read(way);
                      });
}

void tunnel::on_end(direction& way, bool reset)
{
    if (links_.fault_of(link_).kind == fault_kind::freeze) {
        way.held_end = true;
        return;
    }
    way.ended = true;
    if (reset && !to_target_.silent && !to_source_.silent) {
        close();
        return;
    }
    if (!swallows(way, links_.fault_of(link_).kind)) {
        std::error_code ignored;
        way.to.shutdown(asio::socket_base::shutdown_send, ignored);
    }
    if (to_target_.ended && to_source_.ended) {
        close();
    }
}

void tunnel::apply_fault()
{
    if (stage_ == stage::closed || link_.target.empty()) {
        return;
    }
    const auto kind = links_.fault_of(link_).kind;
    if (kind == fault_kind::cut || kind == fault_kind::refuse) {
        if (stage_ == stage::waiting) {
            refuse();
        } else {
            close();
        }
        return;
    }
    if (stage_ == stage::waiting) {
        admit();
        return;
    }
    if (stage_ != stage::open) {
        return;
    }
    if (kind == fault_kind::blackhole) {
        to_target_.silent = true;
        to_source_.silent = true;
    }
    if (kind == fault_kind::half_close) {
        half_close();
    }
    if (kind != fault_kind::freeze) {
        resume(to_target_);
        resume(to_source_);
    }
}

void tunnel::resume(direction& way)
{
    if (stage_ == stage::closed) {
        return;
    }
    if (way.held_bytes > 0) {
        on_chunk(way, std::exchange(way.held_bytes, 0));
    } else if (std::exchange(way.held_end, false)) {
        on_end(way, false);
    }
}

void tunnel::half_close()
{
    std::error_code ignored;
    to_source_.silent = true;
    source_.shutdown(asio::socket_base::shutdown_send, ignored);
}

void tunnel::silence(const link_rule& rule)
{
    if (stage_ == stage::open && rule.matches(link_)) {
        to_target_.silent = true;
        to_source_.silent = true;
    }
}

void tunnel::close()
{
    if (stage_ == stage::closed) {
        return;
    }
    if (stage_ == stage::open) {
        --links_.counters_of(link_).open;
    }
    const bool clean = to_target_.ended && to_source_.ended;
    stage_ = stage::closed;
    to_target_.timer.cancel();
    to_source_.timer.cancel();
    if (clean) {
        std::error_code ignored;
        source_.close(ignored);
        target_.close(ignored);
    } else {
        reset_socket(source_);
        reset_socket(target_);
    }
    on_closed_(shared_from_this());
}

} // namespace poplarstile::standins::fault_proxy
