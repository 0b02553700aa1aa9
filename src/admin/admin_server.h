/// The admin server: a small HTTP server for operators. Its connections are few. They use descriptors that
/// are reserved for them, and in each pass of the event loop they are handled before clients, so that a node
/// full of clients still answers its operators.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "admin/routes.h"
#include "http/request.h"
#include "log/log.h"
#include "net/loop.h"

namespace lemonstair::admin {

/// A connection carries one request and its response.
class AdminServer final : public net::EventHandler {
  public:
    AdminServer(net::EventLoop& loop, AdminHandler& handler, log::Log& log)
        : loop_(loop), handler_(handler), log_(log) {}
    // Starts to accept connections; throws std::system_error where the address cannot be bound.
    void open(const net::Address& address, std::size_t max_connections);
    std::size_t open_connections() const { return open_connections_; }

    void on_ready(std::uint64_t token, short events) override;
    void on_timer(std::uint64_t token) override;

  private:
    // unused: the slot is free. closing: the response is written, and further input is discarded until the
    // client closes the connection.
    enum class State : std::uint8_t { unused, reading, writing, closing };
    struct Connection {
        net::Socket socket;
        http::Request request;
        std::string response;
        net::Ticks state_since = 0;
        bool is_early = false;  // accepted while more than half of the slots were free
        State state = State::unused;
    };
    void accept();
    void pause_accepting(net::Ticks duration);
    bool evict_one();
    void transition_to(Connection& connection, State state);
    void read(Connection& connection);
    void send_response(Connection& connection, std::string&& response);
    void write(Connection& connection);
    void discard(Connection& connection);
    void close_expired();

    net::EventLoop& loop_;
    AdminHandler& handler_;
    log::Log& log_;
    net::Socket listener_;
    std::vector<Connection> connections_;  // one slot for each allowed connection
    std::size_t open_connections_ = 0;
    bool expiry_timer_set_ = false;
    std::uint64_t evicted_ = 0;
    net::Ticks eviction_logged_at_ = 0;
};

}  // namespace lemonstair::admin
