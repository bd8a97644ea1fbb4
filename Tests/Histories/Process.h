/// \file
/// A child process of the driver: one of the project's own programs.

#ifndef BALSAMLATCH_TESTS_HISTORIES_PROCESS_H
#define BALSAMLATCH_TESTS_HISTORIES_PROCESS_H

#include <string>
#include <sys/types.h>
#include <vector>

namespace balsamlatch::histories {

/// Kills the process and waits for it when destroyed.
class Process {
public:
  /// Starts \p Arguments[0]; its output goes to the files. Throws
  /// std::system_error if it can't be started.
  Process(const std::vector<std::string> &Arguments,
          const std::string &OutputFile, const std::string &ErrorFile);
  ~Process();
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;

  void signal(int Number) const;
  /// Waits for its end; the exit code, or minus the signal that ended it.
  int wait();
  bool running();

private:
  // Invariant: positive until the process has been waited for.
  pid_t Pid = 0;
  int Code = 0;
};

} // namespace balsamlatch::histories

#endif // BALSAMLATCH_TESTS_HISTORIES_PROCESS_H
