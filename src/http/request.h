/// Incremental parser of one HTTP/1.1 request. It owns no socket, accepts the bytes in pieces of any size,
/// and limits the memory that a client can make it use.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace lemonstair::http {

/// Why a request cannot be parsed. The values are the HTTP status codes to respond with.
enum class RequestError : std::uint16_t {
    none = 0,
    bad_request = 400,
    length_required = 411,
    content_too_large = 413,
    header_too_large = 431,
    version_not_supported = 505
};

/// One request: fed with bytes until it is complete or has an error. The bytes of its body are skipped.
class Request {
  public:
    static constexpr std::size_t max_head_bytes = 8192, max_body_bytes = 4096, max_fields = 64;
    /// Parses the next bytes. Bytes after the end of the request, or after an error, are ignored.
    void feed(std::string_view bytes);
    /// The head and the body have been received. Never true together with an error.
    bool is_complete() const { return part_ == Part::complete; }
    RequestError error() const { return error_; }
    /// No byte has been received yet.
    bool is_empty() const { return head_bytes_ == 0; }
    std::string_view method() const { return std::string_view(method_); }
    /// The path of the request target, without the query.
    std::string_view path() const { return std::string_view(path_); }

  private:
    enum class Part : std::uint8_t { request_line, fields, body, complete };
    void parse_line(std::string_view text);
    void parse_request_line(std::string_view text);
    void parse_field(std::string_view text);
    void finish_head();
    void fail(RequestError error) {
        if (error_ == RequestError::none) error_ = error;
    }
    Part part_ = Part::request_line;
    RequestError error_ = RequestError::none;
    bool has_length_ = false, has_transfer_encoding_ = false;
    std::size_t head_bytes_ = 0, field_count_ = 0;
    std::uint64_t body_bytes_left_ = 0;
    std::string line_, method_, path_;
};

}  // namespace lemonstair::http
