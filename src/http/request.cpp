#include "http/request.h"

#include <algorithm>
#include <charconv>

#include "http/headers.h"

namespace lemonstair::http {

namespace {

// What may stand in a method or in the name of a field.
bool is_token(std::string_view text) {
    constexpr std::string_view others = "!#$%&'*+-.^_`|~";
    return !text.empty() && std::all_of(text.begin(), text.end(), [&](char c) {
        return (c >= '0' && c <= '9') || (c >= 'A' && c <= 'Z') || (c >= 'a' && c <= 'z') ||
               others.find(c) != std::string_view::npos;
    });
}

bool printable(std::string_view text) {
    return std::all_of(text.begin(), text.end(),
                       [](char c) { return c == '\t' || static_cast<unsigned char>(c) >= 0x20; });
}

}  // namespace

void Request::feed(std::string_view bytes) {
    while (!bytes.empty() && part_ != Part::whole && fault_ == Fault::none) {
        if (part_ == Part::body) {
            const std::size_t n = std::min<std::uint64_t>(body_left_, bytes.size());
            body_left_ -= n;
            bytes.remove_prefix(n);
            if (body_left_ == 0) part_ = Part::whole;
            continue;
        }
        const auto end = bytes.find('\n');
        const std::size_t n = std::min(end, bytes.size() - 1) + 1;
        read_ += n;
        if (read_ > longest_head) return fail(Fault::head_too_long);
        line_.append(bytes.substr(0, n));
        bytes.remove_prefix(n);
        if (end == std::string_view::npos) return;
        line_.pop_back();
        if (!line_.empty() && line_.back() == '\r') line_.pop_back();
        line(line_);
        line_.clear();
    }
}

void Request::line(std::string_view text) {
    if (!printable(text)) return fail(Fault::unreadable);
    if (part_ == Part::request_line) {
        if (!text.empty()) request_line(text);  // an empty line before it is passed over
    } else if (text.empty()) {
        end_of_head();
    } else {
        field(text);
    }
}

void Request::request_line(std::string_view text) {
    const auto first = text.find(' '), last = text.rfind(' ');
    if (first == std::string_view::npos || first == last) return fail(Fault::unreadable);
    const auto method = text.substr(0, first), target = text.substr(first + 1, last - first - 1),
               version = text.substr(last + 1);
    if (!is_token(method) || target.empty() || target.front() != '/' ||
        target.find(' ') != std::string_view::npos || version.substr(0, 5) != "HTTP/")
        return fail(Fault::unreadable);
    if (version != "HTTP/1.1" && version != "HTTP/1.0") return fail(Fault::version);
    method_ = method;
    path_ = target.substr(0, target.find('?'));
    part_ = Part::fields;
}

void Request::field(std::string_view text) {
    const auto colon = text.find(':');
    if (++fields_ > most_fields) return fail(Fault::head_too_long);
    if (colon == std::string_view::npos || !is_token(text.substr(0, colon))) return fail(Fault::unreadable);
    const auto name = text.substr(0, colon), value = trimmed(text.substr(colon + 1));
    if (same_word(name, "transfer-encoding")) coded_ = true;
    if (!same_word(name, "content-length")) return;
    const char* end = value.data() + value.size();
    const auto [stop, error] = std::from_chars(value.data(), end, body_left_);
    const bool read = !value.empty() && stop == end && error == std::errc{};
    // Two lengths, or one that is no number, leave open where the request ends.
    if (length_told_ || (!read && error != std::errc::result_out_of_range)) return fail(Fault::unreadable);
    length_told_ = true;
    if (!read || body_left_ > longest_body) fail(Fault::body_too_long);
}

void Request::end_of_head() {
    if (coded_) return fail(length_told_ ? Fault::unreadable : Fault::length_wanted);
    part_ = body_left_ > 0 ? Part::body : Part::whole;
}

}  // namespace lemonstair::http
