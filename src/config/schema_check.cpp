/** @file schema_check.cpp Schema validation with error messages for operators.
 */
#include "config/schema_check.h"

#include "config/declaration_json.h"
#include "config/json_text.h"
#include "config/table/declaration_schema.h"

#include <algorithm>
#include <numeric>
#include <set>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace sycamorelb::config {

using nlohmann::json;
using valijson::adapters::NlohmannJsonAdapter;

/** Maximum length of a value in an error message. */
static constexpr std::size_t MaxExcerptBytes = 60;
/** Maximum number of names listed in an error message. */
static constexpr std::size_t MaxListedNames = 12;

/** A schema as JSON and compiled for the library. */
struct compiled_schema {
  json Source;               ///< Schema as JSON, for error messages.
  valijson::Schema Compiled; ///< Compiled schema, for validation.

  explicit compiled_schema(json Document) : Source(std::move(Document)) {
    auto Parser = valijson::SchemaParser();
    Parser.populateSchema(NlohmannJsonAdapter(Source), Compiled);
  }
};

static auto getSchema(schema_part Part) -> const compiled_schema & {
  static const auto Declaration =
      compiled_schema(json::parse(DeclarationSchema));
  static const auto Move = compiled_schema(
      json::parse(DeclarationSchema)["properties"]["moves"]["items"]);
  return Part == schema_part::Move ? Move : Declaration;
}

auto declarationSchema() -> std::string_view { return DeclarationSchema; }

auto nearestWord(std::string_view Word,
                 const std::vector<std::string> &Candidates) -> std::string {
  // Only the start of a long word is compared, because the cost is quadratic.
  auto Prefix = Word.substr(0, MaxExcerptBytes);
  auto Best = std::string();
  auto BestDistance = std::size_t{0};
  for (const auto &Candidate : Candidates) {
    auto Row = std::vector<std::size_t>(Candidate.size() + 1);
    std::iota(Row.begin(), Row.end(), std::size_t{0});
    for (auto I = std::size_t{1}; I <= Prefix.size(); ++I) {
      auto Diagonal = Row[0];
      Row[0] = I;
      for (auto J = std::size_t{1}; J <= Candidate.size(); ++J) {
        auto Replace = Diagonal + (Prefix[I - 1] == Candidate[J - 1] ? 0 : 1);
        Diagonal = Row[J];
        Row[J] = std::min({Row[J] + 1, Row[J - 1] + 1, Replace});
      }
    }
    if (Best.empty() || Row.back() < BestDistance) {
      Best = Candidate;
      BestDistance = Row.back();
    }
  }
  return Best;
}

auto excerpt(const json &Value) -> std::string {
  if (Value.is_object()) {
    return "an object";
  }
  if (Value.is_array()) {
    return "an array of " + std::to_string(Value.size());
  }
  auto Text = Value.dump(-1, ' ', true, json::error_handler_t::replace);
  return Text.size() <= MaxExcerptBytes
             ? Text
             : Text.substr(0, MaxExcerptBytes) + "...";
}

auto listNames(const std::vector<std::string> &Names) -> std::string {
  auto List = std::string();
  for (auto Index = std::size_t{0}; Index < Names.size(); ++Index) {
    if (Index == MaxListedNames) {
      return List + ", ... (" + std::to_string(Names.size()) + " in all)";
    }
    List += (Index == 0 ? "" : ", ") + Names[Index];
  }
  return List.empty() ? "none" : List;
}

static auto propertyNames(const json &Schema) -> std::vector<std::string> {
  auto Names = std::vector<std::string>();
  if (Schema.contains("properties")) {
    for (const auto &[Name, Ignored] : Schema["properties"].items()) {
      Names.push_back(Name);
    }
  }
  return Names;
}

/** @return the schema of a member or array item, or null for an unknown key. */
static auto memberSchema(const json &Schema, const std::string &Key)
    -> const json * {
  if (Schema.contains("items")) {
    return &Schema["items"];
  }
  if (Schema.contains("properties") && Schema["properties"].contains(Key)) {
    return &Schema["properties"][Key];
  }
  auto Additional = Schema.find("additionalProperties");
  auto Accepted = Additional != Schema.end() && Additional->is_object();
  return Accepted ? &*Additional : nullptr;
}

