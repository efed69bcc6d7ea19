#include "review/harness-3/process.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fstream>

namespace review {

void Process::Start() {
  std::vector<char*> arguments;
  for (std::string& word : words_) {
    arguments.push_back(word.data());
  }
  arguments.push_back(nullptr);
  id_ = fork();
  if (id_ == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    execv(arguments[0], arguments.data());
    _exit(127);
  }
}

void Process::Kill() {
  if (id_ > 0) {
    kill(id_, SIGKILL);
    waitpid(id_, nullptr, 0);
    id_ = 0;
  }
}

void Process::Signal(int signal) const {
  if (id_ > 0) {
    kill(id_, signal);
  }
}

bool Process::IsRunning() {
  if (id_ > 0 && waitpid(id_, nullptr, WNOHANG) == id_) {
    id_ = 0;
  }
  return id_ > 0;
}

std::size_t Process::Memory() const {
  std::ifstream file("/proc/" + std::to_string(id_) + "/statm");
  std::size_t total_pages = 0;
  std::size_t resident_pages = 0;
  std::size_t shared_pages = 0;
  if (id_ <= 0 || !(file >> total_pages >> resident_pages >> shared_pages)) {
    return 0;
  }
  return (resident_pages - shared_pages) * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

}  // namespace review
