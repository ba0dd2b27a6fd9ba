// Names become dense indices where a request enters; inside, tables are vectors over these indices.
#pragma once
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace herontally::interning {

using symbol = std::uint32_t;

class symbol_table {
 public:
  symbol_table();
  ~symbol_table();
  symbol_table(symbol_table&&) noexcept;
  symbol_table& operator=(symbol_table&&) noexcept;
  // The same name always gets the same index; new names get the next one.
  symbol intern(const std::string& name);
  std::optional<symbol> find(const std::string& name) const;
  const std::string& name_of(symbol position) const;
  std::size_t size() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

// Letters, digits, '-', '_', '.' and ':', 1 to 120 of them: what may stand in a path or a key.
bool is_plain_name(const std::string& name);

}  // namespace herontally::interning
