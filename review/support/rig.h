// Stand-ins for the tests in this folder: discovery, servers, clients and the platform, with blocking sockets
// and one thread for each connection. All addresses are on the loopback. Times are in seconds since the start
// of the test, by the monotonic clock.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace rig {

inline double now() {
    using Clock = std::chrono::steady_clock;
    static const Clock::time_point start = Clock::now();
    return std::chrono::duration<double>(Clock::now() - start).count();
}

inline void sleep_for(double seconds) {
    if (seconds > 0) std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

inline void sleep_until(double when) { sleep_for(when - now()); }

/// The record of the test: one line for each event, with its time.
class Record {
  public:
    explicit Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")) {
        if (file_ == nullptr) throw std::runtime_error("cannot write " + path);
    }
    ~Record() { std::fclose(file_); }
    void add(const char* format, ...) __attribute__((format(printf, 2, 3))) {
        const std::lock_guard<std::mutex> lock(mutex_);
        std::fprintf(file_, "%8.3f  ", now());
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(file_, format, arguments);
        va_end(arguments);
        std::fputc('\n', file_);
        std::fflush(file_);
    }

  private:
    std::mutex mutex_;
    std::FILE* file_;
};

/// A connection: reads lines with a deadline, writes whole texts.
class Connection {
  public:
    enum class Read { line, ended, reset, timed_out };

    explicit Connection(int fd) : fd_(fd) {
        const int yes = 1;
        ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
    }
    Connection(const Connection&) = delete;
    ~Connection() { close(); }

    static std::unique_ptr<Connection> to(int port) {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
            ::close(fd);
            return nullptr;
        }
        return std::make_unique<Connection>(fd);
    }

    Read read_line(std::string& line, double deadline) {
        for (;;) {
            const auto end = buffer_.find('\n');
            if (end != std::string::npos) {
                line = buffer_.substr(0, end);
                if (!line.empty() && line.back() == '\r') line.pop_back();
                buffer_.erase(0, end + 1);
                return Read::line;
            }
            pollfd polled{fd_, POLLIN, 0};
            const double left = deadline - now();
            if (left <= 0) return Read::timed_out;
            const int ready = ::poll(&polled, 1, static_cast<int>(left * 1000) + 1);
            if (ready < 0 && errno == EINTR) continue;
            if (ready <= 0) continue;
            char bytes[8192];
            const ssize_t n = ::recv(fd_, bytes, sizeof bytes, 0);
            if (n == 0) return Read::ended;
            if (n < 0 && errno == EINTR) continue;
            if (n < 0) return Read::reset;
            buffer_.append(bytes, static_cast<std::size_t>(n));
        }
    }
    const std::string& unread() const { return buffer_; }

    bool write(const std::string& text) {
        std::size_t sent = 0;
        while (sent < text.size()) {
            const ssize_t n = ::send(fd_, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
            if (n < 0 && errno == EINTR) continue;
            if (n <= 0) return false;
            sent += static_cast<std::size_t>(n);
        }
        return true;
    }
    void end_sending() { ::shutdown(fd_, SHUT_WR); }
    void close() {
        if (fd_ >= 0) ::close(fd_);
        fd_ = -1;
    }
    void reset() {
        const linger now_linger{1, 0};
        ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now_linger, sizeof now_linger);
        close();
    }

  private:
    int fd_;
    std::string buffer_;
};

inline const char* name_of(Connection::Read result) {
    switch (result) {
        case Connection::Read::line:
            return "line";
        case Connection::Read::ended:
            return "end of connection";
        case Connection::Read::reset:
            return "reset";
        case Connection::Read::timed_out:
            return "nothing in time";
    }
    return "";
}

/// A listening socket on a free port, and a thread for each connection.
class Service {
  public:
    using Handler = std::function<void(Connection&)>;
    explicit Service(Handler handler) : handler_(std::move(handler)) {
        fd_ = listen_on_free_port(port_);
        std::thread([this] { accept_all(); }).detach();
    }
    int port() const { return port_; }
    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

    static int listen_on_free_port(int& port) {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
            ::listen(fd, 1024) != 0 || ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0)
            throw std::runtime_error("cannot listen on the loopback");
        port = ntohs(address.sin_port);
        return fd;
    }

  private:
    void accept_all() {
        for (;;) {
            const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0 && errno != EINTR) return;
            if (fd < 0) continue;
            std::thread([this, fd] {
                Connection connection(fd);
                handler_(connection);
            }).detach();
        }
    }
    Handler handler_;
    int fd_ = -1, port_ = 0;
};

