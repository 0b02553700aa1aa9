// Stand-ins for the cases of the second review: hosts, discovery, clients and the platform that starts nodes. They follow
// the protocol page, use the loopback and the real clock, and need nothing but the C++ library. Blocking sockets and one
// thread for each connection keep them short.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

enum ExitCode { rule_held = 0, rule_broken = 1, could_not_run = 2 };

// Seconds since the case began.
inline double now() {
    using Clock = std::chrono::steady_clock;
    static const Clock::time_point start = Clock::now();
    return std::chrono::duration<double>(Clock::now() - start).count();
}
inline void sleep_for(double seconds) {
    if (seconds > 0) std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}
inline void sleep_until(double when) { sleep_for(when - now()); }
inline std::int64_t unix_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

// record.txt: one line for each thing that was sent, answered or run.
class Record {
  public:
    void open(const std::string& path) {
        file_ = std::fopen(path.c_str(), "w");
        if (file_ == nullptr) std::exit(could_not_run);
    }
    void operator()(const char* format, ...) __attribute__((format(printf, 2, 3))) {
        const std::lock_guard lock(mutex_);
        std::fprintf(file_, "%8.3f ", now());
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(file_, format, arguments);
        va_end(arguments);
        std::fputc('\n', file_);
        std::fflush(file_);
    }

  private:
    std::mutex mutex_;
    std::FILE* file_ = nullptr;
};
inline Record record;

struct Endpoint {
    std::string ip;
    int port = 0;
    std::string text() const { return ip + ":" + std::to_string(port); }
};
inline sockaddr_in socket_address(const Endpoint& endpoint) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(endpoint.port));
    ::inet_pton(AF_INET, endpoint.ip.c_str(), &address.sin_addr);
    return address;
}
// A listening socket; port 0 takes a free one and fills it in. -1 if the address cannot be had.
inline int listen_on(Endpoint& endpoint) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    sockaddr_in address = socket_address(endpoint);
    socklen_t size = sizeof address;
    if (::bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 || ::listen(fd, 4096) != 0 ||
        ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
        ::close(fd);
        return -1;
    }
    endpoint.port = ntohs(address.sin_port);
    return fd;
}
// A loopback address of this run's own, so that two runs on one machine do not meet.
inline std::string loopback_ip(int last) {
    static const unsigned block = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(64 + (block >> 8) % 128) + "." + std::to_string(block % 256) + "." +
           std::to_string(last);
}
inline Endpoint free_endpoint(int last) {
    Endpoint endpoint{loopback_ip(last), 0};
    const int fd = listen_on(endpoint);
    if (fd < 0) std::exit(could_not_run);
    ::close(fd);
    return endpoint;
}

// A connection that is read by lines.
class Connection {
  public:
    enum class Read { line, timed_out, ended, reset };
    explicit Connection(int fd = -1) : fd_(fd) {
        const int yes = 1;
        if (fd >= 0) ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
    }
    ~Connection() { close(); }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;
    bool connect(const Endpoint& to) {
        close();
        fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int yes = 1;
        ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
        const sockaddr_in address = socket_address(to);
        return ::connect(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
    }
    bool send(const std::string& text) {
        for (std::size_t at = 0; at < text.size();) {
            const ssize_t n = ::send(fd_, text.data() + at, text.size() - at, MSG_NOSIGNAL);
            if (n <= 0) return false;
            at += static_cast<std::size_t>(n);
        }
        return true;
    }
    // The next line without its end.
    Read read_line(std::string& line, double timeout) {
        const double until = now() + timeout;
        for (;;) {
            const auto end = buffer_.find('\n');
            if (end != std::string::npos) {
                line = buffer_.substr(0, end);
                if (!line.empty() && line.back() == '\r') line.pop_back();
                buffer_.erase(0, end + 1);
                return Read::line;
            }
            pollfd polled{fd_, POLLIN, 0};
            const double left = until - now();
            if (left <= 0 || ::poll(&polled, 1, static_cast<int>(left * 1000) + 1) == 0) {
                if (now() >= until) return Read::timed_out;
                continue;
            }
            char bytes[4096];
            const ssize_t n = ::recv(fd_, bytes, sizeof bytes, 0);
            if (n == 0) return Read::ended;
            if (n < 0) return Read::reset;
            buffer_.append(bytes, static_cast<std::size_t>(n));
        }
    }
    // What was read of a line that has not ended.
    const std::string& rest() const { return buffer_; }
    void reset() {
        const linger now_{1, 0};
        if (fd_ >= 0) ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now_, sizeof now_);
        close();
    }
    void end_sending() { ::shutdown(fd_, SHUT_WR); }
    void close() {
        if (fd_ >= 0) ::close(fd_);
        fd_ = -1;
    }
    int fd() const { return fd_; }

