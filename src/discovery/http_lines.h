// Incremental parser of an HTTP/1.1 response whose body is a stream of lines, chunked or plain.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace lemonstair::discovery {

class HttpLines {
  public:
    // Calls each_line for each complete line of the body, without its end; also for empty ones. False once
    // the response is invalid: a status other than 200, wrong framing, or a line or header that is too long.
    template <class EachLine>
    bool feed(std::string_view bytes, EachLine&& each_line) {
        while (!bytes.empty() && part_ != Part::invalid && part_ != Part::end) {
            if (part_ == Part::body)
                body(bytes, each_line);
            else
                head(bytes);
        }
        return part_ != Part::invalid;
    }
    // The body has ended; a plain one never does before its connection.
    bool at_end() const { return part_ == Part::end; }
    // Starts over for the response to another request.
    void reset() { *this = HttpLines(); }

  private:
    enum class Part : std::uint8_t { status, header, body, chunk_size, chunk_end, trailer, end, invalid };
    static constexpr std::size_t max_line_bytes = 4 << 20, max_head_line_bytes = 8192, max_headers = 100;
    template <class EachLine>
    void body(std::string_view& bytes, EachLine&& each_line) {
        const std::size_t size = chunked_ ? std::min<std::uint64_t>(chunk_left_, bytes.size()) : bytes.size();
        chunk_left_ -= chunked_ ? size : 0;
        std::string_view part = bytes.substr(0, size);
        bytes.remove_prefix(size);
        if (chunked_ && chunk_left_ == 0) part_ = Part::chunk_end;
        for (std::size_t end = part.find('\n'); end != std::string_view::npos; end = part.find('\n')) {
            line_.append(part.substr(0, end));
            if (!line_.empty() && line_.back() == '\r') line_.pop_back();
            each_line(std::string_view(line_));
            line_.clear();
            part.remove_prefix(end + 1);
        }
        line_.append(part);
        if (line_.size() > max_line_bytes) part_ = Part::invalid;
    }
    void head(std::string_view& bytes);
    void head_line(std::string_view line);
    void header(std::string_view line);
    void chunk_size(std::string_view line);
    Part part_ = Part::status;
    bool chunked_ = false;
    std::uint64_t chunk_left_ = 0;  // bytes
    std::size_t headers_ = 0;
    std::string head_line_, line_;
};

}  // namespace lemonstair::discovery
