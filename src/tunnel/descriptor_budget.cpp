#include "tunnel/descriptor_budget.h"

#include <algorithm>

namespace lemonstair::tunnel {

void DescriptorBudget::refill_spares() {
    for (net::Fd& spare : spares_)
        if (!spare.open()) spare = loop_.system().open_spare();
}

bool DescriptorBudget::release_spare() {
    for (net::Fd& spare : spares_) {
        if (!spare.open()) continue;
        spare.close();
        return true;
    }
    refill_spares();
    if (!spares_[0].open()) return false;
    spares_[0].close();
    return true;
}

bool DescriptorBudget::has_all_spares() const {
    return std::all_of(spares_.begin(), spares_.end(), [](const net::Fd& spare) { return spare.open(); });
}

}  // namespace lemonstair::tunnel