  private:
    int fd_;
    std::string buffer_;
};

// Accepts connections and serves each in a thread of its own, until the case ends.
class Listener {
  public:
    explicit Listener(int last_byte) : endpoint_{loopback_ip(last_byte), 0} {}
    virtual ~Listener() = default;
    const Endpoint& endpoint() const { return endpoint_; }
    void start() {
        const int fd = listen_on(endpoint_);
        if (fd < 0) {
            record("cannot listen on %s", endpoint_.text().c_str());
            std::_Exit(could_not_run);
        }
        listener_ = fd;
        std::thread([this, fd] { accept_all(fd); }).detach();
    }
    // Refuses new connections from now on.
    void stop() {
        const int fd = listener_.exchange(-1);
        if (fd >= 0) {
            ::shutdown(fd, SHUT_RDWR);
            ::close(fd);
        }
    }

  protected:
    virtual void serve(Connection& connection) = 0;

  private:
    void accept_all(int listener) {
        for (;;) {
            const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) return;
            std::thread([this, fd] {
                Connection connection(fd);
                serve(connection);
            }).detach();
        }
    }
    Endpoint endpoint_;
    std::atomic<int> listener_{-1};
};

inline std::string word(const std::string& line, int index) {
    std::istringstream in(line);
    std::string text;
    for (int i = 0; i <= index; ++i)
        if (!(in >> text)) return {};
    return text;
}
inline std::string parameter(const std::string& line, const std::string& name) {
    std::istringstream in(word(line, 3));
    for (std::string entry; std::getline(in, entry, ',');)
        if (entry.rfind(name + "=", 0) == 0) return entry.substr(name.size() + 1);
    return {};
}

// A sound host: answers probes, brings each connection up and answers each line at once. Cases derive from it.
class Host : public Listener {
  public:
    Host(std::string host_id, int last_byte, std::string load_report = "x0=0.2")
        : Listener(last_byte), id(std::move(host_id)), load_report_(std::move(load_report)) {}
    const std::string id;
    std::atomic<int> requests{0};

  protected:
    void serve(Connection& connection) override {
        std::string line;
        while (connection.read_line(line, 600) == Connection::Read::line) {
            if (line == "PING" || line == "STATS") {
                if (!answer_probe(connection, line)) return;
                continue;
            }
            if (line.rfind("OPEN ", 0) != 0) {
                record("host %s got a line that is no request: %s", id.c_str(), line.c_str());
                connection.send("SYNTAX\r\n");
                return;
            }
            ++requests;
            record("host %s got %s", id.c_str(), line.c_str());
            serve_request(connection, line);
            return;
        }
    }
    virtual bool answer_probe(Connection& connection, const std::string& line) {
        return connection.send(line == "STATS" ? "PONG " + load_report_ + "\r\n" : "PONG\r\n");
    }
    virtual void serve_request(Connection& connection, const std::string& request) {
        connection.send("UP " + id + "/" + word(request, 1) + "\r\n");
        std::string line;
        while (connection.read_line(line, 600) == Connection::Read::line)
            if (!answer_line(connection, line)) return;
    }
    virtual bool answer_line(Connection& connection, const std::string& line) {
        return connection.send("RE " + line + "\r\n");
    }

  private:
    std::string load_report_;
};

// Discovery: the list of hosts, told on watches. While it is down, watches end and calls are refused.
class Discovery final : public Listener {
  public:
    explicit Discovery(int last_byte) : Listener(last_byte) {}
    void add(const Host& host) { set(host.id, host.endpoint().text(), "in_service", 0); }
    // Changes an entry and tells the open watches.
    void set_phase(const std::string& id, const std::string& phase) {
        const std::lock_guard lock(mutex_);
        Entry& entry = entries_[id];
        entry.phase = phase;
        entry.revision = ++revision_;
        record("discovery has revision %d: host %s is %s", revision_, id.c_str(), phase.c_str());
        changed_.notify_all();
    }
    void set(const std::string& id, const std::string& address, const std::string& phase, std::int64_t up_since) {
        const std::lock_guard lock(mutex_);
        Entry& entry = entries_[id];
        entry = {address, phase, up_since, ++revision_};
        changed_.notify_all();
    }
    // The whole list, as a node's configuration may hold it.
    std::string whole_list() {
        const std::lock_guard lock(mutex_);
        return list_after(0);
    }
    void go_down() {
        record("discovery is down: watches are reset, calls are refused");
        stop();
        const std::lock_guard lock(mutex_);
        down_ = true;
        ++outages_;
        changed_.notify_all();
    }
    void come_back() {
        {
            const std::lock_guard lock(mutex_);
            down_ = false;
        }
        start();
        record("discovery is back");
    }
    int calls() const { return calls_; }