/// A port that nobody uses at the moment.
inline int free_port() {
    int port = 0;
    ::close(Service::listen_on_free_port(port));
    return port;
}

/// One entry of the endpoint list.
struct Member {
    std::string id, address, phase = "in_service", zone = "here";
    long long up_since_ms = 0;
    std::string json() const {
        return R"({"id":")" + id + R"(","host_port":")" + address + R"(","locality":")" + zone +
               R"(","flavor":"m","cell":0,"phase":")" + phase + R"(","size":1.0,"up_since_ms":)" +
               std::to_string(up_since_ms) + "}";
    }
};

/// Discovery: whole lists and watches with changes, an empty line each 2 s while nothing changes.
class Discovery {
  public:
    explicit Discovery(Record& record)
        : record_(record), service_([this](Connection& connection) { serve(connection); }) {}
    std::string address() const { return service_.address(); }
    /// Adds or replaces entries; they are one change with a new revision.
    void change(const std::vector<Member>& members) {
        const std::lock_guard<std::mutex> lock(mutex_);
        ++revision_;
        for (const Member& member : members) {
            members_[member.id] = member;
            changed_at_[member.id] = revision_;
        }
    }

  private:
    std::string list_after(std::uint64_t revision, std::uint64_t& sent) {
        const std::lock_guard<std::mutex> lock(mutex_);
        sent = revision_;
        std::string text = R"({"revision":)" + std::to_string(revision_) + R"(,"complete":)" +
                           (revision == 0 ? "true" : "false") + R"(,"members":[)";
        const char* separator = "";
        for (const auto& [id, member] : members_) {
            if (changed_at_[id] <= revision) continue;
            if (revision == 0 && member.phase == "terminated") continue;
            text += separator + member.json();
            separator = ",";
        }
        return text + "]}\n";
    }
    void serve(Connection& connection) {
        std::string line, request;
        while (connection.read_line(line, now() + 5) == Connection::Read::line && !line.empty())
            if (request.empty()) request = line;
        if (request.empty()) return;
        std::uint64_t known = 0;
        const auto index = request.find("index=");
        if (index != std::string::npos) known = std::strtoull(request.c_str() + index + 6, nullptr, 10);
        record_.add("discovery: %s", request.c_str());
        connection.write(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n");
        std::uint64_t sent = 0;
        bool first = true;
        double last = now();
        for (;;) {
            bool changed = false;
            {
                const std::lock_guard<std::mutex> lock(mutex_);
                changed = revision_ != known;
            }
            std::string text;
            if (first || changed) {
                text = list_after(known, sent);
                known = sent;
            } else if (now() - last >= 2) {
                text = "\n";
            }
            if (!text.empty()) {
                char size[20];
                std::snprintf(size, sizeof size, "%zx\r\n", text.size());
                if (!connection.write(size + text + "\r\n")) return;
                if (text.size() > 1)
                    record_.add("discovery: sent revision %llu", static_cast<unsigned long long>(sent));
                last = now();
                first = false;
            }
            sleep_for(0.01);
        }
    }
    Record& record_;
    std::mutex mutex_;
    std::uint64_t revision_ = 1;
    std::map<std::string, Member> members_;
    std::map<std::string, std::uint64_t> changed_at_;
    Service service_;
};

/// A process of the program under test, started with the command of the deploy file.
class Node {
  public:
    Node(const std::string& root, const std::string& command, const std::vector<std::string>& environment,
         const std::string& log, int inherited_listener = -1) {
        // All memory that the child needs is allocated before the fork.
        std::vector<std::string> entries = environment;
        for (char** entry = environ; *entry != nullptr; ++entry) {
            const std::string text = *entry;
            const auto name = text.substr(0, text.find('=') + 1);
            const bool replaced =
                std::any_of(environment.begin(), environment.end(),
                            [&](const std::string& e) { return e.compare(0, name.size(), name) == 0; });
            if (!replaced) entries.push_back(text);
        }
        std::vector<char*> pointers;
        for (std::string& entry : entries) pointers.push_back(entry.data());
        pointers.push_back(nullptr);
        const pid_t parent = ::getpid();
        pid_ = ::fork();
        if (pid_ != 0) return;
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::getppid() != parent || ::chdir(root.c_str()) != 0) ::_exit(127);
        const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(out, 1);
        ::dup2(out, 2);
        if (inherited_listener >= 0 && inherited_listener != 5) ::dup2(inherited_listener, 5);
        if (inherited_listener == 5) ::fcntl(5, F_SETFD, 0);
        ::execle("/bin/sh", "sh", "-c", command.c_str(), static_cast<char*>(nullptr), pointers.data());
        ::_exit(127);
    }
    Node(const Node&) = delete;
    ~Node() {
        if (running()) {
            ::kill(pid_, SIGKILL);
            ::waitpid(pid_, &status_, 0);
        }
    }
    void signal(int number) {
        if (running()) ::kill(pid_, number);
    }
    bool running() {
        if (ended_) return false;
        ended_ = ::waitpid(pid_, &status_, WNOHANG) == pid_;
        return !ended_;
    }
    pid_t pid() const { return pid_; }
    /// How the process ended, in words.
    std::string end() const {
        if (WIFSIGNALED(status_)) return "signal " + std::to_string(WTERMSIG(status_));
        return "exit " + std::to_string(WEXITSTATUS(status_));
    }

