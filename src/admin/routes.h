/// The requests that operators can make: the table of methods and paths, and the HTTP response to each.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "http/request.h"

namespace lemonstair::admin {

enum class Route : std::uint8_t { health, metrics, drain, resume };

/// The node as the admin server uses it.
class AdminHandler {
  public:
    AdminHandler() = default;
    AdminHandler(const AdminHandler&) = delete;
    AdminHandler& operator=(const AdminHandler&) = delete;
    virtual ~AdminHandler() = default;
    // Whether clients may be sent to this node.
    virtual bool ready() const = 0;
    // The node's phase, by the name that operators see.
    virtual std::string_view phase() const = 0;
    // The metrics as JSON; see metrics_page.h.
    virtual std::string metrics_page() const = 0;
    // Both are idempotent and return whether the node is now in the requested state.
    virtual bool drain() = 0;
    virtual bool resume() = 0;
};

/// Carries out the request and returns the complete HTTP response. The request must be complete or have an
/// error.
std::string respond(const http::Request& request, AdminHandler& handler);
/// The response to a client whose request did not become complete in time.
std::string request_timeout_response();

}  // namespace lemonstair::admin
