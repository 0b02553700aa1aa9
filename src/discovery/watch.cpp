#include "discovery/watch.h"

#include <algorithm>
#include <utility>

namespace lemonstair::discovery {

void Watch::open(std::uint64_t after_revision) {
    if (is_open()) return;
    calls_[0].open(discovery_, after_revision);
}

void Watch::hedge(std::uint64_t after_revision) {
    if (!is_open() || is_live()) return;
    const auto unused =
        std::find_if(calls_.begin(), calls_.end(), [](const WatchCall& call) { return !call.is_open(); });
    WatchCall& call = unused != calls_.end() ? *unused : calls_[newest_slot()];
    call.abandon();
    call.open(discovery_, after_revision);
}

void Watch::stop() {
    for (WatchCall& call : calls_) call.close();
}

bool Watch::is_open() const {
    return std::any_of(calls_.begin(), calls_.end(), [](const WatchCall& call) { return call.is_open(); });
}

bool Watch::is_live() const {
    return std::any_of(calls_.begin(), calls_.end(),
                       [](const WatchCall& call) { return call.phase() == CallPhase::streaming; });
}

const WatchCall* Watch::newest_call() const { return is_open() ? &calls_[newest_slot()] : nullptr; }

std::size_t Watch::newest_slot() const {
    std::size_t newest = 0;
    for (std::size_t slot = 1; slot < calls_.size(); ++slot) {
        const bool newer = calls_[slot].opened_at() > calls_[newest].opened_at();
        if (calls_[slot].is_open() && (newer || !calls_[newest].is_open())) newest = slot;
    }
    return newest;
}

bool Watch::redirect(const net::Address& discovery) {
    if (discovery == discovery_) return false;
    discovery_ = discovery;
    stop();
    return true;
}

void Watch::abandon_all_but(const WatchCall& kept) {
    for (WatchCall& call : calls_)
        if (&call != &kept) call.abandon();
}

bool Watch::on_line(WatchCall& call, std::string_view line) {
    const bool first = call.phase() == CallPhase::requesting;
    if (line.empty()) {
        if (first) listener_.on_unchanged();
        listener_.on_still_current();
    } else if (!document_.parse(line) || !listener_.on_list(document_.root().with_context("list"))) {
        return false;
    }
    if (first) abandon_all_but(call);
    loss_logged_ = false;
    return true;
}

// Only the first loss of an outage is logged for everybody: the calls that follow may be many in a second.
void Watch::on_call_lost(CallPhase phase, std::string_view reason) {
    const bool first = !std::exchange(loss_logged_, true);
    (first ? log_.info() : log_.debug()) << "watch on discovery at " << net::format_address(discovery_)
                                         << " lost: " << reason << "; the current endpoint list stays in use";
    if (!is_open()) listener_.on_watch_lost(phase);
}

}  // namespace lemonstair::discovery
