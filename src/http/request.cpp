#include "http/request.h"

#include <algorithm>
#include <charconv>

#include "http/headers.h"

namespace lemonstair::http {

namespace {

// The characters of a method or a header name.
bool is_token(std::string_view text) {
    constexpr std::string_view symbols = "!#$%&'*+-.^_`|~";
    return !text.empty() && std::all_of(text.begin(), text.end(), [&](char c) {
        return (c >= '0' && c <= '9') || (c >= 'A' && c <= 'Z') || (c >= 'a' && c <= 'z') ||
               symbols.find(c) != std::string_view::npos;
    });
}

bool has_no_control_characters(std::string_view text) {
    return std::all_of(text.begin(), text.end(),
                       [](char c) { return c == '\t' || static_cast<unsigned char>(c) >= 0x20; });
}

}  // namespace

void Request::feed(std::string_view bytes) {
    while (!bytes.empty() && part_ != Part::complete && error_ == RequestError::none) {
        if (part_ == Part::body) {
            const std::size_t size = std::min<std::uint64_t>(body_bytes_left_, bytes.size());
            body_bytes_left_ -= size;
            bytes.remove_prefix(size);
            if (body_bytes_left_ == 0) part_ = Part::complete;
            continue;
        }
        const auto end = bytes.find('\n');
        const std::size_t size = std::min(end, bytes.size() - 1) + 1;
        head_bytes_ += size;
        if (head_bytes_ > max_head_bytes) return fail(RequestError::header_too_large);
        line_.append(bytes.substr(0, size));
        bytes.remove_prefix(size);
        if (end == std::string_view::npos) return;
        line_.pop_back();
        if (!line_.empty() && line_.back() == '\r') line_.pop_back();
        parse_line(line_);
        line_.clear();
    }
}

void Request::parse_line(std::string_view text) {
    if (!has_no_control_characters(text)) return fail(RequestError::bad_request);
    if (part_ == Part::request_line) {
        if (!text.empty()) parse_request_line(text);  // empty lines before the request are allowed
    } else if (text.empty()) {
        finish_head();
    } else {
        parse_field(text);
    }
}

void Request::parse_request_line(std::string_view text) {
    const auto first = text.find(' '), last = text.rfind(' ');
    if (first == std::string_view::npos || first == last) return fail(RequestError::bad_request);
    const auto method = text.substr(0, first), target = text.substr(first + 1, last - first - 1),
               version = text.substr(last + 1);
    if (!is_token(method) || target.empty() || target.front() != '/' ||
        target.find(' ') != std::string_view::npos || version.substr(0, 5) != "HTTP/")
        return fail(RequestError::bad_request);
    if (version != "HTTP/1.1" && version != "HTTP/1.0") return fail(RequestError::version_not_supported);
    method_ = method;
    path_ = target.substr(0, target.find('?'));
    part_ = Part::fields;
}

void Request::parse_field(std::string_view text) {
    const auto colon = text.find(':');
    if (++field_count_ > max_fields) return fail(RequestError::header_too_large);
    if (colon == std::string_view::npos || !is_token(text.substr(0, colon)))
        return fail(RequestError::bad_request);
    const auto name = text.substr(0, colon), value = trim(text.substr(colon + 1));
    if (equals_ignoring_case(name, "transfer-encoding")) has_transfer_encoding_ = true;
    if (!equals_ignoring_case(name, "content-length")) return;
    const char* end = value.data() + value.size();
    const auto [stop, error] = std::from_chars(value.data(), end, body_bytes_left_);
    const bool is_valid = !value.empty() && stop == end && error == std::errc{};
    // With two lengths, or one that is not a number, the end of the request is ambiguous.
    if (has_length_ || (!is_valid && error != std::errc::result_out_of_range))
        return fail(RequestError::bad_request);
    has_length_ = true;
    if (!is_valid || body_bytes_left_ > max_body_bytes) fail(RequestError::content_too_large);
}

void Request::finish_head() {
    if (has_transfer_encoding_)
        return fail(has_length_ ? RequestError::bad_request : RequestError::length_required);
    part_ = body_bytes_left_ > 0 ? Part::body : Part::complete;
}

}  // namespace lemonstair::http
