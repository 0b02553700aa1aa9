// The file that holds what a node is told: read at the start, and again when the operators say so.
#pragma once

#include <string>

#include "config/node_config.h"
#include "json/json.h"
#include "net/system.h"

namespace lemonstair::config {

// The file could not be read just now; it may be in a moment.
struct Unreadable : json::Malformed {
    using json::Malformed::Malformed;
};

class ConfigSource {
  public:
    ConfigSource(net::System& system, std::string path, const Environment& around = {})
        : system_(system), path_(std::move(path)), around_(around) {}
    // Throws json::Malformed, which names the file or the faulty key, and Unreadable where the system was at
    // fault.
    NodeConfig read();
    // The list of hosts in the file as last read.
    json::Value known() const { return file_.root().inner("known"); }

  private:
    net::System& system_;
    std::string path_, text_;
    Environment around_;
    json::Document file_;
};

}  // namespace lemonstair::config
