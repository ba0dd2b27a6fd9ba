// Names become dense indices at the door; inside, tables are vectors over these indices.
#pragma once
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace herontally::names {

using index = std::uint32_t;

class table {
 public:
  table();
  ~table();
  table(table&&) noexcept;
  table& operator=(table&&) noexcept;
  // The same name always gets the same index; new names get the next one.
  index intern(const std::string& name);
  std::optional<index> find(const std::string& name) const;
  const std::string& name_of(index position) const;
  std::size_t size() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

// Letters, digits, '-', '_', '.' and ':', 1 to 120 of them: what may stand in a path or a key.
bool is_plain(const std::string& name);

}  // namespace herontally::names
