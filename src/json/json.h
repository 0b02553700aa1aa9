// A JSON text as a flat row of values over the text itself, which must outlive it. The row is used again from
// text to text. Fields are looked up by name; a missing or mistyped one is told by its name.
#pragma once

#include <cstdint>
#include <deque>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace lemonstair::json {

enum class Type : std::uint8_t { null, truth, number, text, list, object };

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
        std::string_view raw;    // a text's characters, a number's or a truth's letters
        std::uint32_t next = 0;  // the place after this value and all within it
        Type type = Type::null;
    };
    std::vector<Item> items_;  // a field is its name's text, then its value
    std::deque<std::string> unescaped_;
};

class Value {
  public:
    Value() = default;
    explicit Value(const char* where) : where_(where) {}
    Value(const Document& of, std::uint32_t at, const char* where = "") : of_(&of), at_(at), where_(where) {}
    Value with_context(const char* where) const {
        Value v = *this;
        v.where_ = where;
        return v;
    }
    Type type() const { return of_ == nullptr ? Type::null : item().type; }
    std::string_view raw() const { return item().raw; }

    bool has(std::string_view name) const { return find(name).type() != Type::null; }
    std::uint64_t whole(std::string_view name) const;
    std::uint64_t whole(std::string_view name, std::uint64_t or_else) const {
        return has(name) ? whole(name) : or_else;
    }
    std::uint32_t small(std::string_view name) const;
    std::uint32_t small(std::string_view name, std::uint32_t or_else) const {
        return has(name) ? small(name) : or_else;
    }
    double number(std::string_view name) const;
    double number(std::string_view name, double or_else) const { return has(name) ? number(name) : or_else; }
    std::string_view text(std::string_view name) const { return need(name, Type::text, "a text").raw(); }
    std::string_view text(std::string_view name, std::string_view or_else) const {
        return has(name) ? text(name) : or_else;
    }
    bool flag(std::string_view name) const;
    // An object within; an empty one where it is missing.
    Value inner(std::string_view name) const {
        return has(name) ? need(name, Type::object, "an object") : Value(where_);
    }
    // Each member of a list within; none where it is missing.
    template <class Each>
    void each(std::string_view name, Each&& each_one) const {
        if (!has(name)) return;
        const Value list = need(name, Type::list, "a list");
        for (std::uint32_t i = list.at_ + 1; i < list.item().next; i = of_->items_[i].next)
            each_one(Value(*of_, i, where_));
    }
    // Each field of an object: its name and its value.
    template <class Each>
    void fields(Each&& each_one) const {
        if (type() != Type::object) return;
        for (std::uint32_t i = at_ + 1; i < item().next; i = of_->items_[i + 1].next)
            each_one(of_->items_[i].raw, Value(*of_, i + 1, where_));
    }
    double as_number() const;
    [[noreturn]] void fail(std::string_view name, std::string_view what) const;

  private:
    const Document::Item& item() const { return of_->items_[at_]; }
    Value find(std::string_view name) const {
        if (type() != Type::object) return Value(where_);
        for (std::uint32_t i = at_ + 1; i < item().next; i = of_->items_[i + 1].next)
            if (of_->items_[i].raw == name) return Value(*of_, i + 1, where_);
        return Value(where_);
    }
    Value need(std::string_view name, Type type, const char* what) const;
    const Document* of_ = nullptr;
    std::uint32_t at_ = 0;
    const char* where_ = "";
};

}  // namespace lemonstair::json
