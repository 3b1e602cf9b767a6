#include "net/internal/metered_socket.hpp"

#include <asio/bind_executor.hpp>
#include <asio/error.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>

#include <string_view>

namespace poplarstile::net::internal
{
namespace
{

constexpr std::string_view too_long_answer = "HTTP/1.1 413 Payload Too Large\r\n"
                                             "Connection: close\r\n"
                                             "Content-Type: application/json\r\n"
                                             "Content-Length: 2\r\n\r\n{}";
/// A connection that is closed while received bytes are unread is reset, and the reset can overtake
/// the answer. What is still on its way is therefore discarded for this long, up to this amount.
constexpr base::milliseconds linger_time{1'000};
constexpr std::size_t linger_bytes = std::size_t{256} * 1024;

} // namespace

metered_connection::~metered_connection()
{
    leave_meter();
}

void metered_connection::read(asio::mutable_buffer into, const asio::any_io_executor& strand,
                              read_handler handler)
{
    into_ = into;
    if (number_ == 0) {
        strand_ = strand;
        number_ = meter_->open(weak_from_this());
    } else {
        meter_->wait(number_);
    }
    if (doomed_) {
        asio::post(strand_, [self = shared_from_this(), handler = std::move(handler)] {
            self->end_read(handler);
        });
        return;
    }
    if (scanner_.body_too_long()) {
        // Came behind a request that had to be answered first.
        refuse_body(std::move(handler));
        return;
    }
    socket_.async_read_some(
        into_,
        asio::bind_executor(strand_, [self = shared_from_this(), handler = std::move(handler)](
                                         const std::error_code& failure, std::size_t length) {
            self->after_read(handler, failure, length);
        }));
}

void metered_connection::begin_write()
{
    meter_->answer(number_);
}

std::error_code metered_connection::write_result(const std::error_code& failure) const
{
    return doomed_ ? closing_error() : failure;
}

void metered_connection::close(std::error_code& failure)
{
    closed_ = true;
    linger_.cancel();
    leave_meter();
    socket_.close(failure);
}

void metered_connection::close_soon()
{
    doomed_ = true;
    asio::post(strand_, [self = shared_from_this()] {
        std::error_code ignored;
        self->socket_.close(ignored);
    });
}

void metered_connection::after_read(const read_handler& handler, const std::error_code& failure,
                                    std::size_t length)
{
    if (!failure && !doomed_) {
        const auto completed = scanner_.scan({static_cast<const char*>(into_.data()), length},
                                             meter_->max_body_bytes());
        if (completed) {
            meter_->complete(number_, *completed);
        } else if (scanner_.body_too_long()) {
            refuse_body(handler);
            return;
        } else {
            meter_->receive(number_, scanner_.size());
        }
    }
    if (doomed_) {
        end_read(handler);
        return;
    }
    handler(failure, length);
}

void metered_connection::refuse_body(read_handler handler)
{
    meter_->refuse_body(number_);
    asio::async_write(
        socket_, asio::buffer(too_long_answer.data(), too_long_answer.size()),
        asio::bind_executor(strand_, [self = shared_from_this(), handler = std::move(handler)](
                                         const std::error_code& failure, std::size_t /*sent*/) {
            if (failure) {
                self->end_read(handler);
            } else {
                self->linger(handler);
            }
        }));
}

void metered_connection::linger(read_handler handler)
{
    std::error_code ignored;
    socket_.shutdown(asio::socket_base::shutdown_send, ignored);
    linger_.expires_after(linger_time);
    linger_.async_wait(
        asio::bind_executor(strand_, [self = shared_from_this()](const std::error_code& cancelled) {
            if (!cancelled) {
                std::error_code unused;
                self->socket_.close(unused);
            }
        }));
    drain(std::move(handler), 0);
}

void metered_connection::drain(read_handler handler, std::size_t discarded)
{
    if (discarded >= linger_bytes) {
        end_read(handler);
        return;
    }
    socket_.async_read_some(
        into_, asio::bind_executor(strand_,
                                   [self = shared_from_this(), handler = std::move(handler),
                                    discarded](const std::error_code& failure, std::size_t length) {
                                       if (failure) {
                                           self->end_read(handler);
                                       } else {
                                           self->drain(handler, discarded + length);
                                       }
                                   }));
}

void metered_connection::end_read(const read_handler& handler)
{
    linger_.cancel();
    handler(closing_error(), 0);
}

std::error_code metered_connection::closing_error() const
{
    return closed_ ? asio::error::operation_aborted : asio::error::connection_reset;
}

void metered_connection::leave_meter()
{
    if (number_ != 0) {
        meter_->close(number_);
    }
}

} // namespace poplarstile::net::internal
