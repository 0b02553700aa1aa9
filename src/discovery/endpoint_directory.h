// The door for hosts: the ids and addresses that discovery gives become small places; the module and the
// other nodes know a host by a number made of its id, which is the same at every node.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "balance/balance.h"
#include "balance/id_index.h"
#include "discovery/start_times.h"
#include "json/json.h"
#include "log/log.h"
#include "net/transfer.h"

namespace lemonstair::discovery {

class EndpointDirectory {
  public:
    static constexpr std::uint32_t none = IdIndex::none;
    struct DiscoveredEndpoint {
        std::uint32_t ep = 0;
        net::Address at;
        EndpointState life = EndpointState::active;
        std::int64_t started_ms = 0;  // as told
        Ticks started_at = 0;         // on this process's clock; 0: long ago
        std::string id, zone;
        std::uint32_t cell = 0;
        double size = 1;
        // Within one life of its process a host goes on from service to draining to gone, never back.
        bool is_ahead(EndpointState other, std::int64_t started) const {
            return started != started_ms ? started > started_ms : other > life;
        }
    };
    EndpointDirectory(const std::vector<std::string>& zones, log::Log& log) : zones_(zones), log_(log) {}

    // Takes one list or one change of it, and tells the Balancer what it holds. False where it is no list.
    bool take(const json::Value& list, Balancer& balancer, bool remembered, Ticks now);
    // The list that another process of this node had; its clock may be another.
    bool take_over(const json::Value& list, Balancer& balancer, Ticks clock_shift, Ticks now) {
        const auto offset = static_cast<Ticks>(list.number("starts_offset", 0));
        starts_.adopt(offset + clock_shift);
        return take(list, balancer, true, now);
    }
    // Discovery said that nothing has changed.
    void still_current(Ticks now) {
        if (current_at_) current_at_ = now;
    }
    // All that is known, gone hosts among it, as a list that another process of this node can take.
    std::string list() const;
    std::uint64_t revision() const { return revision_.value_or(0); }
    // Another service counts its lists by itself: what it says first is new whatever its number.
    void forget_revision() {
        revision_.reset();
        highest_ = 0;
    }
    std::uint32_t place_of(std::uint32_t ep) const { return by_ep_.find(ep); }
    std::uint32_t place_of(std::string_view id) const;
    const DiscoveredEndpoint& operator[](std::uint32_t place) const { return hosts_[place]; }
    std::size_t size() const { return hosts_.size(); }

  private:
    void take_member(const json::Value& member, Balancer& balancer, bool old, Ticks now);
    Ticks start_of(const DiscoveredEndpoint& host, Ticks listed, Ticks now);
    void tell(const DiscoveredEndpoint& host, Balancer& balancer) const;
    void correct_starts(Balancer& balancer, Ticks offset_before);
    const std::vector<std::string>& zones_;
    log::Log& log_;
    std::vector<DiscoveredEndpoint> hosts_;
    std::unordered_map<std::string, std::uint32_t> by_id_;
    IdIndex by_ep_;
    std::optional<std::uint64_t> revision_;  // of the last list heard
    std::uint64_t highest_ = 0;
    StartTimes starts_;
    std::optional<Ticks> current_at_;  // when the list was last known to be up to date
};

}  // namespace lemonstair::discovery
