#include "request_ids/id_registry.h"

#include <algorithm>
#include <utility>

namespace lemonstair::request_ids {

namespace {

// If so many changes are unreported, beside twice the number of ids, a complete report replaces them.
constexpr std::size_t max_unreported = 4096;
// More than the descriptors that a process can have.
constexpr std::size_t max_peer_ids = 1U << 20;

std::vector<std::uint64_t> sorted(const std::unordered_set<std::uint64_t>& ids) {
    std::vector<std::uint64_t> in_order(ids.begin(), ids.end());
    std::sort(in_order.begin(), in_order.end());
    return in_order;
}

}  // namespace

IdRegistry::Slot IdRegistry::owner_of(std::uint64_t id_hash) const {
    const auto found = owners_.find(id_hash);
    return found == owners_.end() ? no_slot : found->second;
}

Claim IdRegistry::check_claim(std::uint64_t id_hash, bool mid_flow) const {
    if (requesters_.count(id_hash) > 0) return Claim::refused;
    const Slot owner = owner_of(id_hash);
    if (owner != no_slot) return mid_flow && client_disconnected_(owner) ? Claim::granted : Claim::refused;
    const bool peer_has_it = peer_ids_.count(id_hash) > 0;
    if ((peer_has_it || closed_ids_.contains(id_hash)) && !mid_flow) return Claim::refused;
    return peer_has_it || authority_ == Authority::asks ? Claim::ask_peer : Claim::granted;
}

void IdRegistry::claim(std::uint64_t id_hash, Slot slot) {
    if (owner_of(id_hash) == slot) return;
    peer_ids_.erase(id_hash);
    listed_peer_ids_.erase(id_hash);
    owners_[id_hash] = slot;
    report(id_hash, IdState::claimed);
}

void IdRegistry::release(std::uint64_t id_hash, Slot slot, bool may_have_run) {
    withdraw_request(id_hash, slot);
    if (owner_of(id_hash) != slot) return;
    owners_.erase(id_hash);
    if (may_have_run) closed_ids_.add(id_hash);
    report(id_hash, may_have_run ? IdState::recently_closed : IdState::released);
}

void IdRegistry::withdraw_request(std::uint64_t id_hash, Slot slot) {
    const auto requester = requesters_.find(id_hash);
    if (requester == requesters_.end() || requester->second.slot != slot) return;
    requesters_.erase(requester);
    const auto same_id = [&](const IdRequest& each) { return each.id_hash == id_hash; };
    // A request that is not sent gets no result: what an earlier one was granted is given back now.
    if (std::erase_if(unsent_requests_, same_id) > 0 && !has_owner(id_hash))
        report(id_hash, IdState::released);
}

void IdRegistry::request(std::uint64_t id_hash, bool mid_flow, Slot slot) {
    const std::uint64_t serial = ++requests_;
    requesters_[id_hash] = {slot, serial};
    unsent_requests_.push_back({.id_hash = id_hash, .serial = serial, .mid_flow = mid_flow});
}

IdRegistry::Slot IdRegistry::requester_of(const IdResult& result) const {
    const auto found = requesters_.find(result.id_hash);
    return found == requesters_.end() || found->second.serial != result.serial ? no_slot : found->second.slot;
}

std::vector<IdRegistry::Slot> IdRegistry::requesters() const {
    std::vector<Slot> slots;
    slots.reserve(requesters_.size());
    for (const auto& [id_hash, requester] : requesters_) slots.push_back(requester.slot);
    std::sort(slots.begin(), slots.end());
    return slots;
}

bool IdRegistry::resolve_request(const IdResult& result) {
    const Slot slot = requester_of(result);
    if (result.granted) {
        peer_ids_.erase(result.id_hash);
        listed_peer_ids_.erase(result.id_hash);
    }
    if (slot != no_slot) requesters_.erase(result.id_hash);
    const Slot owner = owner_of(result.id_hash);
    if (slot == no_slot || !result.granted) {
        // The tunnel has ended meanwhile, or a complete report has listed its request. Another request for
        // the id that is under way stands.
        if (owner == no_slot && requesters_.count(result.id_hash) == 0)
            report(result.id_hash, IdState::released);
        return false;
    }
    // The open tunnel with this id may have been transferred to this process meanwhile.
    if (owner != no_slot && !client_disconnected_(owner)) return false;
    claim(result.id_hash, slot);
    return true;
}

bool IdRegistry::resolve_without_peer(std::uint64_t id_hash, bool mid_flow) {
    const auto found = requesters_.find(id_hash);
    if (found == requesters_.end()) return false;
    const Slot slot = found->second.slot;
    requesters_.erase(found);
    if (check_claim(id_hash, mid_flow) != Claim::granted) return false;
    claim(id_hash, slot);
    return true;
}

bool IdRegistry::grant_to_peer(const IdRequest& request) {
    if (requesters_.count(request.id_hash) > 0) return false;
    const Slot owner = owner_of(request.id_hash);
    if (owner != no_slot) {
        if (!request.mid_flow || !client_disconnected_(owner)) return false;
        owners_.erase(request.id_hash);  // the tunnel will notice that its client has left
        report(request.id_hash, IdState::released);
    } else if (closed_ids_.contains(request.id_hash) && !request.mid_flow) {
        return false;
    }
    peer_ids_.insert(request.id_hash);
    if (receives_complete_report_) listed_peer_ids_.insert(request.id_hash);
    return true;
}

bool IdRegistry::on_peer_report(const IdReport& report) {
    if (report.begins_complete) {
        receives_complete_report_ = true;
        listed_peer_ids_.clear();
    }
    for (const IdChange& change : report.changes) on_peer_change(change);
    if (receives_complete_report_ && report.left == 0) finish_peer_report();
    return peer_ids_.size() <= max_peer_ids;
}

void IdRegistry::on_peer_change(const IdChange& change) {
    if (change.state == IdState::claimed) {
        if (has_owner(change.id_hash)) return;
        peer_ids_.insert(change.id_hash);
        if (receives_complete_report_) listed_peer_ids_.insert(change.id_hash);
        return;
    }
    peer_ids_.erase(change.id_hash);
    listed_peer_ids_.erase(change.id_hash);
    if (change.state == IdState::recently_closed) closed_ids_.add(change.id_hash);
}

void IdRegistry::finish_peer_report() {
    receives_complete_report_ = false;
    peer_ids_ = std::exchange(listed_peer_ids_, {});
}

void IdRegistry::set_authority(Authority authority) {
    const bool exchanged = std::exchange(authority_, authority) != Authority::alone;
    const bool exchanges = authority != Authority::alone;
    if (exchanges && !exchanged) complete_report_pending_ = true;
    if (exchanges) return;
    complete_report_pending_ = false;
    complete_report_left_ = 0;
    unreported_.clear();
    unsent_requests_.clear();
}

void IdRegistry::forget_peer() {
    for (const std::uint64_t id_hash : sorted(peer_ids_)) closed_ids_.add(id_hash);
    peer_ids_.clear();
    listed_peer_ids_.clear();
    receives_complete_report_ = false;
}

void IdRegistry::report(std::uint64_t id_hash, IdState state) {
    if (authority_ == Authority::alone || complete_report_pending_) return;
    unreported_.push_back({id_hash, state});
    // The other process does not read.
    if (unreported_.size() <= max_unreported + 2 * (owners_.size() + closed_ids_.size())) return;
    unreported_.clear();
    complete_report_pending_ = true;
}

// Ids of requests that have ended are in the order in which they ended, the others in that of hashes. An id
// that this process has asked for counts as claimed, since the answer may be under way.
void IdRegistry::begin_complete_report() {
    unreported_.clear();
    closed_ids_.for_each([this](std::uint64_t id_hash) {
        unreported_.push_back({id_hash, IdState::recently_closed});
    });
    const auto first_claimed = static_cast<std::ptrdiff_t>(unreported_.size());
    for (const auto& [id_hash, owner] : owners_) unreported_.push_back({id_hash, IdState::claimed});
    for (const auto& [id_hash, requester] : requesters_) unreported_.push_back({id_hash, IdState::claimed});
    std::sort(unreported_.begin() + first_claimed, unreported_.end(),
              [](const IdChange& a, const IdChange& b) { return a.id_hash < b.id_hash; });
    complete_report_left_ = unreported_.size();
}

bool IdRegistry::next_report(std::size_t max_changes, IdReport& into) {
    into = {};
    if (std::exchange(complete_report_pending_, false)) {
        begin_complete_report();
        into.begins_complete = true;
    } else if (unreported_.empty()) {
        return false;
    }
    const std::size_t count = std::min(max_changes, unreported_.size());
    const auto end = unreported_.begin() + static_cast<std::ptrdiff_t>(count);
    into.changes.assign(unreported_.begin(), end);
    unreported_.erase(unreported_.begin(), end);
    complete_report_left_ -= std::min(count, complete_report_left_);
    into.left = complete_report_left_;
    return true;
}

bool IdRegistry::next_request(IdRequest& into) {
    if (unsent_requests_.empty()) return false;
    into = unsent_requests_.front();
    unsent_requests_.pop_front();
    return true;
}

}  // namespace lemonstair::request_ids
