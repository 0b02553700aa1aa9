/// The connection between the old and the new process of a node: packets with descriptors over a local
/// socket. They arrive in order, and none is lost while both processes run. The channel does not interpret
/// packets.
#pragma once

#include <deque>
#include <string>
#include <string_view>
#include <vector>

#include "net/loop.h"

namespace lemonstair::hot_restart {

/// Has at most one connection at a time.
class PacketChannel final : public net::EventHandler {
  public:
    class Listener {
      public:
        Listener() = default;
        Listener(const Listener&) = delete;
        Listener& operator=(const Listener&) = delete;
        virtual ~Listener() = default;
        // The listener may move descriptors out of the vector; those that remain are closed.
        virtual void on_packet(std::string_view packet, std::vector<net::Fd>& descriptors) = 0;
        // The peer closed the connection, or the connection failed. Not called after disconnect().
        virtual void on_disconnect() = 0;
        // Called when another process connects. True: the channel uses this connection from now on; false:
        // the process gets the rejection packet.
        virtual bool accepts_connection() = 0;
    };
    // `path` is that of the local socket; `rejection` is the encoded packet for connections that are not
    // accepted.
    PacketChannel(net::EventLoop& loop, Listener& listener, std::string path, std::string rejection)
        : loop_(loop), listener_(listener), path_(std::move(path)), rejection_(std::move(rejection)) {}
    // Connects to the process that listens on the path; false where there is none.
    bool connect();
    // Accepts connections from now on; false where the path cannot be bound.
    bool listen();
    void stop_listening() { accept_socket_.close(); }
    bool is_listening() const { return accept_socket_.open(); }
    bool is_connected() const { return socket_.open(); }
    // Queues the packet, or drops it where there is no connection. The descriptors must stay open until the
    // packet is written.
    void send(std::string packet, std::vector<int> descriptors = {});
    void disconnect();
    std::size_t queued_packets() const { return queue_.size(); }

    void on_ready(std::uint64_t token, short events) override;
    void on_timer(std::uint64_t) override { accept_socket_.set_events(POLLIN); }

  private:
    struct QueuedPacket {
        std::string bytes;
        std::vector<int> descriptors;
    };
    void accept();
    void write();
    void read();
    net::EventLoop& loop_;
    Listener& listener_;
    std::string path_, rejection_;
    net::Socket accept_socket_, socket_;
    std::deque<QueuedPacket> queue_;
    std::vector<char> read_buffer_;
    std::uint64_t connections_ = 0;  // opened so far; also the event token of the current connection
};

}  // namespace lemonstair::hot_restart
