/// One call to discovery: a connection, a request, and a response that stays open and streams the changes of
/// the endpoint list.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "discovery/http_lines.h"
#include "metrics/resource_counters.h"
#include "net/buffer_pool.h"
#include "net/loop.h"
#include "net/transfer.h"

namespace lemonstair::discovery {

class WatchCall;

/// requesting: accepted by discovery, up to the first line of the response body.
enum class CallPhase : std::uint8_t { closed, connecting, requesting, streaming };

/// Receives what a call reports.
class WatchCallListener {
  public:
    WatchCallListener() = default;
    WatchCallListener(const WatchCallListener&) = delete;
    WatchCallListener& operator=(const WatchCallListener&) = delete;
    virtual ~WatchCallListener() = default;
    /// A complete line of the response body. Returns false where it is invalid; the call is then lost.
    virtual bool on_line(WatchCall& call, std::string_view line) = 0;
    /// The call has ended by itself in this phase: it is closed, and `reason` says why.
    virtual void on_call_lost(CallPhase phase, std::string_view reason) = 0;
};

/// Can be opened again after it has ended.
class WatchCall final : public net::EventHandler {
  public:
    WatchCall(net::EventLoop& loop, net::BufferPool& pool, WatchCallListener& listener,
              metrics::ResourceCounters& counters)
        : loop_(loop), pool_(pool), listener_(listener), counters_(counters) {}
    /// Requests the changes after a revision; 0 requests a complete list. The call must be closed.
    void open(const net::Address& discovery, std::uint64_t after_revision);
    /// Ends the call without a report.
    void close();
    /// The same with a reset, so that discovery drops a request that it has not answered yet and no port
    /// stays in use.
    void abandon();
    bool is_open() const { return phase_ != CallPhase::closed; }
    CallPhase phase() const { return phase_; }
    /// When the call was opened last.
    net::Ticks opened_at() const { return opened_at_; }

    void on_ready(std::uint64_t token, short events) override;
    void on_timer(std::uint64_t token) override;

  private:
    void send_request();
    void read();
    bool handle_line(std::string_view line);
    void lose(std::string_view reason);
    void transition_to(CallPhase phase, net::Ticks timeout);

    net::EventLoop& loop_;
    net::BufferPool& pool_;
    WatchCallListener& listener_;
    metrics::ResourceCounters& counters_;
    net::Socket socket_;
    std::string request_;  // the part that is still to be sent
    HttpLineParser response_;
    CallPhase phase_ = CallPhase::closed;
    net::Ticks deadline_ = 0, opened_at_ = 0;
    std::uint64_t attempt_ = 0;  // token of the current connection's events and timers
};

}  // namespace lemonstair::discovery
