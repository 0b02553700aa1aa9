// Random numbers of a simulation: one seeded engine, with distributions of its own, since the standard
// library's differ between implementations.
#pragma once

#include <cmath>
#include <cstdint>
#include <random>

namespace lemonstair::simnet {

class RandomSource {
  public:
    explicit RandomSource(std::uint64_t seed) : engine_(seed) {}
    // A separate engine for one component: its draws do not shift those of others.
    RandomSource fork(std::uint64_t label) { return RandomSource(engine_() ^ (label * 0x9e3779b97f4a7c15U)); }
    std::uint64_t bits() { return engine_(); }
    // From 0 up to, and without, 1.
    double unit() { return static_cast<double>(bits() >> 11) * 0x1.0p-53; }
    // Both ends are among what may come; `to` is not below `from`.
    std::int64_t between(std::int64_t from, std::int64_t to) {
        const auto span = static_cast<std::uint64_t>(to - from) + 1;
        return from + static_cast<std::int64_t>(span == 0 ? bits() : bits() % span);
    }
    double between(double from, double to) { return from + (to - from) * unit(); }
    bool odds(double p) { return p > 0 && unit() < p; }
    double exponential(double mean) { return -mean * std::log1p(-unit()); }

  private:
    std::mt19937_64 engine_;  // the standard says what it draws, number by number
};

}  // namespace lemonstair::simnet
