#include "http.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <optional>
#include <stdexcept>
#include <thread>
#include <utility>

namespace review
{
namespace
{

sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

int bound_socket(int port)
{
    const int made = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(made, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto address = loopback(port);
    if (bind(made, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        close(made);
        throw std::runtime_error{"cannot bind a port"};
    }
    return made;
}

std::string lower(std::string text)
{
    std::ranges::transform(text, text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

std::string decoded(const std::string& text)
{
    std::string result;
    for (std::size_t at = 0; at < text.size(); ++at) {
        if (text[at] == '%' && at + 2 < text.size()) {
            result += static_cast<char>(std::stoi(text.substr(at + 1, 2), nullptr, 16));
            at += 2;
        } else {
            result += text[at];
        }
    }
    return result;
}

std::map<std::string, std::string> decoded_query(const std::string& text)
{
    std::map<std::string, std::string> result;
    for (std::size_t at = 0; at < text.size();) {
        const auto end = std::min(text.find('&', at), text.size());
        const auto pair = text.substr(at, end - at);
        const auto equals = pair.find('=');
        if (equals != std::string::npos) {
            result[pair.substr(0, equals)] = decoded(pair.substr(equals + 1));
        }
        at = end + 1;
    }
    return result;
}

struct head {
    std::string first_line{};
    std::map<std::string, std::string> headers{};
    std::size_t bytes = 0;
};

std::optional<head> parse_head(const std::string& text)
{
    const auto end = text.find("\r\n\r\n");
    if (end == std::string::npos) {
        return std::nullopt;
    }
    head parsed;
    parsed.bytes = end + 4;
    std::size_t at = text.find("\r\n");
    parsed.first_line = text.substr(0, at);
    while (at < end) {
        at += 2;
        const auto line_end = text.find("\r\n", at);
        const auto line = text.substr(at, line_end - at);
        const auto colon = line.find(':');
        if (colon != std::string::npos) {
            const auto value = line.find_first_not_of(' ', colon + 1);
            parsed.headers[lower(line.substr(0, colon))] =
                value == std::string::npos ? std::string{} : line.substr(value);
        }
        at = line_end;
    }
    return parsed;
}

std::size_t body_bytes(const head& parsed)
{
    const auto found = parsed.headers.find("content-length");
    return found == parsed.headers.end() ? 0 : std::stoul(found->second);
}

bool send_all(int socket, const std::string& text)
{
    std::size_t sent = 0;
    while (sent < text.size()) {
        const auto count = send(socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

/// Closes with a reset, so that the other side notices at once.
void reset(int socket)
{
    const linger at_once{1, 0};
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    close(socket);
}

} // namespace

int port_of(int socket)
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

int peer_port_of(int socket)
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    getpeername(socket, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

int listening_socket()
{
    const int made = bound_socket(0);
    listen(made, 256);
    return made;
}

int connect_to(int port)
{
    const int made = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = loopback(port);
    if (connect(made, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        close(made);
        return -1;
    }
    return made;
}

int free_port()
{
    // Below the ports that the kernel gives to outgoing connections, so that none of them takes it
    // before its user listens.
    constexpr int first = 20'000;
    constexpr int count = 10'000;
    static int next = static_cast<int>(getpid()) * 97 % count;
    for (int look = 0; look < count; ++look) {
        next = (next + 1) % count;
        try {
            close(bound_socket(first + next));
            return first + next;
        } catch (const std::runtime_error&) {
            continue;
        }
    }
    throw std::runtime_error{"no free port"};
}

server::server(handler handle) : handle_{std::move(handle)}
{
    listen_on(0);
}

void server::listen_on(int port)
{
    const int listener = bound_socket(port);
    listen(listener, 256);
    port_ = port_of(listener);
    listener_ = listener;
    std::thread{[this, listener, life = life_.load()] { accept_all(listener, life); }}.detach();
}

void server::go_down()
{
    ++life_;
    const int listener = listener_.exchange(-1);
    shutdown(listener, SHUT_RDWR);
    close(listener);
}

void server::come_back()
{
    listen_on(port_);
}

void server::accept_all(int listener, unsigned life)
{
    while (life_ == life) {
        const int connection = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (connection < 0) {
            return;
        }
        const int on = 1;
        setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        std::thread{[this, connection, life] { serve(connection, life); }}.detach();
    }
}

void server::serve(int connection, unsigned life)
{
    std::string received;
    char buffer[65536];
    while (life_ == life) {
        auto parsed = parse_head(received);
        const bool whole = parsed && received.size() >= parsed->bytes + body_bytes(*parsed);
        if (!whole) {
            pollfd waiting{connection, POLLIN, 0};
            if (poll(&waiting, 1, 20) == 0) {
                continue;
            }
            const auto count = recv(connection, buffer, sizeof buffer, 0);
            if (count <= 0) {
                break;
            }
            received.append(buffer, static_cast<std::size_t>(count));
            continue;
        }
        request made;
        const auto& line = parsed->first_line;
        const auto space = line.find(' ');
        const auto target = line.substr(space + 1, line.rfind(' ') - space - 1);
        const auto question = target.find('?');
        made.method = line.substr(0, space);
        made.path = target.substr(0, question);
        if (question != std::string::npos) {
            made.query = decoded_query(target.substr(question + 1));
        }
        made.headers = parsed->headers;
        made.body = received.substr(parsed->bytes, body_bytes(*parsed));
        received.erase(0, parsed->bytes + made.body.size());
        const auto answer = handle_(made);
        if (life_ != life) {
            break;
        }
        if (answer.status == 0) {
            // What arrives later on this connection is not answered either.
            while (life_ == life && recv(connection, buffer, sizeof buffer, 0) > 0) {
            }
            break;
        }
        const auto text = "HTTP/1.1 " + std::to_string(answer.status) +
                          " S\r\nContent-Type: application/json\r\nContent-Length: " +
                          std::to_string(answer.body.size()) + "\r\n\r\n" + answer.body;
        if (!send_all(connection, text)) {
            break;
        }
    }
    reset(connection);
}

reply call(int port, const std::string& method, const std::string& path,
           const std::map<std::string, std::string>& headers, const std::string& body,
           int timeout_ms)
{
    const int connection = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = loopback(port);
    if (connect(connection, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        close(connection);
        return {};
    }
    auto text = method + " " + path + " HTTP/1.1\r\nContent-Type: application/json\r\n";
    for (const auto& [name, value] : headers) {
        text += name + ": " + value + "\r\n";
    }
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    send_all(connection, text);
    const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds{timeout_ms};
    std::string received;
    char buffer[65536];
    reply result;
    while (std::chrono::steady_clock::now() < until) {
        const auto parsed = parse_head(received);
        if (parsed && received.size() >= parsed->bytes + body_bytes(*parsed)) {
            result.status = std::stoi(parsed->first_line.substr(9, 3));
            result.body = received.substr(parsed->bytes, body_bytes(*parsed));
            break;
        }
        pollfd waiting{connection, POLLIN, 0};
        if (poll(&waiting, 1, 20) == 0) {
            continue;
        }
        const auto count = recv(connection, buffer, sizeof buffer, 0);
        if (count <= 0) {
            break;
        }
        received.append(buffer, static_cast<std::size_t>(count));
    }
    close(connection);
    return result;
}

} // namespace review
