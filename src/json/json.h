// JSON parser. A document is a flat array of items that refer to the text, which must outlive it; the array
// is reused from text to text. Fields are looked up by name, and errors name the field that is missing or
// mistyped.
#pragma once

#include <cstdint>
#include <deque>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace lemonstair::json {

enum class Type : std::uint8_t { null, boolean, number, text, list, object };

// Input that is not as required. The message names the context and the field; it is what is logged where a
// configuration, a list or an entry of a list is refused.
struct Malformed : std::runtime_error {
    using std::runtime_error::runtime_error;
};

class Value;

class Document {
  public:
    // False where the text is not one JSON value; the document is then empty.
    bool parse(std::string_view text);
    Value root() const;

  private:
    friend class Value;
    friend class Reader;
    struct Item {
        std::string_view raw;    // the characters of a text, number or boolean
        std::uint32_t next = 0;  // index of the item behind this value and all within it
        Type type = Type::null;
    };
    std::vector<Item> items_;  // a field is a text item with its name, then its value
    std::deque<std::string> unescaped_;
};

// A value of a document, valid until it parses another text. Accessors that take a name look up a field of
// this object; they throw Malformed where the field is missing and there is no fallback, or has another type.
// A null field counts as missing.
class Value {
  public:
    Value() = default;
    explicit Value(const char* context) : context_(context) {}
    Value(const Document& document, std::uint32_t index, const char* context = "")
        : document_(&document), index_(index), context_(context) {}
    // `context` begins the messages of errors; it must outlive the value.
    Value with_context(const char* context) const {
        Value v = *this;
        v.context_ = context;
        return v;
    }
    Type type() const { return document_ == nullptr ? Type::null : item().type; }
    std::string_view raw() const { return item().raw; }

    bool has(std::string_view name) const { return find(name).type() != Type::null; }
    // Non-negative integers, of 64 and 32 bits.
    std::uint64_t uint64(std::string_view name) const;
    std::uint64_t uint64(std::string_view name, std::uint64_t fallback) const {
        return has(name) ? uint64(name) : fallback;
    }
    std::uint32_t uint32(std::string_view name) const;
    std::uint32_t uint32(std::string_view name, std::uint32_t fallback) const {
        return has(name) ? uint32(name) : fallback;
    }
    double number(std::string_view name) const;
    double number(std::string_view name, double fallback) const {
        return has(name) ? number(name) : fallback;
    }
    std::string_view text(std::string_view name) const { return require(name, Type::text, "a text").raw(); }
    std::string_view text(std::string_view name, std::string_view fallback) const {
        return has(name) ? text(name) : fallback;
    }
    // False where it is missing.
    bool flag(std::string_view name) const;
    // An object within; an empty one where it is missing.
    Value object(std::string_view name) const {
        return has(name) ? require(name, Type::object, "an object") : Value(context_);
    }
    // Each member of a list within; none where it is missing.
    template <class Each>
    void for_each(std::string_view name, Each&& each_one) const {
        if (!has(name)) return;
        const Value list = require(name, Type::list, "a list");
        for (std::uint32_t i = list.index_ + 1; i < list.item().next; i = document_->items_[i].next)
            each_one(Value(*document_, i, context_));
    }
    // Each field of an object: its name and its value.
    template <class Each>
    void for_each_field(Each&& each_one) const {
        if (type() != Type::object) return;
        for (std::uint32_t i = index_ + 1; i < item().next; i = document_->items_[i + 1].next)
            each_one(document_->items_[i].raw, Value(*document_, i + 1, context_));
    }
    // This value as a number; NaN where it is none.
    double as_number() const;
    // Throws Malformed about the field `name`.
    [[noreturn]] void fail(std::string_view name, std::string_view what) const;

  private:
    const Document::Item& item() const { return document_->items_[index_]; }
    Value find(std::string_view name) const {
        if (type() != Type::object) return Value(context_);
        for (std::uint32_t i = index_ + 1; i < item().next; i = document_->items_[i + 1].next)
            if (document_->items_[i].raw == name) return Value(*document_, i + 1, context_);
        return Value(context_);
    }
    Value require(std::string_view name, Type type, const char* what) const;
    const Document* document_ = nullptr;
    std::uint32_t index_ = 0;
    const char* context_ = "";
};

}  // namespace lemonstair::json