  private:
    struct Entry {
        std::string address, phase;
        std::int64_t up_since_ms = 0;
        int revision = 0;
    };
    std::string list_after(int revision) const {
        std::ostringstream out;
        out << "{\"revision\":" << revision_ << ",\"complete\":" << (revision == 0 ? "true" : "false") << ",\"members\":[";
        const char* separator = "";
        for (const auto& [id, entry] : entries_) {
            if (entry.revision <= revision) continue;
            out << separator << "{\"id\":\"" << id << "\",\"host_port\":\"" << entry.address
                << "\",\"locality\":\"a\",\"flavor\":\"m\",\"cell\":0,\"phase\":\"" << entry.phase
                << "\",\"size\":1.0,\"up_since_ms\":" << entry.up_since_ms << "}";
            separator = ",";
        }
        out << "]}";
        return out.str();
    }
    static bool send_chunk(Connection& connection, const std::string& line) {
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", line.size() + 1);
        return connection.send(size + line + "\n\r\n");
    }
    void serve(Connection& connection) override {
        std::string line, call;
        while (connection.read_line(line, 5) == Connection::Read::line && !line.empty())
            if (call.empty()) call = line;
        if (call.empty()) return;
        ++calls_;
        const auto at = call.find("index=");
        int known = at == std::string::npos ? 0 : std::atoi(call.c_str() + at + 6);
        connection.send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n");
        std::unique_lock lock(mutex_);
        const int outage = outages_;
        record("discovery is called: %s", call.c_str());
        for (bool first = true;; first = false) {
            if (down_ || outage != outages_) return connection.reset();
            std::string text;
            if (first || known < revision_) {
                text = list_after(known > revision_ ? 0 : known);
                known = revision_;
                record("discovery writes %s", text.c_str());
            }
            lock.unlock();
            const bool sent = send_chunk(connection, text);
            lock.lock();
            if (!sent) return;
            changed_.wait_for(lock, std::chrono::seconds(2),
                              [&] { return down_ || outage != outages_ || known < revision_; });
        }
    }
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, Entry> entries_;
    int revision_ = 40, outages_ = 0;
    bool down_ = false;
    std::atomic<int> calls_{0};
};

// The value of a key in the deploy file.
inline std::string deploy_command(const std::string& key) {
    std::ifstream file("deploy/balancer.toml");
    for (std::string line; std::getline(file, line);) {
        if (line.rfind(key + " = \"", 0) != 0) continue;
        const auto from = line.find('"') + 1;
        return line.substr(from, line.find('"', from) - from);
    }
    record("deploy/balancer.toml has no %s", key.c_str());
    std::_Exit(could_not_run);
}

