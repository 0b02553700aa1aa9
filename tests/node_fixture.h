// A real node on the loopback interface that runs in the thread of the test. The test itself acts as its
// clients, servers and discovery service.
#pragma once
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <system_error>
#include <thread>
#include <utility>
#include <vector>

#include "balance/balance.h"
#include "config/node_config.h"
#include "config/source.h"
#include "json/json.h"
#include "log/log.h"
#include "net/fd.h"
#include "net/kernel.h"
#include "node/node.h"

namespace fake {

using namespace lemonstair;

// Blocks the thread of the test, and with it all nodes that run in it.
inline void stall(int ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

// The test's end of a connection, as a client, server, discovery service or operator.
struct TestConnection {
    net::Fd fd;
    std::string received;  // all bytes received since the test last cleared it
    bool ended = false, reset = false;

    void send(std::string_view text) { net::write_some(fd.get(), text); }
    void shutdown_write() { ::shutdown(fd.get(), SHUT_WR); }
    // Closes the connection with a reset.
    void abort() {
        const linger reset_at_once{1, 0};
        ::setsockopt(fd.get(), SOL_SOCKET, SO_LINGER, &reset_at_once, sizeof reset_at_once);
        fd.close();
    }
    // Reads what has arrived.
    void receive() {
        std::array<char, 8192> bytes;
        for (;;) {
            const auto result = net::read_some(fd.get(), bytes);
            ended = ended || result.ended;
            reset = reset || result.error != 0;
            if (result.bytes == 0) return;
            received.append(bytes.data(), result.bytes);
        }
    }
    bool has_received(std::string_view text) {
        receive();
        return received.find(text) != std::string::npos;
    }
    bool is_closed() {
        receive();
        return ended || reset;
    }
};

// A listening socket on the loopback interface, of a server or the discovery service. A temporary one also
// serves to find a free port.
struct TestListener {
    net::Fd fd;
    net::Address address;
    TestListener() {
        address.socket_address.sin_family = AF_INET;
        address.socket_address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        fd = net::listen_on(address);
        socklen_t size = sizeof address.socket_address;
        ::getsockname(fd.get(), reinterpret_cast<sockaddr*>(&address.socket_address), &size);
    }
    std::string host_port() const {
        return "127.0.0.1:" + std::to_string(ntohs(address.socket_address.sin_port));
    }
    // The next connection in the queue; its fd is not open if there is none.
    TestConnection accept() const {
        return {net::Fd(::accept4(fd.get(), nullptr, nullptr, SOCK_NONBLOCK)), {}};
    }
};

// The kernel, with injected faults. With `shared`, several nodes run alternately in one thread: no poll lasts
// longer than 1 ms, so that none delays the others.
struct FaultyKernel final : net::Kernel {
    bool shared = false;
    // Runs once, after the next poll has returned: the current pass does not see its effects.
    std::function<void()> after_poll;
    // Runs once, after the next peek of a connection that has nothing to read.
    std::function<void()> after_empty_peek;
    std::size_t cut_lines_at = 0;  // the first write of an OPEN line takes only this many bytes; 0: all
    // The next `calls` calls fail with `error`, an errno.
    struct InjectedFailure {
        int calls = 0, error = 0;
        bool fail_next() {
            if (calls == 0) return false;
            --calls;
            errno = error;
            return true;
        }
    };
    InjectedFailure poll_failures, accept_failures, connect_failures, listen_failures;
    net::Fd listen_on(const net::Address& address) override {
        if (listen_failures.fail_next()) throw std::system_error(errno, std::generic_category(), "listen");
        return Kernel::listen_on(address);
    }
    std::function<int(int fd)> connection_error;  // replaces Kernel::connect_error
    Ticks clock_ahead = 0;
    Ticks now() override { return Kernel::now() + clock_ahead; }
    Ticks clock_base() override { return Kernel::clock_base() + clock_ahead; }
    net::Fd accept(int listener) override {
        return accept_failures.fail_next() ? net::Fd() : Kernel::accept(listener);
    }
    net::Fd connect_to(const net::Address& to) override {
        return connect_failures.fail_next() ? net::Fd() : Kernel::connect_to(to);
    }
    int connect_error(int fd) override {
        return connection_error ? connection_error(fd) : Kernel::connect_error(fd);
    }
    int poll(std::span<pollfd> set, Ticks longest) override {
        if (!set.empty() && poll_failures.fail_next()) return -1;
        const int ready = Kernel::poll(set, shared ? std::min<Ticks>(longest, 10) : longest);
        if (after_poll) std::exchange(after_poll, nullptr)();
        return ready;
    }
    net::IoResult peek(int fd, std::span<char> into) override {
        const net::IoResult peeked = Kernel::peek(fd, into);
        if (peeked.bytes == 0 && after_empty_peek) std::exchange(after_empty_peek, nullptr)();
        return peeked;
    }
    net::IoResult write_some(int fd, std::string_view text) override {
        if (cut_lines_at > 0 && text.substr(0, 5) == "OPEN ")
            text = text.substr(0, std::exchange(cut_lines_at, 0));
        return Kernel::write_some(fd, text);
    }
};

// An open tunnel: the client's connection and the server's.
struct OpenTunnel {
    TestConnection client, server;
};

// Starts a node that knows the endpoints "a" and "b", which are server_a and server_b. Discovery does not
// answer unless the test accepts its connection.
struct NodeFixture {
    struct Options {
        std::string mode = "pass";  // "pass": packet passthrough; "proxy": without it
        int max_descriptors = 256;
        bool health_checks = false;
        int log_descriptor = -1;           // -1: no log
        bool admin = false;                // with an admin server
        bool inherits_listener = false;    // the node is started with the listening socket for clients
        std::string client_timeout = "3";  // in s
        std::string drain_grace = "3";     // of endpoints that drain, in s
        std::string slow_start = "";       // more keys of the rules, as JSON
        log::Level log_level = log::Level::error;
    };
    TestListener server_a, server_b, discovery;
    std::string address = TestListener().host_port(), admin_address = TestListener().host_port();
    FaultyKernel kernel, next_kernel;  // next_kernel: of the new process in a hot restart
    log::DescriptorSink log_sink;
    log::Log log;
    json::Document config_document;
    std::string config_text;
    net::Fd listener;                        // of Options::inherits_listener
    std::string restart_folder;              // for the socket of a hot restart
    std::unique_ptr<node::Node> node, next;  // next: the new process in a hot restart
    bool running = true, next_running = false;
    int requests_made = 0;
    int failing_reads = 0;              // this many of the next reloads find an invalid file
    bool configuration_locked = false;  // reloads find no descriptor to read the file with

    NodeFixture() : NodeFixture(Options{}) {}
    explicit NodeFixture(const Options& options, Ticks clock_ahead = 0,
                         FaultyKernel::InjectedFailure listen_failures = {})
        : log_sink(options.log_descriptor), log(options.log_level, log_sink) {
        kernel.clock_ahead = clock_ahead;
        kernel.listen_failures = listen_failures;
        config_text = R"({"name":"n0","listen":")" + address + R"(","discovery":")" + discovery.host_port() +
                      (options.admin ? R"(","admin_addr":")" + admin_address : "") +
                      R"(","seed":"8c1f","limits":{"sockets":)" + std::to_string(options.max_descriptors) +
                      R"(},"known":{"revision":4,"complete":true,"members":[)" + member("a", server_a) + "," +
                      member("b", server_b) +
                      R"(]},"settings":{"balancers":1,"me":0,"zone":0,"zones":["z"],"granularity":0.005,)" +
                      R"("membership_mode":"push","domain":{"mode":")" + options.mode +
                      R"("},"limits":{"max_setups":3,"connect_timeout":0.25,"probing":)" +
                      (options.health_checks ? "true" : "false") +
                      R"(},"report":{"via":"probe","columns":["x0"]},"rules":{"stop_sending_within":)" +
                      options.drain_grace + options.slow_start + R"(},)" +
                      R"("profiles":[{"name":"chat","setup_goal":0.3,"client_timeout":)" +
                      options.client_timeout + R"(,"credit":1,)" +
                      R"("effect":"read_like","stream":true}]}})";
        config_document.parse(config_text);
        if (options.inherits_listener) {
            listener = net::listen_on(*net::parse_address(address));
            std::array<char, 32> made{"/tmp/lemonstair-test-XXXXXX"};
            restart_folder = ::mkdtemp(made.data());
        }
        node = start(kernel);
    }
    NodeFixture(const NodeFixture&) = delete;
    NodeFixture& operator=(const NodeFixture&) = delete;
    ~NodeFixture() {
        node.reset();
        next.reset();
        if (!restart_folder.empty()) std::filesystem::remove_all(restart_folder);
    }
    config::NodeConfig parse_config() {
        const std::string fd = std::to_string(listener.open() ? ::dup(listener.get()) : -1);
        return config::parse_node_config(
            config_document.root(), {.inherited_fd = listener.open() ? fd.c_str() : nullptr,
                                     .tmpdir = restart_folder.empty() ? nullptr : restart_folder.c_str()});
    }
    std::unique_ptr<node::Node> start(net::System& system) {
        return std::make_unique<node::Node>(system, parse_config(), config_document.root().object("known"),
                                            log, [this] {
                                                if (configuration_locked)
                                                    throw config::TransientReadError("no descriptor");
                                                if (failing_reads > 0 && failing_reads-- > 0)
                                                    throw json::Malformed("cannot be read");
                                                if (!config_document.parse(config_text))
                                                    throw json::Malformed("not JSON");
                                                return config::parse_node_config(config_document.root());
                                            });
    }
    // Begins a hot restart: starts a new process, with its own admin address, beside the old one.
    void upgrade() {
        const std::string old_address = std::exchange(admin_address, TestListener().host_port());
        if (const auto position = config_text.find(old_address); position != std::string::npos)
            config_text.replace(position, old_address.size(), admin_address);
        config_document.parse(config_text);
        next = start(next_kernel);
        next_running = kernel.shared = next_kernel.shared = true;
    }
    // To be called when the old process has exited: the new one becomes `node`.
    void retire_old_node() {
        node = std::move(next);
        running = std::exchange(next_running, false);
    }
    // An entry of the endpoint list.
    static std::string member(std::string_view id, const TestListener& server,
                              std::string_view state = "in_service") {
        return std::string(R"({"id":")").append(id).append(R"(","host_port":")").append(server.host_port()) +
               std::string(R"(","locality":"z","phase":")")
                   .append(state)
                   .append(R"(","size":1,"up_since_ms":0})");
    }
    // Runs the event loops of the node and of the new process until the condition holds. Returns false if it
    // does not within `ms`.
    bool run_until(const std::function<bool()>& condition, int ms = 3000) {
        const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(ms);
        while (!condition()) {
            if (std::chrono::steady_clock::now() > end) return false;
            if (running) running = node->run_once();
            if (next_running) next_running = next->run_once();
        }
        return true;
    }
    void run_for(int ms) {
        run_until([] { return false; }, ms);
    }
    // Connects and sends `line`, if any.
    TestConnection connect_client(std::string_view line = "") const {
        TestConnection client{net::connect_to(*net::parse_address(address)), {}};
        pollfd connected{client.fd.get(), POLLOUT, 0};
        ::poll(&connected, 1, 1000);
        if (!line.empty()) client.send(line);
        return client;
    }
    // A connection to the admin server.
    TestConnection connect_admin(std::string_view call = "") const {
        TestConnection connection{net::connect_to(*net::parse_address(admin_address)), {}};
        pollfd connected{connection.fd.get(), POLLOUT, 0};
        ::poll(&connected, 1, 1000);
        if (!call.empty()) connection.send(call);
        return connection;
    }
    // Sends an admin request and returns the complete response.
    std::string call_admin(std::string_view text) {
        TestConnection connection = connect_admin(text);
        run_until([&] { return connection.is_closed(); });
        return connection.received;
    }
    std::string get(const std::string& path) {
        return call_admin("GET " + path + " HTTP/1.1\r\nHost: n\r\n\r\n");
    }
    std::string post(const std::string& path) {
        return call_admin("POST " + path + " HTTP/1.1\r\nHost: n\r\nContent-Length: 0\r\n\r\n");
    }
    // Accepts the next attempt at either server and receives its request line. Sets `at` to that server.
    TestConnection accept_attempt(const TestListener** at = nullptr) {
        TestConnection attempt;
        run_until([&] {
            for (const TestListener* server : {&server_a, &server_b}) {
                if (attempt.fd.open()) break;
                attempt = server->accept();
                if (at != nullptr) *at = server;
            }
            return attempt.fd.open() && attempt.has_received("\n");
        });
        return attempt;
    }
    // A request line with a new id.
    std::string open_line() { return "OPEN " + std::to_string(++requests_made) + " k c=chat,d=2000\r\n"; }
    // Opens a tunnel at either server.
    OpenTunnel open_tunnel() {
        TestConnection client = connect_client(open_line()), server = accept_attempt();
        server.send("UP r\r\n");
        run_until([&] { return client.has_received("UP r\r\n"); });
        client.received.clear();
        server.received.clear();
        return {std::move(client), std::move(server)};
    }
};

}  // namespace fake
