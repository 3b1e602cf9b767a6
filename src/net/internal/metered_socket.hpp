#pragma once

#include "net/internal/connection_meter.hpp"
#include "net/internal/request_scanner.hpp"

#include <asio/any_io_executor.hpp>
#include <asio/associated_executor.hpp>
#include <asio/bind_executor.hpp>
#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <restinio/all.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

namespace poplarstile::net::internal
{

/// A connection whose incoming bytes are counted in the port's meter before RESTinio sees them.
/// Apart from `close_soon` it is used on the connection's strand only.
class metered_connection : public closable_connection,
                           public std::enable_shared_from_this<metered_connection>
{
public:
    using read_handler = std::function<void(const std::error_code&, std::size_t)>;

    metered_connection(asio::io_context& context, std::shared_ptr<connection_meter> meter)
        : socket_{context}, linger_{context}, meter_{std::move(meter)}
    {
    }
    ~metered_connection() override;

    [[nodiscard]] asio::ip::tcp::socket& socket()
    {
        return socket_;
    }

    /// Reads into `into`; `handler` is called on `strand`, which is the same each time, with an
    /// error once the connection is to be closed.
    void read(asio::mutable_buffer into, const asio::any_io_executor& strand, read_handler handler);
    /// A part of an answer is about to be written.
    void begin_write();
    /// What RESTinio is told of the end of a write: an error once the connection is to be closed,
    /// so that nothing more of what it has received is handled.
    [[nodiscard]] std::error_code write_result(const std::error_code& failure) const;
    void close(std::error_code& failure);
    void close_soon() override;

private:
    // A pending operation owns the handler, which owns RESTinio's connection and thus this one. A
    // member would make them own each other.
    void after_read(const read_handler& handler, const std::error_code& failure,
                    std::size_t length);
    void refuse_body(read_handler handler);
    void linger(read_handler handler);
    void drain(read_handler handler, std::size_t discarded);
    void end_read(const read_handler& handler);
    /// RESTinio closes on every error but `operation_aborted`, which tells it that it has closed
    /// already.
    [[nodiscard]] std::error_code closing_error() const;
    void leave_meter();

    asio::ip::tcp::socket socket_;
    asio::steady_timer linger_;
    std::shared_ptr<connection_meter> meter_;
    request_scanner scanner_;
    request_ledger::connection number_ = 0;
    /// Set before the meter knows the connection, and not changed afterwards.
    asio::any_io_executor strand_;
    asio::mutable_buffer into_;
    bool closed_ = false;
    std::atomic<bool> doomed_ = false;
};

/// The stream socket of the server's RESTinio traits.
class metered_socket
{
public:
    using executor_type = asio::ip::tcp::socket::executor_type;

    metered_socket(asio::io_context& context, std::shared_ptr<connection_meter> meter)
        : connection_{std::make_shared<metered_connection>(context, std::move(meter))}
    {
    }

    [[nodiscard]] asio::ip::tcp::socket& lowest_layer()
    {
        return connection_->socket();
    }
    [[nodiscard]] const asio::ip::tcp::socket& lowest_layer() const
    {
        return connection_->socket();
    }
    [[nodiscard]] executor_type get_executor()
    {
        return connection_->socket().get_executor();
    }
    [[nodiscard]] auto remote_endpoint() const
    {
        return connection_->socket().remote_endpoint();
    }
    [[nodiscard]] bool is_open() const
    {
        return connection_->socket().is_open();
    }
    void cancel(std::error_code& failure)
    {
        connection_->socket().cancel(failure);
    }
    void shutdown(asio::socket_base::shutdown_type what, std::error_code& failure)
    {
        connection_->socket().shutdown(what, failure);
    }
    void close()
    {
        std::error_code ignored;
        connection_->close(ignored);
    }
    void close(std::error_code& failure)
    {
        connection_->close(failure);
    }

    template <class Handler>
    void async_read_some(const asio::mutable_buffer& into, Handler handler)
    {
        const asio::any_io_executor strand = asio::get_associated_executor(handler, get_executor());
        connection_->read(into, strand, std::move(handler));
    }

    // The handler is moved only here: a composed operation passes itself, whose buffers are an
    // argument of the same call.
    template <class Buffers, class Handler>
    void async_write_some(const Buffers& buffers, Handler&& handler)
    {
        connection_->begin_write();
        const auto executor = asio::get_associated_executor(handler, get_executor());
        connection_->socket().async_write_some(
            buffers,
            asio::bind_executor(
                executor, [connection = connection_, handler = std::forward<Handler>(handler)](
                              const std::error_code& failure, std::size_t sent) mutable {
                    handler(connection->write_result(failure), sent);
                }));
    }

private:
    std::shared_ptr<metered_connection> connection_;
};

template <class Connection, class StartRead, class Failed>
void prepare_connection_and_start_read(metered_socket& /*socket*/, Connection& /*connection*/,
                                       StartRead start_read, Failed /*failed*/)
{
    start_read();
}

inline restinio::tls_socket_t*
make_tls_socket_pointer_for_state_listener(metered_socket& /*socket*/) noexcept
{
    return nullptr;
}

} // namespace poplarstile::net::internal

namespace restinio
{

/// Takes the meter that the port's sockets share.
template <class Settings>
class socket_type_dependent_settings_t<Settings, poplarstile::net::internal::metered_socket>
{
public:
    using meter_ptr = std::shared_ptr<poplarstile::net::internal::connection_meter>;

    Settings& meter(meter_ptr shared) &
    {
        meter_ = std::move(shared);
        return static_cast<Settings&>(*this);
    }
    [[nodiscard]] const meter_ptr& meter() const
    {
        return meter_;
    }

protected:
    socket_type_dependent_settings_t() = default;
    socket_type_dependent_settings_t(socket_type_dependent_settings_t&&) noexcept = default;
    ~socket_type_dependent_settings_t() = default;

private:
    meter_ptr meter_;
};

namespace impl
{

/// Supplies the acceptor with sockets that share the port's meter.
template <>
class socket_supplier_t<poplarstile::net::internal::metered_socket>
{
protected:
    using metered_socket = poplarstile::net::internal::metered_socket;

    template <class Settings>
    socket_supplier_t(Settings& settings, asio::io_context& context)
        : context_{context}, meter_{settings.meter()}
    {
        const auto count = settings.concurrent_accepts_count();
        sockets_.reserve(count);
        while (sockets_.size() < count) {
            sockets_.emplace_back(context_, meter_);
        }
    }
    ~socket_supplier_t() = default;

    metered_socket& socket(std::size_t index)
    {
        return sockets_.at(index);
    }
    metered_socket move_socket(std::size_t index)
    {
        return std::exchange(sockets_.at(index), metered_socket{context_, meter_});
    }
    [[nodiscard]] std::size_t concurrent_accept_sockets_count() const noexcept
    {
        return sockets_.size();
    }

private:
    asio::io_context& context_;
    std::shared_ptr<poplarstile::net::internal::connection_meter> meter_;
    std::vector<metered_socket> sockets_;
};

} // namespace impl
} // namespace restinio
