/** @file settings.cpp Parsing, validation and rendering of node settings. */
#include "sycamorelb/settings/settings_func.h"

#include "settings/table/settings_schema.h"

#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace sycamorelb::settings {

using json = nlohmann::json;

static auto makeParseError(const std::string &File, const std::string &Message)
    -> error {
  return {error_code::InvalidArgument, "settings.parse", File, Message};
}

/** @return the JSON pointer of a valijson context; "<root>", "[listen]", "[ip]"
 * becomes "/listen/ip". */
static auto toJsonPointer(const std::vector<std::string> &Context)
    -> std::string {
  auto Pointer = std::string();
  for (const auto &Part : Context) {
    if (Part.size() > 2 && Part.front() == '[') {
      Pointer += '/' + Part.substr(1, Part.size() - 2);
    }
  }
  return Pointer.empty() ? "/" : Pointer;
}

/** @return the schema violations, one per line; empty if there are none. */
static auto validateSchema(const json &Document) -> std::string {
  auto SchemaJson = json::parse(SettingsSchema);
  auto Schema = valijson::Schema();
  auto Parser = valijson::SchemaParser();
  Parser.populateSchema(valijson::adapters::NlohmannJsonAdapter(SchemaJson),
                        Schema);
  auto Results = valijson::ValidationResults();
  auto Validator = valijson::Validator();
  if (Validator.validate(Schema,
                         valijson::adapters::NlohmannJsonAdapter(Document),
                         &Results)) {
    return "";
  }
  auto Text = std::string();
  auto SchemaError = valijson::ValidationResults::Error();
  while (Results.popError(SchemaError)) {
    Text += (Text.empty() ? "" : "\n") + toJsonPointer(SchemaError.context) +
            ": " + SchemaError.description;
  }
  return Text;
}

/** Copies a member of Object to Target if it exists. */
template <class T>
static void readOptional(const json &Object, const char *Name, T &Target) {
  if (Object.contains(Name)) {
    Target = Object.at(Name).get<T>();
  }
}

static void readOptional(const json &Object, const char *Name, millis &Target) {
  if (Object.contains(Name)) {
    Target = millis(Object.at(Name).get<std::int64_t>());
  }
}

static auto section(const json &Document, const char *Name) -> json {
  return Document.contains(Name) ? Document.at(Name) : json::object();
}

static auto parseKeys(const json &Array) -> std::vector<secret_key> {
  auto Keys = std::vector<secret_key>();
  for (const auto &Key : Array) {
    Keys.push_back({Key.at("id").get<std::uint32_t>(),
                    Key.at("secret").get<std::string>()});
  }
  return Keys;
}

static auto fromJson(const json &Document) -> node_settings {
  auto Settings = node_settings();
  readOptional(Document, "id", Settings.Id.Value);
  readOptional(Document, "zone", Settings.Zone.Value);
  readOptional(Document, "region", Settings.Region.Value);
  readOptional(Document, "log_level", Settings.LogLevel);
  readOptional(Document, "seeds", Settings.Seeds);
  Settings.InnerKeys = parseKeys(Document.at("inner_keys"));
  Settings.AdminKeys = parseKeys(Document.at("admin_keys"));
  auto Listen = section(Document, "listen");
  readOptional(Listen, "ip", Settings.Listen.Ip);
  readOptional(Listen, "caller_port", Settings.Listen.CallerPort);
  readOptional(Listen, "peer_port", Settings.Listen.PeerPort);
  readOptional(Listen, "inner_port", Settings.Listen.InnerPort);
  readOptional(Listen, "admin_port", Settings.Listen.AdminPort);
  readOptional(Listen, "ops_port", Settings.Listen.OpsPort);
  auto Log = section(Document, "log");
  readOptional(Log, "address", Settings.Log.Address);
  readOptional(Log, "append_timeout_ms", Settings.Log.AppendTimeout);
  readOptional(Log, "read_wait_ms", Settings.Log.ReadWait);
  readOptional(Log, "retention_ms", Settings.Log.Retention);
  auto Timing = section(Document, "timing");
  readOptional(Timing, "heartbeat_ms", Settings.Timing.Heartbeat);
  readOptional(Timing, "suspicion_timeout_ms",
               Settings.Timing.SuspicionTimeout);
  readOptional(Timing, "full_exchange_ms", Settings.Timing.FullExchange);
  readOptional(Timing, "stale_after_ms", Settings.Timing.StaleAfter);
  readOptional(Timing, "announce_lease_ms", Settings.Timing.AnnounceLease);
  readOptional(Timing, "drain_timeout_ms", Settings.Timing.DrainTimeout);
  auto Proxy = section(Document, "proxy");
  readOptional(Proxy, "caller_threads", Settings.Proxy.CallerThreads);
  readOptional(Proxy, "peer_threads", Settings.Proxy.PeerThreads);
  readOptional(Proxy, "subset_size", Settings.Proxy.SubsetSize);
  readOptional(Proxy, "max_body_bytes", Settings.Proxy.MaxBodyBytes);
  return Settings;
}

