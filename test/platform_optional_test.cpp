/** @file platform_optional_test.cpp Members that documents may omit. */
#include "platform/config_document.h"
#include "platform/settings_file.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

using namespace sycamorelb;
using namespace sycamorelb::platform;

/** @return a configuration with every optional member. */
static auto fullConfig() -> nlohmann::json {
  return nlohmann::json::parse(
      R"({"version":"r3","resources":[)"
      R"({"resourceType":"services","metadata":{"name":"s"},"specification":)"
      R"({"healthCheckPath":"/h","connectionLimit":9,"warmup":"3s",)"
      R"("coldPerS":5.5}},)"
      R"({"resourceType":"routes","metadata":{"name":"r"},"specification":)"
      R"({"host":"h","pathPrefix":"/a/","kind":"idempotent","timeout":)"
      R"("500ms","targetLatency":"200ms","priority":1,"attempts":2,)"
      R"("service":"s"}},)"
      R"({"resourceType":"limits","metadata":{},"specification":)"
      R"({"maxHeaderBytes":1,"maxBodyBytes":2,"headerTimeout":"3ms",)"
      R"("idleTimeout":"4ms"}}]})");
}

static auto decode(const nlohmann::json &Document) -> mesh::mesh_config {
  auto Cache = config_cache();
  auto Config = decodeConfig(Document.dump(), Cache);
  cr_assert(isOk(Config), "%s", errorOf(Config).Message.c_str());
  return valueOf(Config);
}

// Guards against one absent or unreadable optional member that takes the whole
// configuration away: a deployment without cold targets was served nothing.
Test(platform_optional, configuration_without_an_optional_member_is_served) {
  const auto Members = std::vector<std::pair<std::size_t, const char *>>{
      {0, "warmup"},       {0, "coldPerS"},      {2, "maxHeaderBytes"},
      {2, "maxBodyBytes"}, {2, "headerTimeout"}, {2, "idleTimeout"}};
  for (const auto &[Resource, Name] : Members) {
    auto Document = fullConfig();
    Document["resources"][Resource]["specification"].erase(Name);
    auto Config = decode(Document);
    cr_assert_eq(Config.Routes.size(), 1U);
    cr_assert_str_empty(Config.IgnoredFault.c_str());
    for (const auto &Odd : {nlohmann::json("odd"), nlohmann::json(-1),
                            nlohmann::json::array({1})}) {
      Document["resources"][Resource]["specification"][Name] = Odd;
      Config = decode(Document);
      cr_assert_eq(Config.Services.size(), 1U);
      cr_assert(Config.IgnoredFault.find(Name) != std::string::npos, "%s",
                Config.IgnoredFault.c_str());
    }
  }
}

// Guards against defaults that differ from the documented ones, and against a
// cold limit that is lifted because it can't be read.
Test(platform_optional, absent_members_have_their_defaults) {
  auto Document = fullConfig();
  Document["resources"].erase(2);
  auto &Service = Document["resources"][0]["specification"];
  Service.erase("warmup");
  Service.erase("coldPerS");
  auto Config = decode(Document);
  cr_assert_eq(Config.Limits.MaxBodyBytes, std::size_t{64} * 1024 * 1024);
  cr_assert_eq(Config.Limits.IdleTimeout.count(), 15'000);
  cr_assert_eq(Config.Services[0].Warmup.count(), 0);
  cr_assert_float_eq(Config.Services[0].ColdCallsPerSecond, 0, 1e-9);
  Service["coldPerS"] = "many";
  cr_assert_float_eq(decode(Document).Services[0].ColdCallsPerSecond, 1, 1e-9);
}

// Guards against a node that doesn't start because its deployment has no cold
// targets.
Test(platform_optional, settings_without_an_optional_bound_are_accepted) {
  const auto Full = nlohmann::json::parse(
      R"({"nodeName":"n","zone":"z","service":"s","ipAddress":"127.0.0.1",)"
      R"("listenAddresses":{"outbound":"127.0.0.1:1","readiness":)"
      R"("127.0.0.1:2","controlPlane":"127.0.0.1:3"},"internalPortRange":)"
      R"([10,20],"application":"127.0.0.1:4","heartbeatInterval":"1500ms",)"
      R"("limits":{"linkMbps":10.0,"cpuShare":0.2},"bounds":)"
      R"({"gracePeriod":"6s","retryBudgetRatio":0.2,"retryBudgetSlack":60,)"
      R"("budgetWindow":"10s","configApply":"2s","coldRateFactor":1.5,)"
      R"("coldSlack":5},"platform":{"address":"127.0.0.1:5"}})");
  for (const auto *Name : {"coldRateFactor", "coldSlack", "configApply"}) {
    auto Document = Full;
    Document["bounds"].erase(Name);
    cr_assert(isOk(decodeSettings(Document.dump())), "%s", Name);
    Document["bounds"][Name] = nullptr;
    cr_assert(isOk(decodeSettings(Document.dump())), "%s", Name);
  }
  auto Document = Full;
  Document["bounds"].erase("coldSlack");
  auto Settings = decodeSettings(Document.dump());
  cr_assert_float_eq(valueOf(Settings).Bounds.ColdSlack, 5, 1e-9);
}
