// A toy for trying a node: plays discovery and any number of hosts in one process.
//     lemonstair_example_server DISCOVERY HOST [HOST ...]        each an address and a port
// A host opens every tunnel, echoes its lines, and tells as its load how many it holds of ten.
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

class Toy final : public net::EventHandler {
  public:
    Toy(net::EventLoop& loop, const std::vector<std::string>& names) : loop_(loop), open_(names.size()) {
        for (const auto& name : names) {
            const auto at = net::parse_address(name);
            if (!at) throw std::invalid_argument("'" + name + "' is not an address and a port");
            const auto n = doors_.size();
            doors_.emplace_back(loop, loop.system().listen_on(*at), POLLIN, *this, n);
            if (n > 0)
                members_ += std::string(n > 1 ? "," : "") + R"({"id":"toy-)" + std::to_string(n) +
                            R"(","host_port":")" + name +
                            R"(","locality":"here","phase":"in_service","size":1.0,"up_since_ms":0})";
        }
        loop.schedule(loop.now() + sign_every, *this, 0);
    }
    void on_ready(std::uint64_t token, short) override {
        if (token < doors_.size()) return accept(token);
        const auto it = lines_.find(token);
        if (it == lines_.end()) return;
        std::array<char, 4096> bytes;
        const auto got = it->second.socket.read(bytes);
        it->second.text.append(bytes.data(), got.bytes);
        bool over = got.ended || got.error != 0;
        for (std::size_t end; !over && (end = it->second.text.find('\n')) != std::string::npos;) {
            const std::string line = it->second.text.substr(0, end + 1);
            it->second.text.erase(0, end + 1);
            over = !heard(it->second, line);
        }
        if (over || it->second.text.size() > 4096) close(it);
    }
    // A watch is told every two seconds that it stands.
    void on_timer(std::uint64_t) override {
        for (auto& [token, line] : lines_)
            if (line.door == 0 && line.watches) line.socket.write("1\r\n\n\r\n");
        loop_.schedule(loop_.now() + sign_every, *this, 0);
    }

  private:
    static constexpr net::Ticks sign_every = 20000;
    struct Line {
        net::Socket socket;
        std::size_t door = 0;
        std::string text;
        bool tunnel = false, watches = false;
    };
    using Lines = std::map<std::uint64_t, Line>;
    void accept(std::size_t door) {
        net::Fd fd = doors_[door].accept();
        if (!fd.open()) return;
        const std::uint64_t token = next_++;
        lines_[token].door = door;
        lines_[token].socket = net::Socket(loop_, std::move(fd), POLLIN, *this, token);
    }
    void close(Lines::iterator at) {
        if (at->second.tunnel) --open_[at->second.door];
        lines_.erase(at);
    }
    static bool say(Line& to, std::string_view text) { return to.socket.write(text).bytes == text.size(); }
    bool heard(Line& from, const std::string& line) {
        if (from.door == 0) {
            if (line.substr(0, 4) != "GET ") return true;  // the call's other head lines
            const std::string list = R"({"revision":1,"complete":true,"members":[)" + members_ + "]}\n";
            std::ostringstream answer;
            answer << "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                   << std::hex << list.size() << "\r\n"
                   << list << "\r\n";
            from.watches = true;
            return say(from, answer.str());
        }
        if (from.tunnel) return say(from, line);
        if (line.substr(0, 4) == "PING") return say(from, "PONG\r\n");
        if (line.substr(0, 5) == "STATS")
            return say(from, "PONG x0=" + std::to_string(0.1 * open_[from.door]) + "\r\n");
        if (line.substr(0, 5) != "OPEN ") return false;
        from.tunnel = true;
        ++open_[from.door];
        std::cout << "toy-" << from.door << " opens " << line << std::flush;
        return say(from, "UP toy-" + std::to_string(from.door) + "\r\n");
    }
    net::EventLoop& loop_;
    std::vector<int> open_;  // tunnels, by door
    std::vector<net::Socket> doors_;
    std::string members_;
    Lines lines_;
    std::uint64_t next_ = 1 << 16;
};

}  // namespace

int main(int argc, char** argv) {
    if (argc < 3) {
        std::cerr << "usage: lemonstair_example_server DISCOVERY HOST [HOST ...]\n";
        return 2;
    }
    try {
        net::Kernel kernel;
        net::EventLoop loop(kernel);
        Toy toy(loop, {argv + 1, argv + argc});
        for (;;) loop.run_once([] {});
    } catch (const std::exception& e) {
        std::cerr << "lemonstair_example_server: " << e.what() << '\n';
        return 1;
    }
}
