#include "tunnel/dispatcher.h"

namespace lemonstair::tunnel {

void Route::set_up(Id id, std::uint32_t ep, Tenths longest_wait) {
    if (!waits(id)) return;
    const std::uint32_t place = floor_.hosts.place_of(ep);
    if (place != discovery::Hosts::none) send_.start(id, place, longest_wait);
}

void Route::decline(Id id, Tenths come_back_after) {
    if (!waits(id)) return;
    floor_.find(id)->known = false;
    book_.decline(id, come_back_after);
}

void Route::close_with_error(Id id) {
    if (!waits(id)) return;
    floor_.find(id)->known = false;
    book_.close_with_error(id);
}

void Route::move(Id id) {
    if (floor_.find(id) != nullptr) relay_.move(id);
}

}  // namespace lemonstair::tunnel
