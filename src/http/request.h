// One HTTP/1.1 request, read as its bytes come in, whatever they are cut into. It holds no socket; all that a
// caller's bytes can make it keep is bounded.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace lemonstair::http {

// Statuses that a reader gives by itself; 0 while all is well.
enum class Fault : std::uint16_t {
    none = 0,
    unreadable = 400,
    length_wanted = 411,
    body_too_long = 413,
    head_too_long = 431,
    version = 505
};

class Request {
  public:
    static constexpr std::size_t longest_head = 8192, longest_body = 4096, most_fields = 64;
    // Takes what it can use of the bytes; what follows the request is not read.
    void feed(std::string_view bytes);
    bool whole() const { return part_ == Part::whole; }
    Fault fault() const { return fault_; }
    // Nothing of it has come yet.
    bool untouched() const { return read_ == 0; }
    std::string_view method() const { return std::string_view(method_); }
    // Without the question behind it.
    std::string_view path() const { return std::string_view(path_); }

  private:
    enum class Part : std::uint8_t { request_line, fields, body, whole };
    void line(std::string_view text);
    void request_line(std::string_view text);
    void field(std::string_view text);
    void end_of_head();
    void fail(Fault fault) {
        if (fault_ == Fault::none) fault_ = fault;
    }
    Part part_ = Part::request_line;
    Fault fault_ = Fault::none;
    bool length_told_ = false, coded_ = false;
    std::size_t read_ = 0, fields_ = 0;
    std::uint64_t body_left_ = 0;
    std::string line_, method_, path_;
};

}  // namespace lemonstair::http
