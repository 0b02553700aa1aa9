/// The request line of a client: parses it for the balancer, and rewrites it for the endpoint.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "balance/balance.h"
#include "net/buffer_pool.h"

namespace lemonstair::tunnel {

/// A parsed request line. The views refer to the text that was parsed.
struct RequestLine {
    TunnelRequest request;
    std::string_view id;                // the client's id of the tunnel
    std::string_view current_endpoint;  // id of the endpoint at which the tunnel is already open, or empty
};

/// Parses a line without its line end. The result's deadline counts from `now`, and its traffic class is an
/// index into `traffic_classes`. Returns nullopt if the line is not a valid request.
std::optional<RequestLine> parse_request_line(std::string_view line,
                                              const std::vector<std::string>& traffic_classes, Ticks now);

/// Whether these bytes of a client are a command or the beginning of one. Only its first line may be a
/// command.
bool begins_command(std::string_view bytes);

/// Appends the line and a line end to `into`, with the wait parameter replaced by `wait`, the time that the
/// node will still wait. Returns false if it does not fit.
bool write_request_line(std::string_view line, Ticks wait, net::Buffer& into);

}  // namespace lemonstair::tunnel
