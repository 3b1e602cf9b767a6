#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <string>

/// HTTP/1.1 over loopback, as little as the review's stand-ins need: a server with a thread for
/// each connection, and a client that opens a connection for each request.
namespace review
{

struct request {
    std::string method{};
    std::string path{};
    /// Decoded query parameters.
    std::map<std::string, std::string> query{};
    /// Names in lower case.
    std::map<std::string, std::string> headers{};
    std::string body{};
};

struct response {
    /// 0: no answer; the connection stays silent until the other side closes it.
    int status = 200;
    std::string body{"{}"};
};

/// Serves one port of 127.0.0.1. It can go down (connections are reset, new ones refused) and come
/// back, as a process does that is killed and started again.
class server
{
public:
    using handler = std::function<response(const request&)>;

    /// Takes a free port and serves it.
    explicit server(handler handle);
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    [[nodiscard]] int port() const
    {
        return port_;
    }
    void go_down();
    void come_back();

private:
    void listen_on(int port);
    void accept_all(int listener, unsigned life);
    void serve(int connection, unsigned life);

    handler handle_;
    int port_ = 0;
    std::atomic<int> listener_{-1};
    /// Counts the times that the server went down; connections of an earlier life are reset.
    std::atomic<unsigned> life_{0};
};

/// An answer that the client got; status 0 when there was none in time.
struct reply {
    int status = 0;
    std::string body{};
};

[[nodiscard]] reply call(int port, const std::string& method, const std::string& path,
                         const std::map<std::string, std::string>& headers, const std::string& body,
                         int timeout_ms);

/// A free port of 127.0.0.1.
[[nodiscard]] int free_port();

/// A socket that listens on a free port of 127.0.0.1.
[[nodiscard]] int listening_socket();
/// Its port, or that of the other side.
[[nodiscard]] int port_of(int socket);
[[nodiscard]] int peer_port_of(int socket);
/// A connection to a port; negative for none.
[[nodiscard]] int connect_to(int port);

} // namespace review
