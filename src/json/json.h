/// JSON parser. A document is a flat array of items that refer to the parsed text, which must outlive the
/// document; the array is reused from text to text. Fields are looked up by name, and errors name the field
/// that is missing or has the wrong type.
#pragma once

#include <cstdint>
#include <deque>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace lemonstair::json {

enum class Type : std::uint8_t { null, boolean, number, text, list, object };

/// Input that does not meet its requirements. The message names the context and the field, and is logged as
/// it is where a configuration, an endpoint list or an entry of a list is refused.
struct Malformed : std::runtime_error {
    using std::runtime_error::runtime_error;
};

class Value;

/// A parsed text. Reused for the next text, it keeps its memory.
class Document {
  public:
    /// Returns false where the text is not exactly one JSON value; the document is then empty.
    bool parse(std::string_view text);
    /// A null value where the document is empty.
    Value root() const;

  private:
    friend class Value;
    friend class Reader;
    struct Item {
        std::string_view raw;    // the characters of a text, number or boolean
        std::uint32_t next = 0;  // index of the first item after this value and all within it
        Type type = Type::null;
    };
    std::vector<Item> items_;  // a field is a text item with its name, then its value
    std::deque<std::string> unescaped_;
};

/// A value of a document, valid until the document parses another text. Accessors that take a name look up a
/// field of this object. They throw Malformed where the field is missing and no fallback is given, or where
/// it has another type. A null field counts as missing.
class Value {
  public:
    Value() = default;
    explicit Value(const char* context) : context_(context) {}
    Value(const Document& document, std::uint32_t index, const char* context = "")
        : document_(&document), index_(index), context_(context) {}
    /// The same value with `context` at the beginning of its error messages. `context` must outlive the
    /// value.
    Value with_context(const char* context) const {
        Value value = *this;
        value.context_ = context;
        return value;
    }
    /// The same value, for a field that must stay secret: its error messages do not show the field's value.
    Value without_shown_values() const {
        Value value = *this;
        value.shows_values_ = false;
        return value;
    }
    Type type() const { return document_ == nullptr ? Type::null : item().type; }
    /// The characters of a text (unescaped), a number or a boolean; empty for a list and an object. Must not
    /// be called on a null value.
    std::string_view raw() const { return item().raw; }

    bool has(std::string_view name) const { return find(name).type() != Type::null; }
    // Non-negative integers of 64 and 32 bits.
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
    std::string_view text(std::string_view name) const { return require(name, Type::text, "a string").raw(); }
    std::string_view text(std::string_view name, std::string_view fallback) const {
        return has(name) ? text(name) : fallback;
    }
    /// A boolean; false where the field is missing.
    bool flag(std::string_view name) const;
    /// A nested object; a null value where the field is missing, all fields of which are missing too.
    Value object(std::string_view name) const {
        return has(name) ? require(name, Type::object, "an object") : Value(context_);
    }
    /// Calls on_member for each member of a nested list; for none where the field is missing.
    template <class OnMember>
    void for_each(std::string_view name, OnMember&& on_member) const {
        if (!has(name)) return;
        const Value list = require(name, Type::list, "a list");
        for (std::uint32_t i = list.index_ + 1; i < list.item().next; i = document_->items_[i].next)
            on_member(Value(*document_, i, context_));
    }
    /// Calls on_field with the name and the value of each field; for none where this is not an object.
    template <class OnField>
    void for_each_field(OnField&& on_field) const {
        if (type() != Type::object) return;
        for (std::uint32_t i = index_ + 1; i < item().next; i = document_->items_[i + 1].next)
            on_field(document_->items_[i].raw, Value(*document_, i + 1, context_));
    }
    /// This value as a number; NaN where it is not a number, or out of the range of a double.
    double as_number() const;
    /// Throws Malformed with the message "CONTEXT: field 'NAME' PROBLEM", followed by an excerpt of the
    /// field's value where that is a text, a number or a boolean.
    [[noreturn]] void fail(std::string_view name, std::string_view problem) const;

  private:
    const Document::Item& item() const { return document_->items_[index_]; }
    Value find(std::string_view name) const {
        if (type() != Type::object) return Value(context_);
        for (std::uint32_t i = index_ + 1; i < item().next; i = document_->items_[i + 1].next)
            if (document_->items_[i].raw == name) return Value(*document_, i + 1, context_);
        return Value(context_);
    }
    Value require(std::string_view name, Type type, const char* expected) const;
    const Document* document_ = nullptr;
    std::uint32_t index_ = 0;
    bool shows_values_ = true;  // in error messages; not passed on to nested values
    const char* context_ = "";
};

}  // namespace lemonstair::json
