// The requests that operators make: the table of methods and paths, and the HTTP response to each.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "http/request.h"

namespace lemonstair::admin {

enum class Route : std::uint8_t { health, metrics, drain, resume };

// The node behind the admin server, which knows nothing else of it.
class AdminHandler {
  public:
    AdminHandler() = default;
    AdminHandler(const AdminHandler&) = delete;
    AdminHandler& operator=(const AdminHandler&) = delete;
    virtual ~AdminHandler() = default;
    // Whether clients may be sent to this node.
    virtual bool ready() const = 0;
    // The name of the node's phase, as operators see it.
    virtual std::string_view phase() const = 0;
    // The metrics as JSON; see metrics_page.h.
    virtual std::string metrics_page() const = 0;
    // Both are idempotent and return whether the node is in the requested state now.
    virtual bool drain() = 0;
    virtual bool resume() = 0;
};

// The complete HTTP response. The request must be complete or have an error.
std::string respond(const http::Request& request, AdminHandler& handler);
// The response to a client whose request did not become complete in time.
std::string request_timeout_response();

}  // namespace lemonstair::admin
