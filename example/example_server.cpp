// A server for trying out a node: discovery and any number of endpoints in one process.
//     lemonstair_example_server DISCOVERY ENDPOINT [ENDPOINT ...]
// Each argument is an address and a port, such as 127.0.0.1:8500. An endpoint opens every tunnel and echoes
// its lines. The load that it reports is 0.1 for each open tunnel.
#include <poll.h>
#include <sys/socket.h>

#include <array>
#include <iostream>
#include <map>
#include <sstream>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "net/clock.h"
#include "net/kernel.h"
#include "net/loop.h"

namespace {

using lemonstair::net::Address;
namespace net = lemonstair::net;

class ExampleServer final : public net::EventHandler {
  public:
    // The first address is that of discovery, the others are those of the endpoints. Throws
    // std::invalid_argument for a text that is not an address, and std::system_error where an address cannot
    // be bound.
    ExampleServer(net::EventLoop& loop, const std::vector<std::string>& addresses)
        : loop_(loop), open_tunnels_(addresses.size()) {
        for (const auto& name : addresses) {
            const auto address = net::parse_address(name);
            if (!address) throw std::invalid_argument("'" + name + "' is not an IPv4 address and a port");
            const auto index = listeners_.size();
            listeners_.emplace_back(loop, loop.system().listen_on(*address), POLLIN, *this, index);
            if (index > 0)
                endpoints_ += std::string(index > 1 ? "," : "") + R"({"id":"toy-)" + std::to_string(index) +
                              R"(","host_port":")" + name +
                              R"(","locality":"here","phase":"in_service","size":1.0,"up_since_ms":0})";
        }
        loop.schedule(loop.now() + keep_alive_interval, *this, 0);
    }
    void on_ready(std::uint64_t token, short) override {
        if (token < listeners_.size()) return accept(token);
        const auto it = connections_.find(token);
        if (it == connections_.end()) return;
        std::array<char, 4096> bytes;
        const auto received = it->second.socket.read(bytes);
        it->second.text.append(bytes.data(), received.bytes);
        bool closing = received.ended || received.error != 0;
        std::string& text = it->second.text;
        while (!closing) {
            const auto end = text.find('\n');
            if (end == std::string::npos) break;
            const std::string line = text.substr(0, end + 1);
            text.erase(0, end + 1);
            closing = !handle_line(it->second, line);
        }
        if (closing || text.size() > 4096) close(it);
    }
    // Sends an empty line on each watch, so that the node knows that the watch is alive.
    void on_timer(std::uint64_t) override {
        for (auto& [token, connection] : connections_)
            if (connection.listener == discovery && connection.is_watch)
                connection.socket.write("1\r\n\n\r\n");
        loop_.schedule(loop_.now() + keep_alive_interval, *this, 0);
    }

  private:
    static constexpr net::Ticks keep_alive_interval = 20000;  // tenths of a ms
    static constexpr std::size_t discovery = 0;  // index of its listener; the others are endpoints
    // An accepted connection. A watch is a request to discovery whose response goes on with later changes.
    struct Connection {
        net::Socket socket;
        std::size_t listener = 0;  // index of the listener that accepted it
        std::string text;          // received and not yet handled
        bool is_tunnel = false, is_watch = false;
    };
    using Connections = std::map<std::uint64_t, Connection>;
    void accept(std::size_t listener) {
        net::Fd fd = listeners_[listener].accept();
        if (!fd.open()) return;
        const std::uint64_t token = next_token_++;
        connections_[token].listener = listener;
        connections_[token].socket = net::Socket(loop_, std::move(fd), POLLIN, *this, token);
    }
    void close(Connections::iterator it) {
        if (it->second.is_tunnel) --open_tunnels_[it->second.listener];
        connections_.erase(it);
    }
    // False where the text could not be sent completely; the connection is then to be closed.
    static bool send(Connection& connection, std::string_view text) {
        return connection.socket.write(text).bytes == text.size();
    }
    // Handles one line, with its line end. False where the connection is to be closed.
    bool handle_line(Connection& connection, const std::string& line) {
        if (connection.listener == discovery) {
            if (line.substr(0, 4) != "GET ") return true;  // a header line of the request
            const std::string list = R"({"revision":1,"complete":true,"members":[)" + endpoints_ + "]}\n";
            std::ostringstream response;
            response << "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                     << std::hex << list.size() << "\r\n"
                     << list << "\r\n";
            connection.is_watch = true;
            return send(connection, response.str());
        }
        if (connection.is_tunnel) return send(connection, line);
        if (line.substr(0, 4) == "PING") return send(connection, "PONG\r\n");
        if (line.substr(0, 5) == "STATS")
            return send(connection,
                        "PONG x0=" + std::to_string(0.1 * open_tunnels_[connection.listener]) + "\r\n");
        if (line.substr(0, 5) != "OPEN ") return false;
        connection.is_tunnel = true;
        ++open_tunnels_[connection.listener];
        std::cout << "toy-" << connection.listener << " opens " << line << std::flush;
        return send(connection, "UP toy-" + std::to_string(connection.listener) + "\r\n");
    }
    net::EventLoop& loop_;
    std::vector<int> open_tunnels_;  // number of open tunnels by listener
    std::vector<net::Socket> listeners_;
    std::string endpoints_;
    Connections connections_;
    std::uint64_t next_token_ = 1 << 16;
};

}  // namespace

int main(int argc, char** argv) {
    if (argc < 3) {
        std::cerr << "usage: lemonstair_example_server DISCOVERY ENDPOINT [ENDPOINT ...], each an IPv4 "
                     "address and a "
                     "port\n";
        return 2;
    }
    try {
        net::Kernel kernel;
        net::EventLoop loop(kernel);
        ExampleServer server(loop, {argv + 1, argv + argc});
        for (;;) loop.run_once([] {});
    } catch (const std::exception& error) {
        std::cerr << "lemonstair_example_server: " << error.what() << '\n';
        return 1;
    }
}
