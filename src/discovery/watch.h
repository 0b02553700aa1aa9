/// The watch on discovery: one HTTP request whose response stays open and streams the changes of the endpoint
/// list. Each line is a list in JSON; an empty line means that nothing has changed.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "discovery/http_lines.h"
#include "json/json.h"
#include "log/log.h"
#include "metrics/resource_counters.h"
#include "net/buffer_pool.h"
#include "net/loop.h"
#include "net/transfer.h"

namespace lemonstair::discovery {

/// Receives what the watch reports.
class WatchListener {
  public:
    WatchListener() = default;
    WatchListener(const WatchListener&) = delete;
    WatchListener& operator=(const WatchListener&) = delete;
    virtual ~WatchListener() = default;
    /// Returns false where the value is not an endpoint list; the watch is then lost.
    virtual bool on_list(const json::Value& list) = 0;
    /// The response began with an empty line: the list has not changed since the requested revision.
    virtual void on_unchanged() = 0;
    /// Called at each empty line: the list received last is still current.
    virtual void on_still_current() = 0;
    /// The watch has ended and has to be opened again. Not called after stop() or redirect().
    virtual void on_watch_lost() = 0;
};

/// One watch at a time, on one discovery service. It does not reopen itself: its listener decides when to.
class Watch final : public net::EventHandler {
  public:
    Watch(net::EventLoop& loop, net::BufferPool& pool, const net::Address& discovery, WatchListener& listener,
          log::Log& log, metrics::ResourceCounters& counters)
        : loop_(loop),
          pool_(pool),
          discovery_(discovery),
          listener_(listener),
          log_(log),
          counters_(counters) {}
    /// Requests the changes after a revision; 0 requests a complete list. Does nothing where the watch is
    /// open.
    void open(std::uint64_t after_revision);
    void stop() { close(); }
    bool is_open() const { return phase_ != Phase::closed; }
    /// Sets the address of discovery and ends the watch on the old one. Returns false where it is the same.
    bool redirect(const net::Address& discovery);

    void on_ready(std::uint64_t token, short events) override;
    void on_timer(std::uint64_t token) override;

  private:
    // requesting: connected, up to the first line of the response body.
    enum class Phase : std::uint8_t { closed, connecting, requesting, streaming };
    void send_request();
    void read();
    bool handle_line(std::string_view line);
    void lose(std::string_view reason);
    void close();
    void transition_to(Phase phase, net::Ticks timeout);

    net::EventLoop& loop_;
    net::BufferPool& pool_;
    net::Address discovery_;
    WatchListener& listener_;
    log::Log& log_;
    metrics::ResourceCounters& counters_;
    net::Socket socket_;
    std::string request_;  // the part that is still to be sent
    HttpLineParser response_;
    json::Document document_;
    Phase phase_ = Phase::closed;
    net::Ticks deadline_ = 0, opened_at_ = 0;
    std::uint64_t attempt_ = 0;  // token of the current connection's events and timers
};

}  // namespace lemonstair::discovery