  private:
    pid_t pid_ = -1;
    int status_ = 0;
    bool ended_ = false;
};

/// Whether a node answers PING with PONG.
inline bool is_ready(int port) {
    const auto connection = Connection::to(port);
    std::string line;
    return connection && connection->write("PING\r\n") &&
           connection->read_line(line, now() + 1) == Connection::Read::line && line == "PONG";
}

inline bool wait_until_ready(int port, double seconds) {
    for (const double end = now() + seconds; now() < end; sleep_for(0.05))
        if (is_ready(port)) return true;
    return false;
}

/// The status of an operators' call; 0 where none came within a second.
inline int call(int port, const std::string& method_and_path) {
    const auto connection = Connection::to(port);
    std::string line;
    if (!connection || !connection->write(method_and_path + " HTTP/1.1\r\nHost: node\r\n\r\n") ||
        connection->read_line(line, now() + 1) != Connection::Read::line || line.size() < 12)
        return 0;
    return std::atoi(line.c_str() + 9);
}

inline void write_file(const std::string& path, const std::string& text) {
    std::ofstream(path, std::ios::trunc) << text;
}

/// What differs between the configurations of the tests.
struct Settings {
    std::string effect = "read_like";
    double client_timeout = 3.0;
    double longer_timeout = 0;  // of a second class, "feed"; 0: there is none
    int sockets = 1024;
};

/// The configuration of a deployment with one node that may probe its servers.
inline std::string configuration(int listen_port, const std::string& discovery, const Settings& settings) {
    char text[2048];
    std::snprintf(
        text, sizeof text,
        R"({"name":"n0","listen":"127.0.0.1:%d","discovery":"%s","seed":"%08x",)"
        R"("limits":{"cores":1.0,"memory_mb":192,"sockets":%d},)"
        R"("known":{"revision":0,"complete":false,"members":[]},)"
        R"("settings":{"balancers":1,"me":0,"zone":0,"zones":["here"],"granularity":0.005,)"
        R"("membership_mode":"push","weight_kind":"nominal",)"
        R"("domain":{"mode":"proxy","groups":false,"tells_delay":true,"message_aim":[0.25]},)"
        R"("limits":{"max_setups":3,"connect_timeout":0.25,"probing":true,"peers":false,"cancel":true,)"
        R"("may_duplicate":false,"retry_after":false},)"
        R"("report":{"via":"probe","columns":["x0"]},)"
        R"("rules":{"answer_slack":0.02,"ask_within":10.0,"stop_sending_within":3.0,"cold":8.0,"cold_from":0.33,)"
        R"("fall":1.5,"tip_multiple":2.5},"costs":{"probe":0.0016},)"
        R"("profiles":[{"name":"chat","setup_goal":0.5,"client_timeout":%g,"credit":1.0,"effect":"%s",)"
        R"("dedup_scope":"all","window":5.0,"stream":true})",
        listen_port, discovery.c_str(), static_cast<unsigned>(::getpid()), settings.sockets,
        settings.client_timeout, settings.effect.c_str());
    std::string all = text;
    if (settings.longer_timeout > 0)
        all += R"(,{"name":"feed","setup_goal":0.5,"client_timeout":)" +
               std::to_string(settings.longer_timeout) +
               R"(,"credit":1.0,"effect":"read_like","stream":true})";
    return all + "]}}";
}

