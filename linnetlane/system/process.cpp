#include "linnetlane/system/process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <csignal>
#include <regex>
#include <stdexcept>
#include <system_error>
#include <utility>

extern char** environ;

namespace linnetlane::system {

namespace {

// The `IP:PORT` in a line that begins with "listening".
auto address_in(std::string const& line) -> std::optional<base::endpoint> {
    static auto const pattern = std::regex{R"(^listening.*?([0-9.]+):([0-9]+))"};
    auto found = std::smatch{};
    if (!std::regex_search(line, found, pattern)) {
        return std::nullopt;
    }
    return base::endpoint{found[1].str(), static_cast<std::uint16_t>(std::stoi(found[2].str()))};
}

auto spawn(std::vector<std::string> const& command, std::array<int, 2> const& pipe_ends) -> pid_t {
    auto arguments = std::vector<char*>{};
    for (auto const& argument : command) {
        arguments.push_back(const_cast<char*>(argument.c_str()));
    }
    arguments.push_back(nullptr);
    auto actions = posix_spawn_file_actions_t{};
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, pipe_ends[1], STDOUT_FILENO);
    auto id = pid_t{};
    auto const error =
        posix_spawn(&id, arguments.front(), &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
        throw std::system_error(error, std::generic_category(), command.front());
    }
    return id;
}

}  // namespace

process::process(pid_t started, int output) : id(started), output_descriptor(output) {}

process::process(process&& other) noexcept
    : id(std::exchange(other.id, -1)),
      output_descriptor(std::exchange(other.output_descriptor, -1)),
      unread(std::move(other.unread)),
      addresses(std::move(other.addresses)),
      status(other.status) {}

auto process::operator=(process&& other) noexcept -> process& {
    std::swap(this->id, other.id);
    std::swap(this->output_descriptor, other.output_descriptor);
    std::swap(this->unread, other.unread);
    std::swap(this->addresses, other.addresses);
    std::swap(this->status, other.status);
    return *this;
}

process::~process() {
    this->kill();
}

auto process::start(std::vector<std::string> const& command) -> process {
    auto pipe_ends = std::array<int, 2>{};
    if (::pipe2(pipe_ends.data(), O_CLOEXEC) != 0) {
        throw std::system_error(errno, std::generic_category(), "pipe");
    }
    auto const id = spawn(command, pipe_ends);
    ::close(pipe_ends[1]);
    return {id, pipe_ends[0]};
}

auto process::listen_address(std::size_t index) -> base::endpoint {
    while (this->addresses.size() <= index) {
        auto buffer = std::array<char, 4096>{};
        auto const bytes = ::read(this->output_descriptor, buffer.data(), buffer.size());
        if (bytes <= 0) {
            throw std::runtime_error(
                "the process's output ended before it reported the expected address");
        }
        this->unread.append(buffer.data(), static_cast<std::size_t>(bytes));
        auto end = this->unread.find('\n');
        while (end != std::string::npos) {
            if (auto const address = address_in(this->unread.substr(0, end))) {
                this->addresses.push_back(*address);
            }
            this->unread.erase(0, end + 1);
            end = this->unread.find('\n');
        }
    }
    return this->addresses[index];
}

auto process::signal(int number) const -> void {
    if (this->id > 0) {
        ::kill(this->id, number);
    }
}

auto process::wait() -> std::optional<int> {
    if (this->id > 0) {
        auto state = 0;
        ::waitpid(this->id, &state, 0);
        this->id = -1;
        this->status = WIFEXITED(state) ? std::optional{WEXITSTATUS(state)} : std::nullopt;
    }
    return this->status;
}

auto process::kill() -> void {
    this->signal(SIGKILL);
    this->wait();
    if (this->output_descriptor >= 0) {
        ::close(std::exchange(this->output_descriptor, -1));
    }
}

auto process::running() -> bool {
    if (this->id <= 0) {
        return false;
    }
    auto state = 0;
    if (::waitpid(this->id, &state, WNOHANG) != this->id) {
        return true;
    }
    this->id = -1;
    this->status = WIFEXITED(state) ? std::optional{WEXITSTATUS(state)} : std::nullopt;
    return false;
}

}  // namespace linnetlane::system
