// Mutations of documents and bytes, drawn from a seeded generator.
#pragma once
#include <nlohmann/json.hpp>
#include <random>
#include <string>

namespace herontally::input_fuzz {

using json = nlohmann::ordered_json;

class mutator {
 public:
  explicit mutator(std::uint64_t seed) : random_(seed) {}

  std::uint64_t draw(std::uint64_t below) { return random_() % below; }
  bool chance(std::uint64_t of) { return draw(of) == 0; }
  std::mt19937_64& random() { return random_; }

  // The text of the document with some of its values replaced, removed, repeated or nested.
  std::string document(json document);
  // The bytes with some of them changed, removed, repeated or added.
  std::string bytes(std::string bytes);
  // A value of any type, among them numbers at the ends of their ranges.
  json odd_value();
  // A number as a header might hold it.
  std::string odd_number();

 private:
  json* draw_place(json& document);
  void mutate_place(json& place);

  std::mt19937_64 random_;
};

}  // namespace herontally::input_fuzz
