// Switches that disable a protective mechanism by name, to show that the oracles detect its absence. They
// exist only in builds with HERONTALLY_BREAKS; elsewhere broken() is constant and the compiler removes the
// code that depends on it.
#pragma once
#include <set>
#include <string>

namespace herontally {

#ifdef HERONTALLY_BREAKS
// The names of the disabled mechanisms.
inline std::set<std::string>& breaks() {
  static std::set<std::string> names;
  return names;
}
inline bool broken(const char* name) { return breaks().count(name) > 0; }
#else
constexpr bool broken(const char*) { return false; }
#endif

}  // namespace herontally
