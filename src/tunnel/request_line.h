// The request line of a client: parsed into what the balancer decides by, and rewritten for the endpoint.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "balance/balance.h"
#include "net/buffer_pool.h"

namespace lemonstair::tunnel {

// The views show the line that was parsed.
struct RequestLine {
    TunnelRequest request;
    std::string_view id;                // that the client gave the tunnel
    std::string_view current_endpoint;  // id of the endpoint at which it is open already; empty: none
};

// `line` without its end; `traffic_classes` by number. Nothing where it is no request.
std::optional<RequestLine> parse_request_line(std::string_view line,
                                              const std::vector<std::string>& traffic_classes, Ticks now);

// Whether a client's bytes begin a command: only its first line may be one.
bool begins_command(std::string_view bytes);

// Appends the line, with its end, as it was but for the time that the node will still wait. False where it
// does not fit.
bool write_request_line(std::string_view line, Ticks wait, net::Buffer& into);

}  // namespace lemonstair::tunnel
