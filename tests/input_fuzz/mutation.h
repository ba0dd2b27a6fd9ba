// Mutations of JSON documents and of bytes, drawn from a seeded generator: the same seed and calls give the
// same inputs. It knows nothing of the formats that the targets read.
#pragma once
#include <nlohmann/json.hpp>
#include <random>
#include <string>

namespace herontally::input_fuzz {

using json = nlohmann::ordered_json;

// Draws inputs and random decisions for one target.
class mutator {
 public:
  explicit mutator(std::uint64_t seed) : random_(seed) {}

  // A number from 0 to below - 1; `below` must not be 0.
  std::uint64_t draw(std::uint64_t below) { return random_() % below; }
  // True once in so many calls on average.
  bool one_in(std::uint64_t calls) { return draw(calls) == 0; }
  std::mt19937_64& random() { return random_; }

  // The text of the document with some of its values replaced, removed, repeated or nested.
  std::string document(json document);
  // The bytes with some of them changed, removed, repeated or added.
  std::string bytes(std::string bytes);
  // A value of any type, including numbers at the limits of their ranges.
  json unexpected_value();
  // The text of a header that should hold a number: valid, out of range or malformed.
  std::string unexpected_number();

 private:
  json* draw_value(json& document);
  void mutate_value(json& value);

  std::mt19937_64 random_;
};

}  // namespace herontally::input_fuzz
