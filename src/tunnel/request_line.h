// A tunnel's first line: read into the call that the module wants, and written again for the host.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "balance/balance.h"
#include "net/buffer_pool.h"

namespace lemonstair::tunnel {

// Without its line end. `holder` is the host at which it is open already, or empty. What the views show is
// the line itself. False where it is no such line.
bool read_opening(std::string_view line, const std::vector<std::string>& profiles, Ticks now,
                  TunnelRequest& arrival, std::string_view& holder);

// The id that the client gave the tunnel, of a line that can be read.
std::string_view opening_id(std::string_view line);

// Whether what a client sends begins a command: only its first line may be one.
bool begins_command(std::string_view bytes);

// The line as it was, but for how long the node will wait; with its end. False where it does not fit.
bool write_opening(std::string_view line, Ticks wait, net::Buffer& into);

}  // namespace lemonstair::tunnel
