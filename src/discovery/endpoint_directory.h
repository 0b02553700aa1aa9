/// The endpoint directory: decodes the lists of discovery, keeps the endpoints that they name and passes them
/// to the balancer. Each endpoint is numbered by a hash of its id, so that all nodes use the same number for
/// it.
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

/// Where a list comes from: from discovery itself, or from a copy of an earlier list that may be outdated.
enum class ListSource : std::uint8_t { discovery, cache };

/// Endpoints are never dropped from the directory: removed ones stay, in state removed.
class EndpointDirectory {
  public:
    static constexpr std::uint32_t none = IdIndex::none;
    struct DiscoveredEndpoint {
        std::uint32_t number = 0;  // its number in the balancer, at other nodes and in log lines
        net::Address address;
        EndpointState state = EndpointState::active;
        std::int64_t started_unix_ms = 0;  // as listed
        Ticks started_at = 0;              // on this process's clock; 0: long ago
        std::string id, zone;
        std::uint32_t cell = 0;
        double size = 1;
        /// Within one incarnation an endpoint goes from active to draining to removed, never back.
        bool is_superseded_by(EndpointState new_state, std::int64_t new_started_unix_ms) const {
            if (new_started_unix_ms != started_unix_ms) return new_started_unix_ms > started_unix_ms;
            return new_state > state;
        }
    };
    EndpointDirectory(const std::vector<std::string>& zone_names, log::Log& log)
        : zone_names_(zone_names), log_(log) {}

    /// Applies a complete list or a list of changes and passes it to the balancer. Logs an error and returns
    /// false where the value is not a list. Malformed entries of a list are logged and skipped.
    bool apply(const json::Value& list, Balancer& balancer, ListSource source, Ticks now);
    /// Applies a list that another process of this node wrote with to_json(). `clock_shift` is how far this
    /// process's clock is ahead of the other's.
    bool apply_inherited(const json::Value& list, Balancer& balancer, Ticks clock_shift, Ticks now);
    /// Discovery reported that nothing has changed.
    void confirm_current(Ticks now) {
        if (current_at_) current_at_ = now;
    }
    /// A complete list of all known endpoints, removed ones included, in the format of discovery.
    std::string to_json() const;
    /// The revision of the last list; 0: none is known.
    std::uint64_t revision() const { return revision_.value_or(0); }
    /// Called when the address of discovery changes. Another service numbers its lists independently, so its
    /// first list is new whatever its revision.
    void reset_revision() {
        revision_.reset();
        highest_revision_ = 0;
    }
    /// The index of an endpoint by its number or id; `none` where it is not known. An index stays valid for
    /// the lifetime of the directory.
    std::uint32_t index_of(std::uint32_t number) const { return index_by_number_.find(number); }
    std::uint32_t index_of(std::string_view id) const;
    const DiscoveredEndpoint& operator[](std::uint32_t index) const { return endpoints_[index]; }
    std::size_t size() const { return endpoints_.size(); }

  private:
    void apply_entry(const json::Value& entry, Balancer& balancer, bool outdated, Ticks now);
    std::uint32_t add(const json::Value& entry, const std::string& id,
                      const std::optional<net::Address>& address);
    Ticks start_of(const DiscoveredEndpoint& endpoint, Ticks listed, Ticks now);
    void publish(const DiscoveredEndpoint& endpoint, Balancer& balancer) const;
    void correct_start_times(Balancer& balancer, Ticks offset_before);
    const std::vector<std::string>& zone_names_;
    log::Log& log_;
    std::vector<DiscoveredEndpoint> endpoints_;
    std::unordered_map<std::string, std::uint32_t> index_by_id_;
    IdIndex index_by_number_;
    std::optional<std::uint64_t> revision_;  // of the last list
    std::uint64_t highest_revision_ = 0;     // since reset_revision()
    StartTimes start_times_;
    std::optional<Ticks> current_at_;  // when the list was last known to be up to date
};

}  // namespace lemonstair::discovery