auto parseSettings(std::string_view Text, const std::string &File)
    -> result<node_settings> {
  auto Document = json();
  try {
    Document = json::parse(Text);
  } catch (const json::parse_error &Error) {
    return makeParseError(File, Error.what());
  }
  auto Errors = validateSchema(Document);
  if (!Errors.empty()) {
    return makeParseError(File, Errors);
  }
  return fromJson(Document);
}

auto readSettings(const std::string &File) -> result<node_settings> {
  auto Stream = std::ifstream(File);
  if (!Stream) {
    return error{error_code::NotFound, "settings.read", File,
                 "the file cannot be read"};
  }
  auto Text = std::ostringstream();
  Text << Stream.rdbuf();
  return parseSettings(Text.str(), File);
}

static auto renderKeys(const std::vector<secret_key> &Keys) -> json {
  auto Array = json::array();
  for (const auto &Key : Keys) {
    Array.push_back({{"id", Key.Id}, {"secret", Key.Secret}});
  }
  return Array;
}

auto renderSettings(const node_settings &Settings) -> std::string {
  auto Document = nlohmann::ordered_json();
  Document["id"] = Settings.Id.Value;
  Document["zone"] = Settings.Zone.Value;
  Document["region"] = Settings.Region.Value;
  Document["log_level"] = Settings.LogLevel;
  Document["listen"] = {{"ip", Settings.Listen.Ip},
                        {"caller_port", Settings.Listen.CallerPort},
                        {"peer_port", Settings.Listen.PeerPort},
                        {"inner_port", Settings.Listen.InnerPort},
                        {"admin_port", Settings.Listen.AdminPort},
                        {"ops_port", Settings.Listen.OpsPort}};
  Document["seeds"] = Settings.Seeds;
  Document["log"] = {{"address", Settings.Log.Address},
                     {"append_timeout_ms", Settings.Log.AppendTimeout.count()},
                     {"read_wait_ms", Settings.Log.ReadWait.count()},
                     {"retention_ms", Settings.Log.Retention.count()}};
  Document["timing"] = {
      {"heartbeat_ms", Settings.Timing.Heartbeat.count()},
      {"suspicion_timeout_ms", Settings.Timing.SuspicionTimeout.count()},
      {"full_exchange_ms", Settings.Timing.FullExchange.count()},
      {"stale_after_ms", Settings.Timing.StaleAfter.count()},
      {"announce_lease_ms", Settings.Timing.AnnounceLease.count()},
      {"drain_timeout_ms", Settings.Timing.DrainTimeout.count()}};
  Document["proxy"] = {{"caller_threads", Settings.Proxy.CallerThreads},
                       {"peer_threads", Settings.Proxy.PeerThreads},
                       {"subset_size", Settings.Proxy.SubsetSize},
                       {"max_body_bytes", Settings.Proxy.MaxBodyBytes}};
  Document["inner_keys"] = renderKeys(Settings.InnerKeys);
  Document["admin_keys"] = renderKeys(Settings.AdminKeys);
  return Document.dump(2) + "\n";
}

auto exampleSettings() -> node_settings {
  auto Settings = node_settings();
  Settings.Id = {"node-1"};
  Settings.Zone = {"zone-1"};
  Settings.Region = {"region-1"};
  Settings.InnerKeys = {{1, "replace-this-secret"}};
  Settings.AdminKeys = {{1, "replace-this-secret"}};
  return Settings;
}

} // namespace sycamorelb::settings
