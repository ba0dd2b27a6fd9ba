#include <absl/flags/reflection.h>
#include <stdio.h>
#include <stdlib.h>

#include <map>

#include "settings/settings.h"

namespace herontally::settings {

void end_with(const std::string& program, const fault& found) {
  fprintf(stderr, "%s: %s %s\n", program.c_str(), found.field.c_str(), found.what.c_str());
  exit(2);
}

// Flags that were renamed, and what they are called now.
static const std::map<std::string, std::string> renamed_flags{{"door", "proxy"}, {"doors", "proxies"}};

static std::string base_name(const std::string& path) { return path.substr(path.rfind('/') + 1); }

std::vector<std::string> parse_flags(int count, char** words, const std::string& usage) {
  std::string program = base_name(words[0]);
  std::vector<std::string> rest;
  for (int position = 1; position < count; ++position) {
    std::string word = words[position];
    if (word == "--help" || word == "-h") {
      printf("%s", usage.c_str());
      exit(0);
    }
    if (word.rfind("--", 0) != 0) {
      rest.push_back(word);
      continue;
    }
    auto equals = word.find('=');
    std::string flag = word.substr(2, equals == std::string::npos ? std::string::npos : equals - 2);
    auto* found = absl::FindCommandLineFlag(flag);
    auto renamed = renamed_flags.find(flag);
    if (!found && renamed != renamed_flags.end())
      end_with(program, {"--" + flag, "is called --" + renamed->second + " now"});
    if (!found) end_with(program, {"--" + flag, "is not a flag; see --help"});
    std::string value;
    if (equals != std::string::npos)
      value = word.substr(equals + 1);
    else if (found->IsOfType<bool>())
      value = "true";
    else if (position + 1 < count)
      value = words[++position];
    else
      end_with(program, {"--" + flag, "needs a value"});
    std::string why;
    if (!found->ParseFrom(value, &why)) end_with(program, {"--" + flag, "does not take \"" + value + "\""});
  }
  return rest;
}

}  // namespace herontally::settings