/** @return a description of the values that a schema allows. */
static auto describeAllowed(const json &Schema) -> std::string {
  if (Schema.contains("enum")) {
    return "one of " + listNames(Schema["enum"]);
  }
  auto Text = Schema.value("type", std::string("any value"));
  for (const auto &[Keyword, Phrase] :
       {std::pair("minimum", " from "), std::pair("maximum", " to "),
        std::pair("minItems", " of at least "),
        std::pair("maxItems", " of at most "),
        std::pair("maxProperties", " with at most ")}) {
    if (Schema.contains(Keyword)) {
      Text += Phrase + Schema[Keyword].dump();
    }
  }
  return Text;
}

/** A value in the document with its location and schema. */
struct located_value {
  const json *Value = nullptr;  ///< The value.
  const json *Schema = nullptr; ///< Its schema; null if unknown.
  std::string Pointer;          ///< JSON pointer to the value.
};

/** Finds the value for an error context of the library, such as "<root>",
 * "[zones]", "[patan]". */
static auto resolveContext(const json &Root, const json &Schema,
                           const std::vector<std::string> &Context)
    -> located_value {
  auto Located = located_value{&Root, &Schema, ""};
  for (auto Index = std::size_t{1}; Index < Context.size(); ++Index) {
    auto Key = Context[Index].substr(1, Context[Index].size() - 2);
    Located.Pointer += "/" + escapeToken(Key);
    if (Located.Value->is_array()) {
      Located.Value = &(*Located.Value)[std::stoul(Key)];
    } else {
      Located.Value = &(*Located.Value)[Key];
    }
    Located.Schema =
        Located.Schema ? memberSchema(*Located.Schema, Key) : nullptr;
  }
  return Located;
}

/** Reports all unknown and missing keys of an object; the library reports only
 * one unknown key per object. */
static void checkKeys(const located_value &Located, const std::string &File,
                      std::vector<declaration_error> &Errors) {
  auto Names = propertyNames(*Located.Schema);
  for (const auto &[Key, Value] : Located.Value->items()) {
    if (memberSchema(*Located.Schema, Key) == nullptr) {
      Errors.push_back({File, Located.Pointer + "/" + escapeToken(Key),
                        "unknown key " + excerpt(Key),
                        "did you mean \"" + nearestWord(Key, Names) +
                            "\"? Known keys: " + listNames(Names)});
    }
  }
  for (const auto &Required :
       Located.Schema->value("required", json::array())) {
    auto Name = Required.get<std::string>();
    if (!Located.Value->contains(Name)) {
      Errors.push_back(
          {File, Located.Pointer, "no key \"" + Name + "\"",
           "the required keys " + listNames((*Located.Schema)["required"])});
    }
  }
}

auto checkSchema(const json &Root, schema_part Part, const std::string &File)
    -> std::vector<declaration_error> {
  const auto &Schema = getSchema(Part);
  auto Results = valijson::ValidationResults();
  auto Validator = valijson::Validator();
  if (Validator.validate(Schema.Compiled, NlohmannJsonAdapter(Root),
                         &Results)) {
    return {};
  }
  auto Errors = std::vector<declaration_error>();
  auto Seen = std::set<std::string>();
  for (const auto &Result : Results) {
    // The library repeats the errors of a member for each enclosing value.
    if (Result.description.starts_with("Failed to validate")) {
      continue;
    }
    auto Located = resolveContext(Root, Schema.Source, Result.context);
    if (!Seen.insert(Located.Pointer).second || Located.Schema == nullptr) {
      continue;
    }
    auto Before = Errors.size();
    if (Located.Value->is_object() &&
        Located.Schema->value("type", "") == "object") {
      checkKeys(Located, File, Errors);
    }
    if (Errors.size() == Before) {
      Errors.push_back({File, Located.Pointer, excerpt(*Located.Value),
                        describeAllowed(*Located.Schema)});
    }
  }
  if (Errors.empty()) {
    Errors.push_back({File, "", excerpt(Root), "a value that fits the schema"});
  }
  return Errors;
}

auto checkMoveJson(const json &Root) -> std::vector<declaration_error> {
  auto Errors = checkSchema(Root, schema_part::Move, "record");
  checkMoveMembers(Root, "", "record", Errors);
  return Errors;
}

} // namespace sycamorelb::config
