#include "integration/harness/process.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstring>
#include <thread>
#include <utility>

namespace poplarstile::integration
{
namespace
{

constexpr base::milliseconds exit_poll{5};
constexpr int signal_exit_base = 128;
constexpr int log_mode = 0644;

} // namespace

base::result<process> process::start(const std::string& program,
                                     const std::vector<std::string>& arguments,
                                     const std::string& log_path)
{
    std::vector<std::string> words{program};
    words.insert(words.end(), arguments.begin(), arguments.end());
    std::vector<char*> argv;
    argv.reserve(words.size() + 1);
    for (auto& word : words) {
        argv.push_back(word.data());
    }
    argv.push_back(nullptr);
    posix_spawn_file_actions_t files{};
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, log_path.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, log_mode);
    posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
    pid_t pid = -1;
    const int failed = posix_spawn(&pid, program.c_str(), &files, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&files);
    if (failed != 0) {
        return base::error{base::error_code::operator_argument_invalid, program,
                           std::strerror(failed), "build the program first"};
    }
    return process{pid};
}

process::~process()
{
    kill();
}

process::process(process&& other) noexcept
    : pid_{std::exchange(other.pid_, -1)}, exit_code_{other.exit_code_}
{
}

process& process::operator=(process&& other) noexcept
{
    if (this != &other) {
        kill();
        pid_ = std::exchange(other.pid_, -1);
        exit_code_ = other.exit_code_;
    }
    return *this;
}

void process::send_signal(int number) const
{
    if (pid_ > 0) {
        ::kill(pid_, number);
    }
}

std::optional<int> process::wait_for_exit(base::milliseconds longest)
{
    const auto until = std::chrono::steady_clock::now() + longest;
    while (running()) {
        if (std::chrono::steady_clock::now() >= until) {
            return std::nullopt;
        }
        std::this_thread::sleep_for(exit_poll);
    }
    return exit_code_;
}

void process::kill()
{
    if (!running()) {
        return;
    }
    send_signal(SIGKILL);
    int status = 0;
    waitpid(pid_, &status, 0);
    exit_code_ = signal_exit_base + SIGKILL;
    pid_ = -1;
}

bool process::running()
{
    if (pid_ <= 0) {
        return false;
    }
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) == 0) {
        return true;
    }
    exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : signal_exit_base + WTERMSIG(status);
    pid_ = -1;
    return false;
}

std::vector<std::uint16_t> free_ports(std::size_t count)
{
    std::vector<int> sockets;
    std::vector<std::uint16_t> ports;
    while (ports.size() < count) {
        const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof(address);
        auto* const generic = reinterpret_cast<sockaddr*>(&address); // NOLINT
        if (handle >= 0 && bind(handle, generic, length) == 0 &&
            getsockname(handle, generic, &length) == 0) {
            ports.push_back(ntohs(address.sin_port));
        }
        sockets.push_back(handle);
    }
    for (const int handle : sockets) {
        close(handle);
    }
    return ports;
}

} // namespace poplarstile::integration
