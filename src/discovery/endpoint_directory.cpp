#include "discovery/endpoint_directory.h"

#include <algorithm>
#include <iomanip>
#include <sstream>
#include <utility>

#include "json/text.h"
#include "net/clock.h"

namespace lemonstair::discovery {

std::uint32_t EndpointDirectory::place_of(std::string_view id) const {
    const auto it = by_id_.find(std::string(id));
    return it == by_id_.end() ? none : it->second;
}

bool EndpointDirectory::take(const json::Value& list, Balancer& balancer, bool remembered, Ticks now) {
    std::uint64_t revision = 0;
    bool whole = false, old = false;
    try {
        revision = list.whole("revision");
        whole = list.flag("complete");
        if (!list.has("members")) list.fail("members", "is missing");
        if (!remembered && revision_ && revision == *revision_) {  // heard before
            current_at_ = now;
            balancer.begin_endpoint_list(EndpointListKind::changes);
            balancer.end_endpoint_list();
            return true;
        }
        old = !remembered && revision_ && revision < highest_;
        // With one unreadable entry a whole list is taken as changes only: none is gone for not being read.
        bool readable = true;
        list.each("members", [&](const json::Value& m) {
            readable = readable && m.type() == json::Type::object && m.has("id") && m.has("phase");
        });
        if (!readable) log_.error() << "list " << revision << " holds entries that cannot be read";
        balancer.begin_endpoint_list(remembered                  ? EndpointListKind::cached
                                     : whole && readable && !old ? EndpointListKind::complete
                                                                 : EndpointListKind::changes);
    } catch (const json::Malformed& e) {
        log_.error() << "list not taken: " << e.what();
        return false;
    }
    const Ticks offset_before = starts_.offset();
    list.each("members", [&](const json::Value& m) {
        try {
            take_member(m, balancer, old, now);
        } catch (const json::Malformed& e) {
            log_.error() << "entry of list " << revision << " passed over: " << e.what();
        }
    });
    correct_starts(balancer, offset_before);
    balancer.end_endpoint_list();
    if (!remembered) current_at_ = now;
    // What a node remembers may lack entries: then the watch begins with the whole list.
    if (!remembered || whole) {
        revision_ = revision;
        highest_ = std::max(highest_, revision);
    }
    return true;
}

std::string EndpointDirectory::list() const {
    std::ostringstream out;
    out << R"({"revision":)" << revision() << R"(,"starts_offset":)" << starts_.offset()
        << R"(,"complete":true,"members":[)";
    const char* between = "";
    for (const DiscoveredEndpoint& h : hosts_) {
        const char* phase = h.life == EndpointState::active    ? "in_service"
                            : h.life == EndpointState::removed ? "terminated"
                                                               : "terminating";
        out << std::exchange(between, ",") << R"({"id":)" << json::quoted(h.id) << R"(,"host_port":")"
            << net::address_text(h.at) << R"(","locality":)" << json::quoted(h.zone) << R"(,"cell":)"
            << h.cell << R"(,"phase":")" << phase << R"(","size":)" << std::setprecision(17) << h.size
            << R"(,"up_since_ms":)" << h.started_ms << '}';
    }
    out << "]}";
    return out.str();
}

// An old list holds nothing new: taking it whole would bring back what is over. But a service that has
// restarted may count its lists anew, and what it says of a drain must not be missed: until it has passed the
// highest number heard, of its lists those entries count by which a host is further on than it was known to
// be.
void EndpointDirectory::take_member(const json::Value& m, Balancer& balancer, bool old, Ticks now) {
    const std::string id(m.text("id"));
    const auto phase = m.text("phase");
    // A phase that this build does not know is not one of service: nothing new goes there.
    const EndpointState life = phase == "in_service"   ? EndpointState::active
                               : phase == "terminated" ? EndpointState::removed
                                                       : EndpointState::draining;
    const auto cell = m.small("cell", 0);
    const auto size = m.number("size", 1);
    const auto started = std::max<std::int64_t>(static_cast<std::int64_t>(m.number("up_since_ms", 0)), 0);
    std::uint32_t place = place_of(id);
    if (old && place != none && !hosts_[place].is_ahead(life, started)) return;
    const auto at = net::parse_address(m.text("host_port", ""));
    if (place == none) {
        if (!at) m.fail("host_port", "is not an address and a port");
        const auto ep = static_cast<std::uint32_t>(hash_text(id) & 0x7fffffff);
        if (by_ep_.find(ep) != none) m.fail("id", "has the same number as another's");
        place = static_cast<std::uint32_t>(hosts_.size());
        hosts_.emplace_back();
        hosts_.back().ep = ep;
        hosts_.back().at = *at;
        hosts_.back().id = id;
        by_id_.emplace(id, place);
        by_ep_.put(ep, place);
        log_.info() << "host " << id << " at " << m.text("host_port") << " is ep " << ep;
    }
    if (at) hosts_[place].at = *at;
    if (hosts_[place].life != life || hosts_[place].started_ms != started)
        log_.debug() << "host " << id << ", ep " << hosts_[place].ep << ", told " << phase << ", up since "
                     << started;
    if (hosts_[place].started_ms != started)
        hosts_[place].started_at = start_of(hosts_[place], net::tenths_of_unix_ms(started), now);
    hosts_[place].life = life;
    hosts_[place].started_ms = started;
    hosts_[place].zone = m.text("locality", "");
    hosts_[place].cell = cell;
    hosts_[place].size = size;
    tell(hosts_[place], balancer);
}

// Of an entry that the list did not hold like this before.
Ticks EndpointDirectory::start_of(const DiscoveredEndpoint& host, Ticks listed, Ticks now) {
    if (!current_at_) {
        starts_.bound(listed, now);
        return starts_.of_known(listed);
    }
    // A later start is later here too, whatever was done to the clock that tells it.
    return std::max(starts_.of_news(listed, now, *current_at_), listed > 0 ? host.started_at + 1 : 0);
}

void EndpointDirectory::tell(const DiscoveredEndpoint& host, Balancer& balancer) const {
    const auto zone = std::find(zones_.begin(), zones_.end(), host.zone);
    balancer.add_endpoint(host.ep, static_cast<std::uint32_t>(zone - zones_.begin()), host.cell, host.life,
                          host.size, host.started_at);
}

// Guards against endpoints that were listed when this process began, and were taken for old by a clock that
// has turned out to be ahead.
void EndpointDirectory::correct_starts(Balancer& balancer, Ticks offset_before) {
    if (starts_.offset() - offset_before <= StartTimes::longest_notice) return;
    log_.info() << "the clock of the list is " << starts_.offset() / 10 << " ms behind: starts are told anew";
    for (DiscoveredEndpoint& host : hosts_) {
        const Ticks start = starts_.of_known(net::tenths_of_unix_ms(host.started_ms));
        if (host.life == EndpointState::removed || start <= host.started_at) continue;
        host.started_at = start;
        tell(host, balancer);
    }
}

}  // namespace lemonstair::discovery
