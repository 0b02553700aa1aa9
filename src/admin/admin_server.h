// The desk: where operators call. Few callers at a time, on descriptors set aside for them, each heard and
// answered before clients are in a pass of the loop.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "admin/routes.h"
#include "http/request.h"
#include "log/log.h"
#include "net/loop.h"

namespace lemonstair::admin {

class AdminServer final : public net::EventHandler {
  public:
    AdminServer(net::EventLoop& loop, AdminHandler& node, log::Log& log)
        : loop_(loop), node_(node), log_(log) {}
    // At most so many callers at a time. Throws std::system_error where the address cannot be had.
    void open(const net::Address& at, std::size_t callers);
    std::size_t callers() const { return here_; }

    void on_ready(std::uint64_t token, short events) override;
    void on_timer(std::uint64_t token) override;

  private:
    // Away; its call is awaited; its answer goes out; what it still says is thrown away until it ends.
    enum class State : std::uint8_t { away, calling, told, leaving };
    struct Connection {
        net::Socket socket;
        http::Request request;
        std::string answer;
        net::Ticks since = 0;
        bool before_crowd = false;  // it came while most places were free
        State state = State::away;
    };
    void accept();
    void rest(net::Ticks span);
    bool make_room();
    void go(Connection& caller, State to);
    void hear(Connection& caller);
    void tell(Connection& caller, std::string&& text);
    void write(Connection& caller);
    void discard(Connection& caller);

    net::EventLoop& loop_;
    AdminHandler& node_;
    log::Log& log_;
    net::Socket listener_;
    std::vector<Connection> callers_;  // places, as many as there may be
    std::size_t here_ = 0;
    bool watched_ = false;  // the timer that looks after slow callers runs
    std::uint64_t turned_away_ = 0;
    net::Ticks logged_at_ = 0;
};

}  // namespace lemonstair::admin