// A node's process, started by the deploy file's command.
class Node {
  public:
    Node(std::string node_name, int last_byte, std::string folder)
        : name(std::move(node_name)), listen(free_endpoint(last_byte)), folder_(std::move(folder)) {}
    const std::string name;
    const Endpoint listen;
    rlim_t max_descriptors = 0;  // of the process; 0: as this one
    Endpoint admin;  // where operators call; none if it has no address
    // The platform holds the clients' listening socket, which each process inherits as descriptor 5. To be called before start.
    void hold_listener() {
        Endpoint endpoint = listen;
        held_listener_ = listen_on(endpoint);
        if (held_listener_ < 0) std::_Exit(could_not_run);
    }
    pid_t process() const { return pid_; }
    // Whether the operators' call for readiness is answered with yes.
    bool reports_ready() const {
        Connection connection;
        std::string line;
        return connection.connect(admin) && connection.send("GET /healthcheck HTTP/1.1\r\nHost: node\r\n\r\n") &&
               connection.read_line(line, 1) == Connection::Read::line && line.find(" 200") != std::string::npos;
    }
    // The process that runs, which goes on when another one is started in its place.
    pid_t release_process() { return std::exchange(pid_, -1); }
    // The file is replaced as a whole.
    void replace_configuration(const std::string& configuration) const {
        const std::string path = folder_ + "/" + name + ".json";
        std::ofstream(path + ".new") << "{\"name\":\"" << name << "\",\"listen\":\"" << listen.text() << "\"," << configuration
                                     << "}";
        std::rename((path + ".new").c_str(), path.c_str());
        record("the configuration of node %s is replaced", name.c_str());
    }
    // `configuration`: all but name and listen.
    void start(const std::string& configuration, int number_of_start = 1) {
        const std::string base = folder_ + "/" + name, path = base + ".json";
        std::ofstream(path) << "{\"name\":\"" << name << "\",\"listen\":\"" << listen.text() << "\"," << configuration << "}";
        const std::string tmp = base + "-tmp";
        ::mkdir(tmp.c_str(), 0700);
        const std::string log = base + "-" + std::to_string(number_of_start) + ".log";
        const std::string command = deploy_command("run");
        std::vector<std::string> environment{"NODE_NAME=" + name, "NODE_LISTEN=" + listen.text(), "NODE_CONFIG=" + path,
                                             "TMPDIR=" + tmp, "PATH=/usr/bin:/bin"};
        if (const char* level = std::getenv("LEMONSTAIR_LOG")) environment.push_back(std::string("LEMONSTAIR_LOG=") + level);
        if (held_listener_ >= 0) environment.emplace_back("NODE_INHERITED_FD=5");
        if (!admin.ip.empty()) environment.push_back("NODE_ADMIN_ADDR=" + admin.text());
        std::vector<char*> envp;
        for (std::string& each : environment) envp.push_back(each.data());
        envp.push_back(nullptr);
        const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
        pid_ = ::fork();
        if (pid_ == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            ::dup2(out, 1);
            ::dup2(out, 2);
            if (held_listener_ >= 0) ::dup2(held_listener_, 5);
            if (max_descriptors > 0) {
                const rlimit limit{max_descriptors, max_descriptors};
                ::setrlimit(RLIMIT_NOFILE, &limit);
            }
            ::execle("/bin/sh", "sh", "-c", command.c_str(), static_cast<char*>(nullptr), envp.data());
            ::_exit(127);
        }
        ::close(out);
        record("node %s started, process %d", name.c_str(), static_cast<int>(pid_));
    }
    bool answers_yes() const {
        Connection connection;
        std::string line;
        return connection.connect(listen) && connection.send("PING\r\n") &&
               connection.read_line(line, 1) == Connection::Read::line && line == "PONG";
    }
    void await_ready() const {
        for (const double until = now() + 30; now() < until; sleep_for(0.05))
            if (answers_yes()) {
                record("node %s is ready", name.c_str());
                return;
            }
        record("node %s is not ready within 30 s", name.c_str());
        std::_Exit(could_not_run);
    }
    void signal(int number) const {
        record("node %s gets signal %s", name.c_str(), ::strsignal(number));
        if (pid_ > 0) ::kill(pid_, number);
    }
    // Whether the process has ended; waits for that for `timeout`.
    bool ended(double timeout) {
        for (const double until = now() + timeout;; sleep_for(0.01)) {
            int status = 0;
            if (pid_ <= 0) return true;
            if (::waitpid(pid_, &status, WNOHANG) == pid_) {
                record("node %s ended, %s %d", name.c_str(), WIFSIGNALED(status) ? "by signal" : "with status",
                       WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status));
                pid_ = -1;
                return true;
            }
            if (now() >= until) return false;
        }
    }
    void kill() {
        if (pid_ <= 0) return;
        signal(SIGKILL);
        ended(5);
    }

  private:
    std::string folder_;
    pid_t pid_ = -1;
    int held_listener_ = -1;
};

