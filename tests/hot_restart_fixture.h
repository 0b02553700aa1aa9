// What the tests of hot restarts share: a node that can be replaced, and a process on the hot restart socket
// that the test plays itself.
#pragma once

#include <algorithm>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "hot_restart/packets.h"
#include "node_fixture.h"

namespace fake {

inline NodeFixture::Options restartable(const std::string& mode = "pass", int max_descriptors = 256) {
    return {.mode = mode, .max_descriptors = max_descriptors, .admin = true, .inherits_listener = true};
}

inline std::string state_of(NodeFixture& fixture) {
    const std::string response = fixture.get("/healthcheck");
    const auto key = response.find("\"state\":\"");
    return key == std::string::npos ? response
                                    : response.substr(key + 9, response.find('"', key + 9) - key - 9);
}

// Whether the old process has transferred all tunnels, and the new one has at least one.
inline bool all_transferred(NodeFixture& fixture) {
    return fixture.next->resource_usage().tunnels > 0 && fixture.node->resource_usage().tunnels == 0;
}

// The peer of a node's process on the hot restart socket, played by the test.
struct FakePeer {
    net::Kernel kernel;
    net::Fd fd, listener;
    std::string path;
    explicit FakePeer(NodeFixture& fixture) : path(fixture.parse_config().hot_restart_path) {}
    // As the new process.
    bool connect() {
        fd = kernel.connect_local(path);
        return fd.open();
    }
    // As the old process: listen() before the new process starts, accept() after it.
    bool listen() {
        listener = kernel.listen_local(path);
        return listener.open();
    }
    bool accept() {
        fd = kernel.accept_local(listener.get());
        return fd.open();
    }
    void send(std::string_view bytes) { kernel.send_packet(fd.get(), bytes, {}); }
    void send(const hot_restart::Packet& packet) { send(hot_restart::encode(packet)); }
    std::vector<hot_restart::PacketKind> received_kinds;
    bool disconnected = false;
    // Receives packets until the condition holds; false where it does not within this time.
    bool receive_until(NodeFixture& fixture, const std::function<bool()>& condition, int ms = 3000) {
        std::vector<char> buffer(hot_restart::max_packet_bytes);
        return fixture.run_until(
            [&] {
                for (;;) {
                    std::vector<net::Fd> descriptors;
                    const auto result = kernel.receive_packet(fd.get(), buffer, descriptors);
                    disconnected = disconnected || result.ended || result.error != 0;
                    if (result.bytes == 0) break;
                    hot_restart::Packet packet;
                    if (hot_restart::decode({buffer.data(), result.bytes}, packet) ==
                        hot_restart::DecodeResult::ok)
                        received_kinds.push_back(packet.kind);
                }
                return condition();
            },
            ms);
    }
    bool has_received(hot_restart::PacketKind kind) const {
        return std::find(received_kinds.begin(), received_kinds.end(), kind) != received_kinds.end();
    }
};

}  // namespace fake
