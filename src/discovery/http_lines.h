/// Incremental parser of an HTTP/1.1 response whose body is a stream of lines, with or without chunked
/// transfer encoding.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace lemonstair::discovery {

class HttpLineParser {
  public:
    /// Parses the next bytes and calls on_line for each complete line of the body, empty ones included,
    /// without its line end. Returns false once the response is invalid: its status is not 200, its framing
    /// is wrong, or a line or the headers exceed a limit.
    template <class OnLine>
    bool feed(std::string_view bytes, OnLine&& on_line) {
        while (!bytes.empty() && state_ != State::invalid && state_ != State::end) {
            if (state_ == State::body)
                parse_body(bytes, on_line);
            else
                parse_head(bytes);
        }
        return state_ != State::invalid;
    }
    /// The body has ended. A body that is not chunked ends only with its connection, which is not seen here.
    bool at_end() const { return state_ == State::end; }
    /// Prepares for the response to another request.
    void reset() { *this = HttpLineParser(); }

  private:
    enum class State : std::uint8_t { status, header, body, chunk_size, chunk_end, trailer, end, invalid };
    static constexpr std::size_t max_line_bytes = 4 << 20, max_head_line_bytes = 8192, max_headers = 100;
    template <class OnLine>
    void parse_body(std::string_view& bytes, OnLine&& on_line) {
        const std::size_t size =
            chunked_ ? std::min<std::uint64_t>(chunk_bytes_left_, bytes.size()) : bytes.size();
        chunk_bytes_left_ -= chunked_ ? size : 0;
        std::string_view part = bytes.substr(0, size);
        bytes.remove_prefix(size);
        if (chunked_ && chunk_bytes_left_ == 0) state_ = State::chunk_end;
        for (std::size_t end = part.find('\n'); end != std::string_view::npos; end = part.find('\n')) {
            line_.append(part.substr(0, end));
            if (!line_.empty() && line_.back() == '\r') line_.pop_back();
            on_line(std::string_view(line_));
            line_.clear();
            part.remove_prefix(end + 1);
        }
        line_.append(part);
        if (line_.size() > max_line_bytes) state_ = State::invalid;
    }
    void parse_head(std::string_view& bytes);
    void parse_head_line(std::string_view line);
    void parse_header(std::string_view line);
    void parse_chunk_size(std::string_view line);
    State state_ = State::status;
    bool chunked_ = false;
    std::uint64_t chunk_bytes_left_ = 0;
    std::size_t header_count_ = 0;
    std::string head_line_, line_;
};

}  // namespace lemonstair::discovery
