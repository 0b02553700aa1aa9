#include "json/json.h"

#include <charconv>
#include <cmath>

#include "json/text.h"

namespace lemonstair::json {

// Parses a text into the items of a document. The depth of nesting is limited, because each level is a level
// of recursion.
class Reader {
  public:
    Reader(Document& document, std::string_view text)
        : document_(document), at_(text.data()), end_(text.data() + text.size()) {}
    bool read() {
        if (!value(0)) return false;
        skip_blanks();
        return at_ == end_;
    }

  private:
    static constexpr int max_depth = 64;
    void skip_blanks() {
        while (at_ != end_ && (*at_ == ' ' || *at_ == '\t' || *at_ == '\n' || *at_ == '\r')) ++at_;
    }
    bool consume(char c) {
        skip_blanks();
        if (at_ == end_ || *at_ != c) return false;
        ++at_;
        return true;
    }
    std::size_t add_item(Type type) {
        document_.items_.push_back({{}, static_cast<std::uint32_t>(document_.items_.size() + 1), type});
        return document_.items_.size() - 1;
    }
    bool value(int depth) {
        skip_blanks();
        if (at_ == end_ || depth > max_depth) return false;
        switch (*at_) {
            case '{':
                return container(Type::object, '}', depth);
            case '[':
                return container(Type::list, ']', depth);
            case '"':
                return text();
            case 't':
                return literal("true", Type::boolean);
            case 'f':
                return literal("false", Type::boolean);
            case 'n':
                return literal("null", Type::null);
            default:
                return number();
        }
    }
    bool container(Type type, char close, int depth) {
        const std::size_t self = add_item(type);
        ++at_;
        if (!consume(close)) {
            do {
                if (type == Type::object) {
                    skip_blanks();
                    if (at_ == end_ || *at_ != '"' || !text() || !consume(':')) return false;
                }
                if (!value(depth + 1)) return false;
            } while (consume(','));
            if (!consume(close)) return false;
        }
        document_.items_[self].next = static_cast<std::uint32_t>(document_.items_.size());
        return true;
    }
    bool literal(std::string_view word, Type type) {
        if (std::string_view(at_, end_).substr(0, word.size()) != word) return false;
        document_.items_[add_item(type)].raw = {at_, word.size()};
        at_ += word.size();
        return true;
    }
    bool digits() {
        const char* from = at_;
        while (at_ != end_ && *at_ >= '0' && *at_ <= '9') ++at_;
        return at_ != from;
    }
    bool number() {
        const char* from = at_;
        if (at_ != end_ && *at_ == '-') ++at_;
        const char* first = at_;
        if (!digits() || (*first == '0' && at_ - first > 1)) return false;
        if (at_ != end_ && *at_ == '.') {
            ++at_;
            if (!digits()) return false;
        }
        if (at_ != end_ && (*at_ == 'e' || *at_ == 'E')) {
            ++at_;
            if (at_ != end_ && (*at_ == '+' || *at_ == '-')) ++at_;
            if (!digits()) return false;
        }
        document_.items_[add_item(Type::number)].raw = {from, static_cast<std::size_t>(at_ - from)};
        return true;
    }
    bool text() {
        const char* from = ++at_;
        bool plain = true;
        for (; at_ != end_ && *at_ != '"'; ++at_) {
            if (static_cast<unsigned char>(*at_) < 0x20) return false;
            if (*at_ != '\\') continue;
            plain = false;
            if (++at_ == end_) return false;
        }
        if (at_ == end_) return false;
        const std::string_view raw(from, static_cast<std::size_t>(at_ - from));
        ++at_;
        const std::size_t self = add_item(Type::text);
        if (plain) {
            document_.items_[self].raw = raw;
            return true;
        }
        std::string& out = document_.unescaped_.emplace_back();
        if (!unescape(raw, out)) return false;
        document_.items_[self].raw = out;
        return true;
    }
    static bool hex4(std::string_view raw, std::size_t at, std::uint32_t& code) {
        if (raw.size() - at < 4) return false;
        const char* stop = raw.data() + at + 4;
        return std::from_chars(raw.data() + at, stop, code, 16).ptr == stop;
    }
    static bool unescape(std::string_view raw, std::string& out) {
        for (std::size_t i = 0; i < raw.size(); ++i) {
            if (raw[i] != '\\') {
                out.push_back(raw[i]);
                continue;
            }
            constexpr std::string_view escapes = "\"\\/bfnrt", meanings = "\"\\/\b\f\n\r\t";
            const char c = raw[++i];
            if (const auto index = escapes.find(c); index != std::string_view::npos) {
                out.push_back(meanings[index]);
                continue;
            }
            std::uint32_t code = 0, low = 0;
            if (c != 'u' || !hex4(raw, i + 1, code)) return false;
            i += 4;
            if (code >= 0xdc00 && code < 0xe000) return false;
            if (code >= 0xd800 && code < 0xdc00) {
                if (raw.substr(i + 1, 2) != "\\u" || !hex4(raw, i + 3, low) || low < 0xdc00 || low > 0xdfff)
                    return false;
                i += 6;
                code = 0x10000 + ((code - 0xd800) << 10) + (low - 0xdc00);
            }
            append_utf8(code, out);
        }
        return true;
    }
    static void append_utf8(std::uint32_t code, std::string& out) {
        if (code < 0x80) return out.push_back(static_cast<char>(code));
        int tail = code < 0x800 ? 1 : code < 0x10000 ? 2 : 3;
        const std::uint32_t lead = tail == 1 ? 0xc0 : tail == 2 ? 0xe0 : 0xf0;
        out.push_back(static_cast<char>(lead | code >> (6 * tail)));
        while (tail-- > 0) out.push_back(static_cast<char>(0x80 | (code >> (6 * tail) & 0x3f)));
    }

