/** @file json_text.cpp JSON parsing with a depth limit and error positions. */
#include "config/json_text.h"

#include <algorithm>
#include <optional>
#include <set>

namespace sycamorelb::config {

using nlohmann::json;

/** @return the index of the byte at which nesting exceeds MaxJsonDepth, if any.
 */
static auto findExcessiveDepth(std::string_view Text)
    -> std::optional<std::size_t> {
  auto Depth = std::size_t{0};
  auto InString = false;
  for (auto Index = std::size_t{0}; Index < Text.size(); ++Index) {
    auto Byte = Text[Index];
    if (InString) {
      if (Byte == '\\') {
        ++Index;
      } else if (Byte == '"') {
        InString = false;
      }
    } else if (Byte == '"') {
      InString = true;
    } else if (Byte == '{' || Byte == '[') {
      if (++Depth > MaxJsonDepth) {
        return Index;
      }
    } else if ((Byte == '}' || Byte == ']') && Depth > 0) {
      --Depth;
    }
  }
  return std::nullopt;
}

static auto makeError(std::string_view Text, std::size_t Byte,
                      std::string Message) -> json_error {
  auto Before = Text.substr(0, std::min(Byte, Text.size()));
  auto Newline = Before.rfind('\n');
  auto LineStart = Newline == std::string_view::npos ? 0 : Newline + 1;
  auto Lines = std::count(Before.begin(), Before.end(), '\n');
  return {static_cast<std::size_t>(Lines) + 1, Before.size() - LineStart + 1,
          std::move(Message)};
}

/** @return the library's message without its position. */
static auto removeErrorPosition(const std::string &Text) -> std::string {
  auto Cut = Text.find(": syntax error");
  return Cut == std::string::npos ? Text : Text.substr(Cut + 2);
}

/** Parser callback that finds duplicate keys, of which the library keeps only
 * the last. */
class duplicate_finder {
public:
  explicit duplicate_finder(std::vector<duplicate_key> &Found) : Found(Found) {}

  auto operator()(json::parse_event_t Event, const json &Parsed) -> bool {
    using event = json::parse_event_t;
    if (Event == event::object_start || Event == event::array_start) {
      Levels.push_back({Event == event::array_start, 0, {}, {}});
    } else if (Event == event::key) {
      recordKey(Parsed.get_ref<const std::string &>());
    } else {
      if (Event != event::value && !Levels.empty()) {
        Levels.pop_back();
      }
      if (!Levels.empty()) {
        ++Levels.back().Index;
      }
    }
    return true;
  }

private:
  struct level {
    bool IsArray = false;  ///< Whether this is an array rather than an object.
    std::size_t Index = 0; ///< Index of the current element.
    std::string Key;       ///< Current key.
    std::set<std::string> Keys; ///< Keys read so far.
  };

  void recordKey(const std::string &Key) {
    if (!Levels.back().Keys.insert(Key).second) {
      Found.push_back({pointer(), Key});
    }
    Levels.back().Key = Key;
  }

  auto pointer() const -> std::string {
    auto Path = std::string();
    for (auto Index = std::size_t{0}; Index + 1 < Levels.size(); ++Index) {
      const auto &Level = Levels[Index];
      Path += "/" + (Level.IsArray ? std::to_string(Level.Index)
                                   : escapeToken(Level.Key));
    }
    return Path;
  }

  std::vector<duplicate_key> &Found;
  std::vector<level> Levels;
};

auto parseJson(std::string_view Text, json_document &Document)
    -> std::optional<json_error> {
  if (auto Byte = findExcessiveDepth(Text)) {
    return makeError(Text, *Byte,
                     "nested deeper than " + std::to_string(MaxJsonDepth) +
                         " levels");
  }
  auto Finder = duplicate_finder(Document.Duplicates);
  try {
    Document.Root = json::parse(
        Text, [&Finder](int, json::parse_event_t Event, const json &Parsed) {
          return Finder(Event, Parsed);
        });
  } catch (const json::parse_error &Error) {
    return makeError(Text, Error.byte == 0 ? 0 : Error.byte - 1,
                     removeErrorPosition(Error.what()));
  } catch (const json::exception &Error) {
    return makeError(Text, 0, Error.what());
  }
  return std::nullopt;
}

auto escapeToken(std::string_view Key) -> std::string {
  auto Token = std::string();
  for (auto Byte : Key) {
    if (Byte == '~') {
      Token += "~0";
    } else if (Byte == '/') {
      Token += "~1";
    } else {
      Token += Byte;
    }
  }
  return Token;
}

} // namespace sycamorelb::config
