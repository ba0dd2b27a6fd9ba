// Interns names as dense indices, so that tables inside the process can be vectors indexed by them. Indices
// depend on the order of interning and mean nothing in another process.
#pragma once
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace herontally::interning {

// The index of an interned name.
using symbol = std::uint32_t;

// Assigns indices from 0 in the order of the first use; names are never removed. Movable, not copyable.
class symbol_table {
 public:
  symbol_table();
  ~symbol_table();
  symbol_table(symbol_table&&) noexcept;
  symbol_table& operator=(symbol_table&&) noexcept;
  // The index of the name; a new name is added with the next index.
  symbol intern(const std::string& name);
  // The index of the name, if it has been interned.
  std::optional<symbol> find(const std::string& name) const;
  // The name of a valid index. The reference stays valid as long as the table.
  const std::string& name_of(symbol index) const;
  std::size_t size() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

// Whether a name can be used as is in a path or a key: 1 to 120 letters, digits, '-', '_', '.' and ':'.
bool is_plain_name(const std::string& name);

}  // namespace herontally::interning