    Document& document_;
    const char* at_;
    const char* end_;
};

bool Document::parse(std::string_view text) {
    items_.clear();
    unescaped_.clear();
    if (text.size() < 0xffffffffULL && Reader(*this, text).read()) return true;
    items_.clear();
    return false;
}

Value Document::root() const { return items_.empty() ? Value() : Value(*this, 0); }

void Value::fail(std::string_view name, std::string_view problem) const {
    std::string message = std::string(context_).append(": field '").append(name).append("' ").append(problem);
    const Value value = shows_values_ ? find(name) : Value();
    if (value.type() == Type::text)
        message.append(", got ").append(quoted_excerpt(value.raw()));
    else if (value.type() == Type::number || value.type() == Type::boolean)
        message.append(", got ").append(excerpt(value.raw()));
    throw Malformed(message);
}

Value Value::require(std::string_view name, Type type, const char* expected) const {
    const Value value = find(name);
    if (value.type() == Type::null) fail(name, std::string("is missing, expected ").append(expected));
    if (value.type() != type) fail(name, std::string("must be ").append(expected));
    return value;
}

std::uint64_t Value::uint64(std::string_view name) const {
    const auto raw = require(name, Type::number, "a non-negative integer").raw();
    std::uint64_t result = 0;
    const auto [stop, error] = std::from_chars(raw.data(), raw.data() + raw.size(), result);
    if (error != std::errc{} || stop != raw.data() + raw.size())
        fail(name, "must be a non-negative integer of at most 64 bits");
    return result;
}

std::uint32_t Value::uint32(std::string_view name) const {
    const std::uint64_t result = uint64(name);
    if (result > 0xffffffffULL) fail(name, "must be at most 4294967295");
    return static_cast<std::uint32_t>(result);
}

double Value::as_number() const {
    double result = NAN;
    if (type() == Type::number) std::from_chars(raw().data(), raw().data() + raw().size(), result);
    return result;
}

double Value::number(std::string_view name) const {
    const double result = require(name, Type::number, "a number").as_number();
    if (!std::isfinite(result)) fail(name, "must be within the range of a double");
    return result;
}

bool Value::flag(std::string_view name) const {
    return has(name) && require(name, Type::boolean, "true or false").raw() == "true";
}

}  // namespace lemonstair::json