/// Answers a probe; false where the line is none.
inline bool answer_probe(Connection& connection, const std::string& line) {
    if (line == "PING") return connection.write("PONG\r\n");
    if (line == "STATS") return connection.write("PONG x0=0.1\r\n");
    return false;
}

/// The id in the first line of a connection.
inline std::string id_of(const std::string& line) {
    const auto begin = line.find(' ') + 1;
    return line.substr(begin, line.find(' ', begin) - begin);
}

/// What run.sh passes to each test.
struct Arguments {
    std::string root, command, folder, temporary;
    bool trouble = true;
    Arguments(int count, char** values) {
        if (count != 5) throw std::runtime_error("usage: case ROOT COMMAND FOLDER TEMPORARY");
        root = values[1];
        command = values[2];
        folder = values[3];
        temporary = values[4];
        const char* value = std::getenv("TROUBLE");
        trouble = value == nullptr || std::strcmp(value, "0") != 0;
        ::signal(SIGPIPE, SIG_IGN);
        now();
    }
};

constexpr int held = 0, broken = 1, could_not_run = 2;

/// The platform of one node: holds the clients' listening socket, starts the node and upgrades it.
class Platform {
  public:
    Platform(const Arguments& arguments, Record& record, const std::string& discovery,
             const Settings& settings)
        : arguments_(arguments),
          record_(record),
          longest_deadline_(std::min(std::max(settings.client_timeout, settings.longer_timeout), 3.0)) {
        listener_ = Service::listen_on_free_port(port_);
        write_file(arguments.temporary + "/config.json", configuration(port_, discovery, settings));
    }
    int port() const { return port_; }
    /// Where operators call the process that was started last and has said yes.
    int admin_port() const { return admin_port_; }
    /// Starts a process and waits until it says yes, 6 s at most.
    bool start() {
        admin_port_ = free_port();
        node_ = process(admin_port_, ++started_);
        return wait_for_yes(admin_port_);
    }
    /// Starts a new process beside the old one; once that says yes, the old one gets SIGTERM, and SIGKILL
    /// after the longest deadline and 0.7 s. Returns the time of the yes, or -1.
    double upgrade() {
        const int port = free_port();
        auto next = process(port, ++started_);
        record_.add("platform: new process started");
        if (!wait_for_yes(port)) return -1;
        const double yes = now();
        record_.add("platform: the new process says yes; SIGTERM to the old one");
        old_ = std::move(node_);
        node_ = std::move(next);
        admin_port_ = port;
        old_->signal(SIGTERM);
        killer_ = std::thread([this, end = yes + longest_deadline_ + 0.7] {
            while (now() < end && old_->running()) sleep_for(0.01);
            record_.add("platform: the old process %s", old_->running() ? "gets SIGKILL" : "has exited");
            old_->signal(SIGKILL);
        });
        return yes;
    }
    bool running() { return node_ && node_->running(); }
    ~Platform() {
        if (killer_.joinable()) killer_.join();
    }

  private:
    std::unique_ptr<Node> process(int admin_port, int number) {
        return std::make_unique<Node>(
            arguments_.root, arguments_.command,
            std::vector<std::string>{"NODE_NAME=n0", "NODE_CONFIG=" + arguments_.temporary + "/config.json",
                                     "NODE_ADMIN_ADDR=127.0.0.1:" + std::to_string(admin_port),
                                     "NODE_INHERITED_FD=5", "TMPDIR=" + arguments_.temporary},
            arguments_.temporary + "/node" + std::to_string(number) + ".log", listener_);
    }
    static bool wait_for_yes(int port) {
        for (const double end = now() + 6; now() < end; sleep_for(0.02))
            if (call(port, "GET /healthcheck") == 200) return true;
        return false;
    }
    const Arguments& arguments_;
    Record& record_;
    double longest_deadline_;
    int listener_ = -1, port_ = 0, admin_port_ = 0, started_ = 0;
    std::unique_ptr<Node> node_, old_;
    std::thread killer_;
};

}  // namespace rig
