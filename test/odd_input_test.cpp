/** @file odd_input_test.cpp Tests of everything that other writers may send to
 * a node: one odd entry must harm neither the process nor the other entries. */
#include "config/base64_func.h"
#include "platform/call_header.h"
#include "platform/config_document.h"
#include "platform/heartbeat.h"
#include "platform/log_store.h"
#include "platform/settings_file.h"
#include "sidecar_sim.h"
#include "sycamorelb/http/client_connection.h"
#include "sycamorelb/inner/mesh_message_type.h"

#include "mesh.capnp.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <criterion/criterion.h>
#include <cstring>
#include <limits>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace sycamorelb;
using namespace sycamorelb::platform;

static constexpr auto Now = steady_time(micros(5'000'000'000));

/** Values that a member may have instead of the expected one. */
static auto oddValues() -> std::vector<std::string> {
  auto Deep = std::string(100'000, '[') + std::string(100'000, ']');
  auto DeepObject = std::string();
  for (auto Level = 0; Level < 20'000; ++Level) {
    DeepObject += "{\"a\":";
  }
  DeepObject += "1" + std::string(20'000, '}');
  return {Deep,
          std::string(100'000, '['),
          DeepObject,
          "1e400",
          "-1e400",
          "18446744073709551616",
          "-9223372036854775809",
          "-1",
          "0.5",
          "null",
          "true",
          "{}",
          "[]",
          "\"\"",
          "\"\xff\xfe\"",
          "\"\\ud800\"",
          "\"\\u0000\"",
          "\"1e999ms\"",
          "\"99999999999999999999s\"",
          "\"127.0.0.1:0\"",
          "\"127.0.0.1:65536\"",
          "\"127.0.0.1:-1\"",
          "\"300.0.0.1:80\"",
          "\"" + std::string(5'000, 'x') + "\""};
}

static const auto ValidHeartbeat = std::string(
    R"({"address":"10.0.0.1:80","born":1700000000000,"information":)"
    R"({"service":"s","version":"v1","zone":"z","slots":9},"status":)"
    R"({"state":"ready","sequence":4,"coldRemaining":"1.5s"}})");
static const auto ValidConfig = std::string(
    R"({"version":"r3","resources":[{"resourceType":"services","metadata":)"
    R"({"name":"s"},"specification":{"healthCheckPath":"/h",)"
    R"("connectionLimit":9,"warmup":"3s","coldPerS":5.5}},)"
    R"({"resourceType":"routes","metadata":{"name":"r"},"specification":)"
    R"({"host":"h","pathPrefix":"/a/","kind":"idempotent","timeout":"500ms",)"
    R"("targetLatency":"200ms","priority":1,"attempts":2,)"
    R"("weightedServices":[{"service":"s","weight":2}]}}]})");
static const auto ValidOrder =
    std::string(R"({"service":"s","targetVersion":"v2","duration":"14s"})");
static const auto ValidSettings = std::string(
    R"({"nodeName":"n","zone":"z","service":"s","ipAddress":"127.0.0.1",)"
    R"("listenAddresses":{"outbound":"127.0.0.1:1","readiness":)"
    R"("127.0.0.1:2","controlPlane":"127.0.0.1:3"},"internalPortRange":)"
    R"([10,20],"application":"127.0.0.1:4","heartbeatInterval":"1500ms",)"
    R"("limits":{"linkMbps":10.0,"cpuShare":0.2},"bounds":)"
    R"({"gracePeriod":"6s","retryBudgetRatio":0.2,"retryBudgetSlack":60,)"
    R"("budgetWindow":"10s","coldRateFactor":1.5,"coldSlack":5},)"
    R"("platform":{"address":"127.0.0.1:5"}})");

/** Passes a text to all decoders of documents. */
static void decodeAll(const std::string &Text) {
  auto Cache = config_cache();
  decodeConfig(Text, Cache);
  decodeHeartbeat({"i-1"}, Text);
  decodeLeaveStartTime(Text);
  decodeRolloutOrder(Text);
  decodeSettings(Text);
  decodeList({200, "", {}, Text});
  decodeAppend({200, "", {}, Text});
  decodeRead({200, "", {}, Text}, {3});
  inner::decodeMeshMessage(Text, Now);
  inner::decodeGossip(Text, Now);
  decodeResponseHeader({{"Server-Limit", Text}, {"Request-Id", Text}});
  decodeColdTime({200, "", {{"Cold-Milliseconds", Text}}, ""});
}

/** @return the positions at which a value of the document begins, and their
 * ends. */
static auto valuesOf(const std::string &Document)
    -> std::vector<std::pair<std::size_t, std::size_t>> {
  auto Values = std::vector<std::pair<std::size_t, std::size_t>>();
  for (auto At = Document.find("\":"); At != std::string::npos;
       At = Document.find("\":", At + 2)) {
    auto Start = At + 2;
    auto End = Document[Start] == '"' ? Document.find('"', Start + 1) + 1
                                      : Document.find_first_of(",}]", Start);
    if (Document[Start] != '{' && Document[Start] != '[') {
      Values.emplace_back(Start, End);
    }
  }
  return Values;
}

// Guards against an odd value of any member that ends the process, or that is
// read as a valid one of another kind.
Test(odd_input, each_member_may_have_any_value) {
  for (const auto &Document :
       {ValidHeartbeat, ValidConfig, ValidOrder, ValidSettings}) {
    for (auto [Start, End] : valuesOf(Document)) {
      for (const auto &Value : oddValues()) {
        auto Odd = Document;
        Odd.replace(Start, End - Start, Value);
        decodeAll(Odd);
      }
    }
  }
  for (const auto &Value : oddValues()) {
    decodeAll(Value);
    auto Name = "\"version\":\"v1\"";
    auto Odd = ValidHeartbeat;
    Odd.replace(Odd.find(Name), std::strlen(Name), "\"version\":" + Value);
    auto Address = std::string(Value).find(':') != std::string::npos &&
                   Value.starts_with("\"");
    auto IsText = Value == "\"\\u0000\"" || Value.starts_with("\"1e999") ||
                  Value.starts_with("\"999") || Address;
    cr_assert_eq(isOk(decodeHeartbeat({"i-1"}, Odd)), IsText, "%s",
                 Value.substr(0, 40).c_str());
  }
}

// Guards against a document of 10 MB that ends the process.
Test(odd_input, very_long_texts_are_rejected) {
  auto Long = std::string();
  Long.resize(10'000'000, 'x');
  decodeAll(Long);
  for (const auto &Document :
       {ValidHeartbeat, ValidConfig, ValidOrder, ValidSettings}) {
    auto Odd = Document;
    auto [Start, End] = valuesOf(Document).front();
    Odd.replace(Start, End - Start, "\"" + Long + "\"");
    decodeAll(Odd);
  }
}

// Guards against duplicate members that make an entry mean different things to
// different readers: the last one counts, and it is checked.
Test(odd_input, duplicate_members_are_checked) {
  auto Odd = ValidHeartbeat;
  Odd.insert(Odd.find("\"slots\""), "\"slots\":3,");
  auto Heartbeat = decodeHeartbeat({"i-1"}, Odd);
  cr_assert(isOk(Heartbeat) && valueOf(Heartbeat).Target.Slots == 9);
  Odd = ValidHeartbeat;
  Odd.insert(Odd.find("9}") + 1, ",\"slots\":-3");
  cr_assert_not(isOk(decodeHeartbeat({"i-1"}, Odd)));
}

// Guards against crashes and endless loops on random changes of documents.
Test(odd_input, changed_documents_do_not_crash_a_decoder) {
  cr_assert(rc::check("documents", [] {
    auto Text = *rc::gen::element(ValidHeartbeat, ValidConfig, ValidOrder,
                                  ValidSettings);
    for (auto Changes = *rc::gen::inRange(1, 8); Changes > 0; --Changes) {
      auto Index = *rc::gen::inRange<std::size_t>(0, Text.size());
      switch (*rc::gen::inRange(0, 3)) {
      case 0:
        Text[Index] = static_cast<char>(*rc::gen::inRange(0, 256));
        break;
      case 1:
        Text.erase(Index, *rc::gen::inRange<std::size_t>(0, 30));
        break;
      default:
        Text.insert(Index,
                    Text.substr(*rc::gen::inRange<std::size_t>(0, Text.size()),
                                *rc::gen::inRange<std::size_t>(0, 30)));
      }
      Text += Text.empty() ? "{" : "";
    }
    decodeAll(Text);
  }));
}

/** @return a gossip message whose only other host was changed by Change. */
static auto gossipWithHost(
    const std::function<void(inner::mesh_wire::Host::Builder)> &Change)
    -> std::string {
  auto Builder = capnp::MallocMessageBuilder();
  auto Gossip = Builder.initRoot<inner::mesh_wire::Message>().initGossip();
  auto Fill = [](inner::mesh_wire::Host::Builder Host, const char *Name) {
    Host.setNode(Name);
    Host.setPeer("127.0.0.1:7620");
    Host.setZone("z");
  };
  Fill(Gossip.initSender(), "sender");
  auto Hosts = Gossip.initHosts(2);
  Fill(Hosts[0], "odd");
  Fill(Hosts[1], "sound");
  Change(Hosts[0]);
  auto Flat = capnp::messageToFlatArray(Builder);
  auto Bytes = Flat.asChars();
  auto Length = static_cast<std::uint32_t>(Bytes.size());
  auto Out = std::string(sizeof(Length) + Length, '\0');
  std::memcpy(Out.data(), &Length, sizeof(Length));
  std::memcpy(Out.data() + sizeof(Length), Bytes.begin(), Length);
  return Out;
}

// Guards against a host record that names no host to use: a port out of range,
// an incarnation that can't be continued, a name without bounds.
Test(odd_input, odd_host_is_skipped_and_the_others_hold) {
  using builder = inner::mesh_wire::Host::Builder;
  auto Changes = std::vector<std::function<void(builder)>>{
      [](builder Host) { Host.setPeer("127.0.0.1:0"); },
      [](builder Host) { Host.setPeer("127.0.0.1:65536"); },
      [](builder Host) { Host.setPeer("127.0.0.1:-1"); },
      [](builder Host) { Host.setPeer("host:80"); },
      [](builder Host) { Host.setNode(""); },
      [](builder Host) { Host.setNode(std::string(5000, 'x')); },
      [](builder Host) { Host.setService(std::string(5000, 'x')); },
      [](builder Host) { Host.setVersion(std::string(5000, 'x')); },
      [](builder Host) { Host.setSlots(4'000'000'000U); },
      [](builder Host) {
        Host.setIncarnation(std::numeric_limits<std::uint64_t>::max());
      },
      [](builder Host) {
        Host.setRevision(std::numeric_limits<std::uint64_t>::max());
      },
  };
  for (auto Index = std::size_t{0}; Index < Changes.size(); ++Index) {
    auto Gossip = inner::decodeGossip(gossipWithHost(Changes[Index]), Now);
    cr_assert(Gossip.has_value(), "change %zu", Index);
    cr_assert_eq(Gossip->Hosts.size(), 1U, "change %zu", Index);
    cr_assert_str_eq(Gossip->Hosts[0].Node.Value.c_str(), "sound");
  }
}

// Guards against ages in a message that overflow, or that lie in the future.
Test(odd_input, ages_are_bounded) {
  for (auto Age : {std::numeric_limits<std::int64_t>::min(),
                   std::numeric_limits<std::int64_t>::max()}) {
    auto Builder = capnp::MallocMessageBuilder();
    auto Gossip = Builder.initRoot<inner::mesh_wire::Message>().initGossip();
    Gossip.initSender().setNode("sender");
    Gossip.getSender().setPeer("127.0.0.1:7620");
    Gossip.setReader(true);
    Gossip.setStoreAgeMicros(Age);
    auto Rollouts = Gossip.initRollouts(1);
    Rollouts[0].setStage(1);
    Rollouts[0].setElapsedMicros(Age);
    auto Flat = capnp::messageToFlatArray(Builder);
    auto Bytes = Flat.asChars();
    auto Length = static_cast<std::uint32_t>(Bytes.size());
    auto Message = std::string(sizeof(Length), '\0');
    std::memcpy(Message.data(), &Length, sizeof(Length));
    Message.append(Bytes.begin(), Length);
    auto Decoded = inner::decodeGossip(Message, Now);
    cr_assert(Decoded && Decoded->Rollouts.size() == 1);
    cr_assert_leq(Decoded->Rollouts[0].SeenAt.time_since_epoch().count(),
                  Now.time_since_epoch().count());
    cr_assert_geq(Decoded->StoreAge->count(), 0);
  }
}

// Guards against nodes that end, or no longer follow the store, after another
// writer appended records that are none of theirs.
Test(odd_input, odd_records_of_the_store_harm_nobody) {
  auto Mesh = sim::mesh_sim(1, 3);
  Mesh.startTargets();
  auto Index = 0;
  for (const auto &Value : oddValues()) {
    auto Short = Value.substr(0, 250'000);
    for (const auto *Topic : {"keyed.sycamorelb", "keyed.op"}) {
      Mesh.store().append(Topic, "odd" + std::to_string(++Index), Short);
    }
    Mesh.store().append("keyed.op", "rollout/svc", Short);
    Mesh.store().append("keyed.op", "evacuate/odd", Short);
    Mesh.store().append("keyed.sycamorelb", "host/node-1", Short);
    Mesh.run(micros(300'000));
  }
  Mesh.store().append("keyed.op", "config", oddValues().front());
  Mesh.run(micros(9'000'000));
  auto Version = Mesh.publishConfig();
  Mesh.run(micros(2'000'000));
  for (auto Node = 0; Node < Mesh.nodeCount(); ++Node) {
    cr_assert_eq(Mesh.call(Node, Version), 200, "node %d", Node + 1);
  }
}
