/// The watch on discovery: the call whose response streams the changes of the endpoint list. Each line is a
/// list in JSON; an empty line means that nothing has changed.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "discovery/watch_call.h"
#include "json/json.h"
#include "log/log.h"

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
    /// The last open call has ended in this phase, and the watch has to be opened again. Not called after
    /// stop() or redirect().
    virtual void on_watch_lost(CallPhase phase) = 0;
};

/// A watch on one discovery service. Until a call is answered, a second one can be opened beside it; the
/// first call that is answered is the watch, and the other one is abandoned. The watch does not reopen
/// itself: its listener decides when to.
class Watch final : WatchCallListener {
  public:
    Watch(net::EventLoop& loop, net::BufferPool& pool, const net::Address& discovery, WatchListener& listener,
          log::Log& log, metrics::ResourceCounters& counters)
        : discovery_(discovery),
          listener_(listener),
          log_(log),
          calls_{WatchCall(loop, pool, *this, counters), WatchCall(loop, pool, *this, counters)} {}
    /// Requests the changes after a revision; 0 requests a complete list. Does nothing where a call is open.
    void open(std::uint64_t after_revision);
    /// Opens a call beside the pending one. Where two are pending, it replaces the newer one: the older one
    /// may have waited for its turn at discovery for longer. Does nothing where no call is open or the watch
    /// is live.
    void hedge(std::uint64_t after_revision);
    void stop();
    bool is_open() const;
    /// Whether discovery has answered and the response is open.
    bool is_live() const;
    /// Of the open calls, the one that was opened last; null where none is open.
    const WatchCall* newest_call() const;
    /// Sets the address of discovery and ends the watch on the old one. Returns false where it is the same.
    bool redirect(const net::Address& discovery);

  private:
    bool on_line(WatchCall& call, std::string_view line) override;
    void on_call_lost(CallPhase phase, std::string_view reason) override;
    void abandon_all_but(const WatchCall& kept);
    std::size_t newest_slot() const;  // to be called while a call is open

    net::Address discovery_;
    WatchListener& listener_;
    log::Log& log_;
    json::Document document_;
    std::array<WatchCall, 2> calls_;
    bool loss_logged_ = false;  // since the watch was live
};

}  // namespace lemonstair::discovery
