// Random numbers of a simulation: a seeded engine with distributions of its own, because those of the
// standard library differ between implementations.
#pragma once

#include <cmath>
#include <cstdint>
#include <random>

namespace lemonstair::simnet {

// Draws from one engine: equal seeds and equal calls give equal numbers.
class RandomSource {
  public:
    explicit RandomSource(std::uint64_t seed) : engine_(seed) {}
    // A separate engine for one component, so that its draws do not change those of other components.
    RandomSource fork(std::uint64_t label) { return RandomSource(engine_() ^ (label * 0x9e3779b97f4a7c15U)); }
    std::uint64_t bits() { return engine_(); }
    // Uniform in [0, 1).
    double unit() { return static_cast<double>(bits() >> 11) * 0x1.0p-53; }
    // Uniform, both limits included. `to` must not be below `from`.
    std::int64_t between(std::int64_t from, std::int64_t to) {
        const auto span = static_cast<std::uint64_t>(to - from) + 1;
        return from + static_cast<std::int64_t>(span == 0 ? bits() : bits() % span);
    }
    double between(double from, double to) { return from + (to - from) * unit(); }
    // True with probability `p`.
    bool odds(double p) { return p > 0 && unit() < p; }
    double exponential(double mean) { return -mean * std::log1p(-unit()); }

  private:
    std::mt19937_64 engine_;  // its sequence of numbers is fixed by the standard
};

}  // namespace lemonstair::simnet
