/** @file declaration.cpp Parsing, rendering and comparison of declarations. */
#include "config/declaration_json.h"
#include "config/json_text.h"

#include <map>
#include <utility>

namespace sycamorelb::config {

using nlohmann::json;

auto parseDeclaration(std::string_view Text, const std::string &File)
    -> parse_result {
  auto Document = json_document();
  if (auto ParseError = parseJson(Text, Document)) {
    auto Found = "line " + std::to_string(ParseError->Line) + ", column " +
                 std::to_string(ParseError->Column) + ": " +
                 ParseError->Message;
    return std::vector<declaration_error>{{File, "", Found, "JSON"}};
  }
  auto Errors = std::vector<declaration_error>();
  for (const auto &Duplicate : Document.Duplicates) {
    Errors.push_back({File,
                      Duplicate.Pointer + "/" + escapeToken(Duplicate.Key),
                      "key given twice", "each key once"});
  }
  auto ContentErrors = checkJson(Document.Root, File);
  Errors.insert(Errors.end(), ContentErrors.begin(), ContentErrors.end());
  if (!Errors.empty()) {
    return Errors;
  }
  return declarationFromJson(Document.Root);
}

auto checkDeclaration(const declaration &Declaration, const std::string &File)
    -> std::vector<declaration_error> {
  return checkJson(declarationToJson(Declaration), File);
}

auto renderDeclaration(const declaration &Declaration) -> std::string {
  return declarationToJson(Declaration)
             .dump(2, ' ', false, json::error_handler_t::replace) +
         "\n";
}

auto describe(const declaration_error &Error) -> std::string {
  auto Pointer = Error.Pointer.empty() ? std::string("(root)") : Error.Pointer;
  return Error.File + ": " + Pointer + ": found " + Error.Found +
         "; allowed: " + Error.Allowed;
}

/** @return the elements by name; array elements are named by their member Key.
 */
static auto byName(const json &Elements, const char *Key)
    -> std::map<std::string, json> {
  auto Result = std::map<std::string, json>();
  for (const auto &[Name, Element] : Elements.items()) {
    if (Elements.is_array()) {
      Result[Element.at(Key).get<std::string>()] = Element;
    } else {
      Result[Name] = Element;
    }
  }
  return Result;
}

static void diffElement(const std::string &Title, const json &Before,
                        const json &After, std::vector<std::string> &Lines) {
  for (const auto &[Key, Value] : After.items()) {
    if (Before.at(Key) != Value) {
      auto Line = "~ " + Title;
      Line.append(": ").append(Key).append(" ").append(Before.at(Key).dump());
      Line.append(" -> ").append(Value.dump());
      Lines.push_back(std::move(Line));
    }
  }
}

static void diffKind(const std::string &Kind, const json &Before,
                     const json &After, const char *Key,
                     std::vector<std::string> &Lines) {
  auto Old = byName(Before, Key);
  auto New = byName(After, Key);
  auto Title = [&Kind](const std::string &Name) {
    auto Text = Kind + " ";
    return Text.append(Name);
  };
  for (const auto &[Name, Element] : Old) {
    if (!New.contains(Name)) {
      Lines.push_back("- " + Title(Name));
    }
  }
  for (const auto &[Name, Element] : New) {
    auto Found = Old.find(Name);
    if (Found == Old.end()) {
      auto Line = "+ " + Title(Name);
      Lines.push_back(Line.append(" ").append(Element.dump()));
    } else {
      diffElement(Title(Name), Found->second, Element, Lines);
    }
  }
}

auto diffDeclarations(const declaration &Before, const declaration &After)
    -> std::vector<std::string> {
  auto Old = declarationToJson(Before);
  auto New = declarationToJson(After);
  auto Lines = std::vector<std::string>();
  diffKind("zone", Old["zones"], New["zones"], "", Lines);
  diffKind("service", Old["services"], New["services"], "", Lines);
  diffKind("route", Old["routes"], New["routes"], "name", Lines);
  diffKind("move", Old["moves"], New["moves"], "id", Lines);
  if (Lines.empty() && !(Before == After)) {
    Lines.emplace_back("~ order of routes or moves");
  }
  return Lines;
}

} // namespace sycamorelb::config
