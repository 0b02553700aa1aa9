#include "discovery/endpoint_directory.h"

#include <algorithm>
#include <iomanip>
#include <sstream>
#include <utility>

#include "json/text.h"
#include "net/clock.h"

namespace lemonstair::discovery {

namespace {

// Discovery's word for each state. An endpoint in a phase that this version does not know gets no new
// tunnels: it counts as draining.
EndpointState decode_phase(std::string_view phase) {
    if (phase == "in_service") return EndpointState::active;
    if (phase == "terminated") return EndpointState::removed;
    return EndpointState::draining;
}

std::string_view encode_phase(EndpointState state) {
    if (state == EndpointState::active) return "in_service";
    if (state == EndpointState::removed) return "terminated";
    return "terminating";
}

bool all_entries_have_id_and_phase(const json::Value& list) {
    bool complete = true;
    list.for_each("members", [&](const json::Value& entry) {
        complete = complete && entry.type() == json::Type::object && entry.has("id") && entry.has("phase");
    });
    return complete;
}

}  // namespace

std::uint32_t EndpointDirectory::index_of(std::string_view id) const {
    const auto it = index_by_id_.find(std::string(id));
    return it == index_by_id_.end() ? none : it->second;
}

bool EndpointDirectory::apply(const json::Value& list, Balancer& balancer, ListSource source, Ticks now) {
    const bool cached = source == ListSource::cache;
    std::uint64_t revision = 0;
    bool complete = false, outdated = false;
    try {
        revision = list.uint64("revision");
        complete = list.flag("complete");
        if (!list.has("members")) list.fail("members", "is missing, expected a list");
        const bool repeated = !cached && revision_ && revision == *revision_;
        if (repeated) {
            current_at_ = now;
            balancer.begin_endpoint_list(EndpointListKind::changes);
            balancer.end_endpoint_list();
            return true;
        }
        outdated = !cached && revision_ && revision < highest_revision_;
        // A complete list with a malformed entry is applied as a list of changes: an endpoint must not count
        // as removed because its entry could not be read.
        const bool entries_valid = all_entries_have_id_and_phase(list);
        if (!entries_valid)
            log_.error()
                << "endpoint list " << revision
                << ": not all of 'members' are objects with 'id' and 'phase'; malformed ones are skipped, "
                   "and no unlisted endpoint counts as removed";
        balancer.begin_endpoint_list(cached                                   ? EndpointListKind::cached
                                     : complete && entries_valid && !outdated ? EndpointListKind::complete
                                                                              : EndpointListKind::changes);
    } catch (const json::Malformed& error) {
        log_.error() << "endpoint list rejected, the current one stays in use: " << error.what();
        return false;
    }
    const Ticks offset_before = start_times_.offset();
    list.for_each("members", [&](const json::Value& entry) {
        try {
            apply_entry(entry, balancer, outdated, now);
        } catch (const json::Malformed& error) {
            log_.error() << "entry of endpoint list " << revision << " skipped: " << error.what();
        }
    });
    correct_start_times(balancer, offset_before);
    balancer.end_endpoint_list();
    if (!cached) current_at_ = now;
    // A cached list may lack entries. Without a revision, the watch requests a complete one.
    if (!cached || complete) {
        revision_ = revision;
        highest_revision_ = std::max(highest_revision_, revision);
    }
    return true;
}

bool EndpointDirectory::apply_inherited(const json::Value& list, Balancer& balancer, Ticks clock_shift,
                                        Ticks now) {
    const auto offset = static_cast<Ticks>(list.number("starts_offset", 0));
    start_times_.adopt(offset + clock_shift);
    return apply(list, balancer, ListSource::cache, now);
}

std::string EndpointDirectory::to_json() const {
    std::ostringstream out;
    out << R"({"revision":)" << revision() << R"(,"starts_offset":)" << start_times_.offset()
        << R"(,"complete":true,"members":[)";
    const char* separator = "";
    for (const DiscoveredEndpoint& endpoint : endpoints_) {
        out << std::exchange(separator, ",") << R"({"id":)" << json::quoted(endpoint.id)
            << R"(,"host_port":")" << net::format_address(endpoint.address) << R"(","locality":)"
            << json::quoted(endpoint.zone) << R"(,"cell":)" << endpoint.cell << R"(,"phase":")"
            << encode_phase(endpoint.state) << R"(","size":)" << std::setprecision(17) << endpoint.size
            << R"(,"up_since_ms":)" << endpoint.started_unix_ms << '}';
    }
    out << "]}";
    return out.str();
}

