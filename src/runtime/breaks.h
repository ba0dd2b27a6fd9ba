// Deliberate breaks of protecting mechanisms. They exist only in the build that shows that the oracle notices
// them; everywhere else this is a constant and the compiler removes what hangs on it.
#pragma once
#include <set>
#include <string>

namespace herontally {

#ifdef HERONTALLY_BREAKS
inline std::set<std::string>& breaks() {
  static std::set<std::string> chosen;
  return chosen;
}
inline bool broken(const char* name) { return breaks().count(name) > 0; }
#else
constexpr bool broken(const char*) { return false; }
#endif

}  // namespace herontally
