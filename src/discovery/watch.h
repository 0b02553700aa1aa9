// The watch on discovery: one call whose answer stays open and brings the changes of the list, a line each.
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

class WatchListener {
  public:
    WatchListener() = default;
    WatchListener(const WatchListener&) = delete;
    WatchListener& operator=(const WatchListener&) = delete;
    virtual ~WatchListener() = default;
    // False where the line holds no list: the watch is then given up.
    virtual bool list_heard(const json::Value& list) = 0;
    virtual void nothing_new() = 0;
    // A sign that the watch stands: what was heard last is all there is.
    virtual void still_current() = 0;
    virtual void watch_lost() = 0;
};

class Watch final : public net::EventHandler {
  public:
    Watch(net::EventLoop& loop, net::BufferPool& pool, const net::Address& discovery, WatchListener& hearer,
          log::Log& log, metrics::ResourceCounters& costs)
        : loop_(loop), pool_(pool), discovery_(discovery), hearer_(hearer), log_(log), costs_(costs) {}
    // Nothing happens where a call is under way or stands.
    void open(std::uint64_t after_revision);
    // Over, and nobody hears that it is.
    void stop() { hang_up(); }
    bool is_open() const { return phase_ != Phase::closed; }
    // The list is kept elsewhere from now on: a call to the old place is over. False where it is no other.
    bool move_to(const net::Address& discovery);

    void on_ready(std::uint64_t token, short events) override;
    void on_timer(std::uint64_t token) override;

  private:
    enum class Phase : std::uint8_t { closed, connecting, asking, standing };
    void ask();
    void read();
    bool take(std::string_view line);
    void lose(std::string_view why);
    void hang_up();
    void go(Phase to, net::Ticks patience);

    net::EventLoop& loop_;
    net::BufferPool& pool_;
    net::Address discovery_;
    WatchListener& hearer_;
    log::Log& log_;
    metrics::ResourceCounters& costs_;
    net::Socket socket_;
    std::string question_;
    HttpLines lines_;
    json::Document line_;
    Phase phase_ = Phase::closed;
    net::Ticks dead_at_ = 0, called_at_ = 0;
    std::uint64_t call_ = 0;
};

}  // namespace lemonstair::discovery
