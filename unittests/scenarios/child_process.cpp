#include "child_process.h"

#include <sys/wait.h>

#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <stdexcept>
#include <vector>

namespace dragonflystair::scenarios {

child_process::child_process(std::span<const std::string> arguments, const std::string& log_file) {
    std::vector<char*> argv;
    for (const auto& argument : arguments) {
        argv.push_back(const_cast<char*>(argument.c_str()));
    }
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 2, log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                     0644);
    posix_spawn_file_actions_adddup2(&actions, 2, 1);
    const int fault = posix_spawn(&pid_, argv[0], &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (fault != 0) {
        throw std::runtime_error("cannot start process " + arguments[0]);
    }
}

child_process::~child_process() {
    if (!ended_) {
        signal(SIGKILL);
        wait();
    }
}

void child_process::signal(int number) const {
    if (!ended_) {
        kill(pid_, number);
    }
}

int child_process::wait() {
    if (ended_) {
        return code_;
    }
    int status = 0;
    waitpid(pid_, &status, 0);
    ended_ = true;
    code_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    return code_;
}

} // namespace dragonflystair::scenarios
