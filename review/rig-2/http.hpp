#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>

/// A small HTTP/1.1 server and client on loopback addresses: a thread for each connection.
namespace rig
{

struct request {
    std::string method{};
    std::string path{};
    std::map<std::string, std::string> query{};
    /// Names in lower case.
    std::map<std::string, std::string> headers{};
    std::string body{};
};

/// Status 0 stands for no answer: the connection stays open and silent.
struct response {
    int status = 0;
    std::string body{};
};

using handler = std::function<response(const request&)>;

/// Listens on a port of 127.0.0.1 (0: any free one) and serves until the process ends. Returns the
/// port; 0 when the port can't be had.
int serve(int port, handler answer);

/// A free port; it stays free until somebody listens on it.
int free_port();

/// One call on a connection of its own. Empty when no whole response came within the time.
std::optional<response> call(int port, const std::string& method, const std::string& path,
                             const std::map<std::string, std::string>& headers,
                             const std::string& body, int timeout_ms);

} // namespace rig