// A client: one connection after the other. It sends its request, waits, and then sends a line every 2 s.
class Client {
  public:
    enum class End { none, moved, ended_by_node, reset_by_node, left, answered };
    struct Result {
        std::string id, answer;  // the line that answered the request; empty: none came
        double sent_at = 0, answered_at = 0, ended_at = 0;
        End end = End::none;
        std::string half_line;  // what had come of a line when the connection ended
        int lines = 0;
    };
    static std::string new_id() {
        static std::mutex mutex;
        static std::mt19937_64 random(std::random_device{}());
        const std::lock_guard lock(mutex);
        char text[20];
        std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(random()));
        return text;
    }
    // Opens a connection and keeps it until it ends, until `leave` is set, or for `life` seconds.
    static Result run(const Endpoint& node, const std::string& traffic_class, int wait_ms, const std::atomic<bool>& leave,
                      double first_line_after = 1, const std::function<void(const Result&)>& on_answer = {},
                      double life = 600) {
        Result result;
        result.id = new_id();
        Connection connection;
        result.sent_at = now();
        const std::string request = "OPEN " + result.id + " " + new_id() + " c=" + traffic_class +
                                    ",d=" + std::to_string(wait_ms) + ",g=" + new_id();
        if (!connection.connect(node) || !connection.send(request + "\r\n")) {
            result.end = End::reset_by_node;
            result.ended_at = now();
            return result;
        }
        result.sent_at = now();  // a request's time counts from its last byte
        std::string line;
        const auto read = connection.read_line(line, wait_ms / 1000.0 + 2);
        result.answered_at = now();
        if (read == Connection::Read::line) result.answer = line;
        record("client %s: %s after %.0f ms", result.id.c_str(), result.answer.empty() ? "no answer" : line.c_str(),
               (result.answered_at - result.sent_at) * 1000);
        if (on_answer) on_answer(result);
        if (result.answer.rfind("UP", 0) != 0) {
            result.end = End::answered;
            result.ended_at = now();
            return result;
        }
        double next_line = now() + first_line_after;
        for (int sent = 0;;) {
            if (leave || now() > result.answered_at + life) {
                result.end = End::left;
                break;
            }
            if (now() >= next_line) {
                connection.send("LINE " + std::to_string(++sent) + " of " + result.id + "\r\n");
                next_line += 2;
            }
            const auto got = connection.read_line(line, std::max(0.001, std::min(0.05, next_line - now())));
            if (got == Connection::Read::timed_out) continue;
            if (got == Connection::Read::line) {
                ++result.lines;
                if (line != "MOVE") continue;
                result.end = End::moved;
                break;
            }
            result.end = got == Connection::Read::ended ? End::ended_by_node : End::reset_by_node;
            result.half_line = connection.rest();
            break;
        }
        result.ended_at = now();
        return result;
    }
};

// Clients that connect, say nothing, and come again as soon as they are turned away.
class Crowd {
  public:
    void start(const Endpoint& node, int size) {
        thread_ = std::thread([this, node, size] {
            std::vector<int> fds(static_cast<std::size_t>(size), -1);
            while (!stop_) {
                for (int& fd : fds) {
                    if (fd >= 0) continue;
                    fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
                    const sockaddr_in address = socket_address(node);
                    static_cast<void>(::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address));
                }
                sleep_for(0.1);
                for (int& fd : fds) {
                    char bytes[256];
                    const ssize_t n = ::recv(fd, bytes, sizeof bytes, MSG_DONTWAIT);
                    if (n < 0 && (errno == EAGAIN || errno == ENOTCONN)) continue;
                    ::close(fd);
                    fd = -1;
                    ++turned_away_;
                }
            }
            for (const int fd : fds)
                if (fd >= 0) ::close(fd);
        });
    }
    void stop() {
        stop_ = true;
        if (thread_.joinable()) thread_.join();
    }
    int turned_away() const { return turned_away_; }

  private:
    std::thread thread_;
    std::atomic<bool> stop_{false};
    std::atomic<int> turned_away_{0};
};

// Lets this process hold as many descriptors as it may.
inline void raise_descriptor_limit(rlim_t wanted) {
    rlimit limit{};
    ::getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = std::min(limit.rlim_max, std::max(limit.rlim_cur, wanted));
    ::setrlimit(RLIMIT_NOFILE, &limit);
    if (limit.rlim_cur >= wanted) return;
    record("the system allows this process only %llu descriptors", static_cast<unsigned long long>(limit.rlim_cur));
    std::_Exit(could_not_run);
}

// Ends the case when it takes too long.
inline void limit_time(int seconds) {
    std::thread([seconds] {
        sleep_for(seconds);
        record("the case took longer than %d s", seconds);
        std::_Exit(could_not_run);
    }).detach();
}

inline bool with_trouble() {
    const char* trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::string(trouble) != "0";
}

// argv: the folder of the case, and a temporary folder. The working directory is the repository's root.
inline std::string begin_case(int argc, char** argv) {
    if (argc != 3) std::_Exit(could_not_run);
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // the nodes end with this process, and this process with its shell
    ::signal(SIGPIPE, SIG_IGN);
    record.open(std::string(argv[1]) + "/record.txt");
    record("%s", with_trouble() ? "with the disruption" : "without the disruption");
    limit_time(115);
    return argv[2];
}

// Threads of the stand-ins still run: ends the process at once. The nodes must have been killed.
[[noreturn]] inline void finish(ExitCode code, const std::string& verdict) {
    record("%s", verdict.c_str());
    std::printf("%s\n", verdict.c_str());
    std::fflush(stdout);
    std::_Exit(code);
}

}  // namespace review
