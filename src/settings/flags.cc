// Parsing of command lines for daemons and tools; the flags are declared with ABSL_FLAG in each program.
#include <absl/flags/reflection.h>
#include <stdio.h>
#include <stdlib.h>

#include <map>

#include "settings/settings.h"

namespace herontally::settings {

void exit_with_fault(const std::string& program, const fault& found) {
  fprintf(stderr, "%s: %s %s\n", program.c_str(), found.field.c_str(), found.what.c_str());
  exit(2);
}

// Old names of renamed flags and their new names, so that the error message for an old name gives the new
// one.
static const std::map<std::string, std::string> renamed_flags{{"door", "proxy"}, {"doors", "proxies"}};

static std::string base_name(const std::string& path) { return path.substr(path.rfind('/') + 1); }

std::vector<std::string> parse_flags(int count, char** arguments, const std::string& usage) {
  std::string program = base_name(arguments[0]);
  std::vector<std::string> positional;
  for (int position = 1; position < count; ++position) {
    std::string argument = arguments[position];
    if (argument == "--help" || argument == "-h") {
      printf("%s", usage.c_str());
      exit(0);
    }
    if (argument.rfind("--", 0) != 0) {
      positional.push_back(argument);
      continue;
    }
    auto equals = argument.find('=');
    std::string flag = argument.substr(2, equals == std::string::npos ? std::string::npos : equals - 2);
    auto* found = absl::FindCommandLineFlag(flag);
    auto renamed = renamed_flags.find(flag);
    if (!found && renamed != renamed_flags.end())
      exit_with_fault(program, {"--" + flag, "is called --" + renamed->second + " now"});
    if (!found) exit_with_fault(program, {"--" + flag, "is not a flag; see --help"});
    std::string value;
    if (equals != std::string::npos)
      value = argument.substr(equals + 1);
    else if (found->IsOfType<bool>())
      value = "true";
    else if (position + 1 < count)
      value = arguments[++position];
    else
      exit_with_fault(program, {"--" + flag, "needs a value"});
    std::string parse_error;
    if (!found->ParseFrom(value, &parse_error))
      exit_with_fault(program, {"--" + flag, "does not take \"" + value + "\""});
  }
  return positional;
}

}  // namespace herontally::settings
