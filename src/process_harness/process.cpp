#include "process_harness/process.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/mman.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <fstream>
#include <system_error>
#include <vector>

namespace lemonstair::process_harness {

namespace {

constexpr int file_at = 9;  // the descriptor under which the process finds its configuration

[[noreturn]] void fail(const char* what) { throw std::system_error(errno, std::generic_category(), what); }

// Nothing but system calls: the parent's memory is shared until then.
[[noreturn]] void become(const char* program, char* const* environment, int file, int log, pid_t parent) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) ::_exit(127);
    sigset_t none;
    sigemptyset(&none);
    ::sigprocmask(SIG_SETMASK, &none, nullptr);
    ::dup2(log, 1);
    ::dup2(log, 2);
    ::dup2(file, file_at);
    char* const arguments[] = {const_cast<char*>(program), nullptr};
    ::execve(program, arguments, environment);
    ::_exit(127);
}

}  // namespace

Process::Process(const std::string& program, const std::string& name, const std::string& configuration,
                 const std::string& log_folder, const std::vector<std::string>& more) {
    file_ = net::Fd(::memfd_create(name.c_str(), MFD_CLOEXEC));
    if (!file_.open()) fail("memfd_create");
    configure(configuration);
    const std::string log_name = log_folder.empty() ? "/dev/null" : log_folder + "/" + name + ".log";
    const net::Fd log(::open(log_name.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644));
    if (!log.open()) fail("the node's log");
    std::string file = "NODE_CONFIG=/proc/self/fd/" + std::to_string(file_at), named = "NODE_NAME=" + name;
    std::vector<char*> environment{file.data(), named.data()};
    for (const std::string& one : more) environment.push_back(const_cast<char*>(one.c_str()));
    environment.push_back(nullptr);
    const pid_t parent = ::getpid();
    pid_ = ::fork();
    if (pid_ < 0) fail("fork");
    if (pid_ == 0) become(program.c_str(), environment.data(), file_.get(), log.get(), parent);
}

Process::~Process() {
    if (pid_ < 0 || over_) return;
    ::kill(pid_, SIGKILL);
    while (::waitpid(pid_, nullptr, 0) < 0 && errno == EINTR) continue;
}

void Process::signal(int number) const {
    if (!over_) ::kill(pid_, number);
}

void Process::configure(const std::string& text) const {
    if (::ftruncate(file_.get(), 0) != 0 ||
        ::pwrite(file_.get(), text.data(), text.size(), 0) != static_cast<ssize_t>(text.size()))
        fail("the node's configuration");
}

bool Process::runs() {
    if (!over_ && ::waitpid(pid_, &status_, WNOHANG) == pid_) over_ = true;
    return !over_;
}

std::string Process::how_it_ended() const {
    if (WIFSIGNALED(status_)) return "ended by signal " + std::to_string(WTERMSIG(status_));
    return "ended with status " + std::to_string(WEXITSTATUS(status_));
}

Process::Used Process::used() const {
    Used u;
    const std::string folder = "/proc/" + std::to_string(pid_);
    double on_ns = 0, waited_ns = 0;
    if (std::ifstream(folder + "/schedstat") >> on_ns >> waited_ns) {
        u.processor_s = on_ns / 1e9;
        u.waited_s = waited_ns / 1e9;
    }
    std::uint64_t size = 0, resident = 0;
    if (std::ifstream(folder + "/statm") >> size >> resident) u.memory_kb = resident * 4;
    return u;
}

}  // namespace lemonstair::process_harness
