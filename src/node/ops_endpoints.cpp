/** @file ops_endpoints.cpp HTTP endpoints of the ops port. */
#include "node/ops_endpoints.h"

#include <nlohmann/json.hpp>

namespace sycamorelb::node {

using json = nlohmann::json;
using proxy::local_request;
using proxy::local_response;

/** Maximum number of announced slots or connections; a greater number is taken
 * for an error. */
static constexpr auto MaxAnnounced = std::uint32_t{100'000};

auto notReadyReason(const node_context &Context) -> std::string {
  if (Context.Draining) {
    return "draining";
  }
  if (Context.Store.current()->State.Version.Value == 0) {
    return "no configuration";
  }
  auto SinceContact =
      steadyNow() - steady_time(micros(Context.LastContactUs.load()));
  if (SinceContact > Context.Settings.Timing.StaleAfter) {
    return "no contact with the log service or any peer";
  }
  return "";
}

auto parseAnnouncement(const std::string &Body) -> result<announcement> {
  auto MakeError = [](const char *Message) {
    return error{error_code::InvalidArgument, "ops.announce", "", Message};
  };
  auto Document = json::parse(Body, nullptr, /*allow_exceptions=*/false);
  if (!Document.is_object()) {
    return MakeError("the body must be a JSON object");
  }
  auto Announcement = announcement();
  auto &Info = Announcement.Info;
  try {
    Info.Service = {Document.at("service").get<std::string>()};
    Info.Version = {Document.at("version").get<std::string>()};
    Info.Address = Document.at("address").get<std::string>();
    Info.Slots = Document.at("slots").get<std::uint32_t>();
    Info.Connections = Document.at("connections").get<std::uint32_t>();
    Announcement.Instance = Document.value("instance", "");
  } catch (const json::exception &) {
    return MakeError(
        "service, version, address, slots and connections are needed");
  }
  if (Info.Slots == 0 || Info.Slots > MaxAnnounced || Info.Connections == 0 ||
      Info.Connections > MaxAnnounced) {
    return MakeError("slots and connections must be 1 to 100000");
  }
  return Announcement;
}

static auto announce(admission_control &Admission, const local_request &Request)
    -> local_response {
  auto Parsed = parseAnnouncement(Request.Body);
  if (!isOk(Parsed)) {
    return {400, "text/plain", describe(errorOf(Parsed)) + "\n", {}};
  }
  Admission.announce(valueOf(Parsed));
  return {204, "text/plain", "", {}};
}

static auto withdraw(admission_control &Admission, const local_request &Request)
    -> local_response {
  auto Document =
      json::parse(Request.Body, nullptr, /*allow_exceptions=*/false);
  auto IsString = [&Document](const char *Name) {
    auto Found = Document.find(Name);
    return Found != Document.end() && Found->is_string();
  };
  if (!Document.is_object() || !IsString("service") || !IsString("address")) {
    return {400, "text/plain", "service and address are needed\n", {}};
  }
  Admission.withdraw({Document["service"].get<std::string>()},
                     Document["address"].get<std::string>());
  return {204, "text/plain", "", {}};
}

void addOpsEndpoints(proxy::http_server &Server, const dump_sources &Sources,
                     admission_control &Admission) {
  Server.handle("GET", "/metrics", [Sources](const local_request &) {
    updateMetrics(Sources);
    return local_response{
        200, "text/plain; version=0.0.4", Sources.Context.Metrics.render(), {}};
  });
  Server.handle("GET", "/healthz", [](const local_request &) {
    return local_response{200, "text/plain", "ok\n", {}};
  });
  Server.handle("GET", "/readyz", [Sources](const local_request &) {
    auto Reason = notReadyReason(Sources.Context);
    return Reason.empty()
               ? local_response{200, "text/plain", "ready\n", {}}
               : local_response{503, "text/plain", Reason + "\n", {}};
  });
  Server.handle("GET", "/dump", [Sources](const local_request &) {
    return local_response{
        200, "application/json", dumpState(Sources).dump(2) + "\n", {}};
  });
  Server.handle("PUT", "/announce", [&Admission](const local_request &Request) {
    return announce(Admission, Request);
  });
  Server.handle("DELETE", "/announce",
                [&Admission](const local_request &Request) {
                  return withdraw(Admission, Request);
                });
}

} // namespace sycamorelb::node