// A list with a lower revision than an earlier one is outdated: applied as a whole, it would restore states
// that have ended. But a discovery service that has restarted may number its lists from the start, and a
// drain in them must not be missed. So until its revisions exceed the highest one seen, only those entries
// are applied that supersede what is known of their endpoint.
void EndpointDirectory::apply_entry(const json::Value& entry, Balancer& balancer, bool outdated, Ticks now) {
    const std::string id(entry.text("id"));
    const auto phase = entry.text("phase");
    const EndpointState state = decode_phase(phase);
    const auto cell = entry.uint32("cell", 0);
    const auto size = entry.number("size", 1);
    const auto started = std::max<std::int64_t>(static_cast<std::int64_t>(entry.number("up_since_ms", 0)), 0);
    std::uint32_t index = index_of(id);
    if (outdated && index != none && !endpoints_[index].is_superseded_by(state, started)) return;
    const auto address = net::parse_address(entry.text("host_port", ""));
    if (index == none) index = add(entry, id, address);
    DiscoveredEndpoint& endpoint = endpoints_[index];
    if (address) endpoint.address = *address;
    if (endpoint.state != state || endpoint.started_unix_ms != started)
        log_.debug() << "endpoint " << id << ", number " << endpoint.number << ", listed as " << phase
                     << ", up since " << started;
    if (endpoint.started_unix_ms != started)
        endpoint.started_at = start_of(endpoint, net::ticks_from_ms(started), now);
    endpoint.state = state;
    endpoint.started_unix_ms = started;
    endpoint.zone = entry.text("locality", "");
    endpoint.cell = cell;
    endpoint.size = size;
    publish(endpoint, balancer);
}

std::uint32_t EndpointDirectory::add(const json::Value& entry, const std::string& id,
                                     const std::optional<net::Address>& address) {
    if (!address)
        entry.fail("host_port", "of endpoint " + json::quoted_excerpt(id) + " must be an address and a port");
    const auto number = static_cast<std::uint32_t>(hash_text(id) & 0x7fffffff);
    if (index_by_number_.find(number) != none)
        entry.fail("id", "has the same hash as the id of endpoint " +
                             json::quoted_excerpt(endpoints_[index_by_number_.find(number)].id));
    const auto index = static_cast<std::uint32_t>(endpoints_.size());
    DiscoveredEndpoint& endpoint = endpoints_.emplace_back();
    endpoint.number = number;
    endpoint.address = *address;
    endpoint.id = id;
    index_by_id_.emplace(id, index);
    index_by_number_.put(number, index);
    log_.info() << "endpoint " << id << " at " << entry.text("host_port") << " added as number " << number;
    return index;
}

// The start of an endpoint whose entry has changed.
Ticks EndpointDirectory::start_of(const DiscoveredEndpoint& endpoint, Ticks listed, Ticks now) {
    if (!current_at_) {
        start_times_.limit_offset(listed, now);
        return start_times_.convert_known(listed);
    }
    // A start that is listed as later also counts as later here, however the clock that the start times are
    // listed by has been stepped meanwhile.
    return std::max(start_times_.convert_new(listed, now, *current_at_),
                    listed > 0 ? endpoint.started_at + 1 : 0);
}

void EndpointDirectory::publish(const DiscoveredEndpoint& endpoint, Balancer& balancer) const {
    const auto zone = std::find(zone_names_.begin(), zone_names_.end(), endpoint.zone);
    balancer.add_endpoint(endpoint.number, static_cast<std::uint32_t>(zone - zone_names_.begin()),
                          endpoint.cell, endpoint.state, endpoint.size, endpoint.started_at);
}

// Corrects the start times of the endpoints that were listed when this process started. Until the offset of
// the clocks was measured, they may have counted as older than they are.
void EndpointDirectory::correct_start_times(Balancer& balancer, Ticks offset_before) {
    if (start_times_.offset() - offset_before <= StartTimes::max_notice_delay) return;
    log_.info() << "clock of the endpoint list is " << start_times_.offset() / 10
                << " ms behind this node's: start times of endpoints corrected";
    for (DiscoveredEndpoint& endpoint : endpoints_) {
        const Ticks start = start_times_.convert_known(net::ticks_from_ms(endpoint.started_unix_ms));
        if (endpoint.state == EndpointState::removed || start <= endpoint.started_at) continue;
        endpoint.started_at = start;
        publish(endpoint, balancer);
    }
}

}  // namespace lemonstair::discovery
