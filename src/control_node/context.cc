#include "control_node/context.h"

namespace herontally::control_node {

std::optional<configuration::record> context::current_config() const {
  if (configs.config_text().empty()) return std::nullopt;
  return configuration::record_from_text(configs.config_text());
}

void context::learn_config(const std::string& text, const std::string& source) {
  // The register is read several times a second and changes seldom: skip parsing the same text again.
  if (text == last_learned_text) return;
  auto content = configuration::record_from_text(text);
  if (!content) return;
  last_learned_text = text;
  // The operator's source text stays in the register alone: routing needs only the table made from it.
  bool reduced = !content->operator_source.empty();
  auto distributed = reduced ? to_text(configuration::without_operator_source(*content)) : text;
  if (!configs.set_config(content->revision, distributed)) return;
  trace.add(content->revision, "learned", source);
  logger.info("configuration learned", {{"revision", content->revision}, {"source", source}});
  logger.gauge("herontally_configuration_revision", static_cast<double>(content->revision));
}

}  // namespace herontally::control_node
