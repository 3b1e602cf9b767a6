#pragma once

#include "standins/fault_proxy/link_table.hpp"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <memory>
#include <string>

namespace poplarstile::standins::fault_proxy
{

/// One proxied connection, from its acceptance to the end of both sides.
/// All calls come from the one thread of the proxy.
class tunnel : public std::enable_shared_from_this<tunnel>
{
public:
    using closed_handler = std::function<void(const std::shared_ptr<tunnel>&)>;

    [[nodiscard]] static std::shared_ptr<tunnel> create(asio::ip::tcp::socket source,
                                                        std::string source_name, link_table& links,
                                                        closed_handler on_closed);

    /// Learns the target from an HTTP CONNECT request.
    void start_connect();

    /// Goes to `target`, `IP:port`, at once.
    void start_forward(const std::string& target);

    /// Applies the link's present fault to what is open or waiting.
    void apply_fault();

    /// Goes silent for good, both ways, when `rule` matches this connection.
    void silence(const link_rule& rule);

    /// Resets both sides.
    void close();

private:
    static constexpr std::size_t chunk_bytes = std::size_t{16} * 1024;

    enum class stage { reading_target, waiting, connecting, open, closed };

    /// Bytes on their way one way.
    struct direction {
        asio::ip::tcp::socket& from;
        asio::ip::tcp::socket& to;
        fault_kind drop_fault;
        std::array<char, chunk_bytes> buffer{};
        /// Bytes in `buffer` that a frozen link holds back.
        std::size_t held_bytes = 0;
        bool held_end = false;
        /// Bytes were swallowed, so that nothing may pass any more.
        bool silent = false;
        bool ended = false;
        asio::steady_timer timer;
    };

    tunnel(asio::ip::tcp::socket source, std::string source_name, link_table& links,
           closed_handler on_closed);

    void on_connect_request(std::size_t header_bytes);
    void admit();
    void refuse();
    void connect_target();
    void on_connected();
    void start_pumps();
    void read(direction& way);
    void on_chunk(direction& way, std::size_t bytes);
    void on_end(direction& way, bool reset);
    void swallow(direction& way, std::size_t bytes);
    void write_later(direction& way, std::size_t bytes, base::milliseconds delay);
    void write(direction& way, std::size_t bytes);
    void resume(direction& way);
    void half_close();
    [[nodiscard]] bool swallows(const direction& way, fault_kind kind) const;

    asio::ip::tcp::socket source_;
    asio::ip::tcp::socket target_;
    link_table& links_;
    link_id link_;
    std::string target_address_;
    closed_handler on_closed_;
    stage stage_ = stage::reading_target;
    bool speaks_connect_ = false;
    /// The CONNECT request, then what came after it.
    std::string early_;
    direction to_target_;
    direction to_source_;
};

} // namespace poplarstile::standins::fault_proxy
