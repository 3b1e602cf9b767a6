#include "http.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <sstream>
#include <thread>

namespace rig
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

std::string lower(std::string text)
{
    std::ranges::transform(text, text.begin(),
                           [](unsigned char letter) { return std::tolower(letter); });
    return text;
}

std::string unescape(const std::string& text)
{
    std::string plain;
    for (std::size_t at = 0; at < text.size(); ++at) {
        if (text[at] == '%' && at + 2 < text.size()) {
            plain += static_cast<char>(std::stoi(text.substr(at + 1, 2), nullptr, 16));
            at += 2;
        } else {
            plain += text[at];
        }
    }
    return plain;
}

/// A whole HTTP message at the front of the buffer: the first line, the headers and the body.
struct message {
    std::string first_line{};
    std::map<std::string, std::string> headers{};
    std::string body{};
};

std::optional<message> take_message(std::string& buffer)
{
    const auto end = buffer.find("\r\n\r\n");
    if (end == std::string::npos) {
        return std::nullopt;
    }
    message taken;
    std::istringstream lines{buffer.substr(0, end)};
    std::string line;
    while (std::getline(lines, line)) {
        if (!line.empty() && line.back() == '\r') {
            line.pop_back();
        }
        const auto colon = line.find(':');
        if (taken.first_line.empty()) {
            taken.first_line = line;
        } else if (colon != std::string::npos) {
            const auto value = line.find_first_not_of(' ', colon + 1);
            taken.headers[lower(line.substr(0, colon))] =
                value == std::string::npos ? std::string{} : line.substr(value);
        }
    }
    const auto length = taken.headers.find("content-length");
    const std::size_t body = length == taken.headers.end() ? 0 : std::stoul(length->second);
    if (buffer.size() < end + 4 + body) {
        return std::nullopt;
    }
    taken.body = buffer.substr(end + 4, body);
    buffer.erase(0, end + 4 + body);
    return taken;
}

request to_request(message taken)
{
    request made;
    std::istringstream line{taken.first_line};
    std::string target;
    line >> made.method >> target;
    const auto mark = target.find('?');
    made.path = target.substr(0, mark);
    if (mark != std::string::npos) {
        std::istringstream pairs{target.substr(mark + 1)};
        std::string pair;
        while (std::getline(pairs, pair, '&')) {
            const auto equals = pair.find('=');
            made.query[pair.substr(0, equals)] =
                equals == std::string::npos ? std::string{} : unescape(pair.substr(equals + 1));
        }
    }
    made.headers = std::move(taken.headers);
    made.body = std::move(taken.body);
    return made;
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

void serve_connection(int socket, const handler& answer)
{
    std::string buffer;
    std::array<char, 65536> chunk{};
    for (;;) {
        if (auto taken = take_message(buffer)) {
            const auto made = answer(to_request(std::move(*taken)));
            if (made.status == 0) {
                continue;
            }
            std::ostringstream text;
            text << "HTTP/1.1 " << made.status << " X\r\nContent-Type: application/json\r\n"
                 << "Content-Length: " << made.body.size() << "\r\n\r\n"
                 << made.body;
            if (!send_all(socket, text.str())) {
                break;
            }
            continue;
        }
        const auto count = recv(socket, chunk.data(), chunk.size(), 0);
        if (count <= 0) {
            break;
        }
        buffer.append(chunk.data(), static_cast<std::size_t>(count));
    }
    close(socket);
}

} // namespace

int serve(int port, handler answer)
{
    const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto address = loopback(port);
    if (bind(listener, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
        listen(listener, 256) != 0) {
        close(listener);
        return 0;
    }
    socklen_t size = sizeof address;
    getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
    std::thread{[listener, answer = std::move(answer)] {
        for (;;) {
            const int accepted = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0) {
                continue;
            }
            const int quick = 1;
            setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &quick, sizeof quick);
            std::thread{[accepted, answer] { serve_connection(accepted, answer); }}.detach();
        }
    }}.detach();
    return ntohs(address.sin_port);
}

int free_port()
{
    // Below the ports that the kernel gives to outgoing connections, so that none of these takes
    // one before it is used. Sites that are started at the same time begin at different ones.
    constexpr int lowest = 12'000;
    constexpr int ports = 18'000;
    constexpr int apart = 64;
    static int next = static_cast<int>(getpid()) * apart % ports;
    for (int tried = 0; tried < ports; ++tried) {
        const int port = lowest + next;
        next = (next + 1) % ports;
        const int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const auto address = loopback(port);
        const bool free =
            bind(probe, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
        close(probe);
        if (free) {
            return port;
        }
    }
    return 0;
}

std::optional<response> call(int port, const std::string& method, const std::string& path,
                             const std::map<std::string, std::string>& headers,
                             const std::string& body, int timeout_ms)
{
    const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds{timeout_ms};
    const int made = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = loopback(port);
    if (connect(made, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        close(made);
        return std::nullopt;
    }
    std::ostringstream text;
    text << method << ' ' << path << " HTTP/1.1\r\n";
    for (const auto& [name, value] : headers) {
        text << name << ": " << value << "\r\n";
    }
    text << "Content-Type: application/json\r\nContent-Length: " << body.size() << "\r\n\r\n"
         << body;
    std::optional<response> answer;
    std::string buffer;
    std::array<char, 65536> chunk{};
    bool open = send_all(made, text.str());
    while (open && !answer) {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
                              until - std::chrono::steady_clock::now())
                              .count();
        pollfd readable{made, POLLIN, 0};
        if (left <= 0 || poll(&readable, 1, static_cast<int>(left)) <= 0) {
            break;
        }
        const auto count = recv(made, chunk.data(), chunk.size(), 0);
        open = count > 0;
        if (open) {
            buffer.append(chunk.data(), static_cast<std::size_t>(count));
            if (auto taken = take_message(buffer)) {
                answer = response{std::atoi(taken->first_line.substr(9, 3).c_str()),
                                  std::move(taken->body)};
            }
        }
    }
    close(made);
    return answer;
}

} // namespace rig
