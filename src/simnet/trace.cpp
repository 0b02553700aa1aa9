#include "simnet/trace.h"

#include <iomanip>

namespace lemonstair::simnet {

std::uint64_t Trace::hash() {
    hash_buffered();
    return XXH3_64bits_digest(&state_);
}

void Trace::hash_buffered() {
    XXH3_64bits_update(&state_, buffer_.data(), buffer_.size());
    buffer_.clear();
}

void Trace::write(net::Ticks at, std::string_view what, std::uint64_t a, std::uint64_t b,
                  std::string_view text) {
    *out_ << std::setw(4) << at / 10000 << '.' << std::setfill('0') << std::setw(4) << at % 10000
          << std::setfill(' ') << "  " << what << ' ' << a << ' ' << b;
    if (!text.empty()) *out_ << "  ";
    for (const char c : text) {
        if (c == '\n')
            *out_ << "\\n";
        else if (c >= 0x20 && c < 0x7f)
            *out_ << c;
        else if (c != '\r')
            *out_ << '.';
    }
    *out_ << '\n';
}

}  // namespace lemonstair::simnet
