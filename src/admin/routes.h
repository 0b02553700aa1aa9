// The table of calls that operators make, and what is said of a request that is none of them.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "http/request.h"

namespace lemonstair::admin {

enum class Route : std::uint8_t { health, figures, drain, take_again };

// What the node does when it is called. The desk knows nothing of it but this.
class AdminHandler {
  public:
    AdminHandler() = default;
    AdminHandler(const AdminHandler&) = delete;
    AdminHandler& operator=(const AdminHandler&) = delete;
    virtual ~AdminHandler() = default;
    virtual bool ready() const = 0;
    virtual std::string_view phase() const = 0;
    virtual std::string figures() const = 0;
    // Whether it is so now; to ask again for what is so already is harmless.
    virtual bool drain() = 0;
    virtual bool take_again() = 0;
};

// The whole answer, as it goes out. The request is whole or has a fault.
std::string answer(const http::Request& request, AdminHandler& node);
// To a caller who has said a part of a call only.
std::string answer_to_half();

}  // namespace lemonstair::admin
