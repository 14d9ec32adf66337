#pragma once

#include <sys/types.h>

#include <span>
#include <string>

namespace dragonflystair::scenarios {

/// A child process; the destructor kills it if it is still running.
class child_process {
public:
    /// Starts `arguments[0]`; standard output and error go to `log_file`. Throws
    /// std::runtime_error.
    child_process(std::span<const std::string> arguments, const std::string& log_file);
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    void signal(int number) const;

    /// Waits until the process ends. Returns the exit code, or 128 plus the number of the signal
    /// that ended it.
    int wait();

    [[nodiscard]] pid_t id() const { return pid_; }

private:
    pid_t pid_ = 0;
    bool ended_ = false;
    int code_ = 0;
};

} // namespace dragonflystair::scenarios
