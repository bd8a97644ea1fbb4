/// \file
/// Child processes by posix_spawn.

#include "Process.h"

#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <system_error>
#include <unistd.h>

namespace balsamlatch::histories {

namespace {

constexpr mode_t OwnFileMode = 0600;

int codeOf(int Status) {
  return WIFEXITED(Status) ? WEXITSTATUS(Status) : -WTERMSIG(Status);
}

} // namespace

Process::Process(const std::vector<std::string> &Arguments,
                 const std::string &OutputFile, const std::string &ErrorFile) {
  std::vector<char *> Words;
  Words.reserve(Arguments.size() + 1);
  for (const std::string &Word : Arguments) {
    Words.push_back(const_cast<char *>(Word.c_str()));
  }
  Words.push_back(nullptr);
  posix_spawn_file_actions_t Files;
  posix_spawn_file_actions_init(&Files);
  constexpr int Append = O_WRONLY | O_CREAT | O_APPEND;
  posix_spawn_file_actions_addopen(&Files, STDOUT_FILENO, OutputFile.c_str(),
                                   Append, OwnFileMode);
  posix_spawn_file_actions_addopen(&Files, STDERR_FILENO, ErrorFile.c_str(),
                                   Append, OwnFileMode);
  const int Error =
      posix_spawn(&Pid, Words[0], &Files, nullptr, Words.data(), environ);
  posix_spawn_file_actions_destroy(&Files);
  if (Error != 0) {
    Pid = 0;
    throw std::system_error(Error, std::generic_category(), Arguments[0]);
  }
}

Process::~Process() {
  if (Pid > 0) {
    signal(SIGKILL);
    signal(SIGCONT);
    wait();
  }
}

void Process::signal(int Number) const {
  if (Pid > 0) {
    ::kill(Pid, Number);
  }
}

int Process::wait() {
  int Status = 0;
  if (Pid > 0 && ::waitpid(Pid, &Status, 0) == Pid) {
    Code = codeOf(Status);
    Pid = 0;
  }
  return Code;
}

bool Process::running() {
  int Status = 0;
  if (Pid > 0 && ::waitpid(Pid, &Status, WNOHANG) == Pid) {
    Code = codeOf(Status);
    Pid = 0;
  }
  return Pid > 0;
}

} // namespace balsamlatch::histories
