// The lines of an HTTP/1.1 answer's body, chunked or plain, as the bytes come in.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace lemonstair::discovery {

class HttpLines {
  public:
    // Calls each_line for each whole line of the body, without its end; an empty one too. False once the
    // answer is not a good one: another status than 200, wrong framing, a line without end.
    template <class EachLine>
    bool feed(std::string_view bytes, EachLine&& each_line) {
        while (!bytes.empty() && part_ != Part::bad && part_ != Part::over) {
            if (part_ != Part::body) {
                head(bytes);
                continue;
            }
            std::size_t n = chunked_ ? std::min<std::uint64_t>(left_, bytes.size()) : bytes.size();
            left_ -= chunked_ ? n : 0;
            std::string_view body = bytes.substr(0, n);
            bytes.remove_prefix(n);
            if (chunked_ && left_ == 0) part_ = Part::chunk_end;
            for (std::size_t end; (end = body.find('\n')) != std::string_view::npos;
                 body.remove_prefix(end + 1)) {
                line_.append(body.substr(0, end));
                if (!line_.empty() && line_.back() == '\r') line_.pop_back();
                each_line(std::string_view(line_));
                line_.clear();
            }
            line_.append(body);
            if (line_.size() > longest_line) part_ = Part::bad;
        }
        return part_ != Part::bad;
    }
    bool over() const { return part_ == Part::over; }
    void begin() { *this = HttpLines(); }

  private:
    enum class Part : std::uint8_t { status, header, body, chunk_size, chunk_end, trailer, over, bad };
    static constexpr std::size_t longest_line = 4 << 20, longest_head = 8192;
    void head(std::string_view& bytes);
    void head_line(std::string_view line);
    Part part_ = Part::status;
    bool chunked_ = false;
    std::uint64_t left_ = 0;
    std::size_t heads_ = 0;
    std::string head_, line_;
};

}  // namespace lemonstair::discovery
