/** @file message_sample.cpp Text that most messages between nodes resemble. */
#include "sidecar/message_sample.h"

#include "platform/call_header.h"
#include "sycamorelb/inner/mesh_message_type.h"

namespace sycamorelb::sidecar {

using namespace inner;

static auto sampleHost() -> mesh::host_record {
  auto Host = mesh::host_record();
  Host.Node = {"sidecar-zone-a-1"};
  Host.Peer = {"10.1.0.8", 7620};
  Host.Zone = {"zone-a"};
  Host.Incarnation = 1'700'000'000'000;
  Host.Process = {1};
  Host.Revision = 3;
  Host.Target.Id = {"i-0123456789"};
  Host.Target.StartedAtMs = 1'700'000'000'000;
  Host.Target.Service = {"service"};
  Host.Target.Version = {"v1"};
  Host.Target.Slots = 8;
  Host.Target.State = mesh::target_state::Ready;
  return Host;
}

static auto sampleGossip() -> gossip_message {
  auto Gossip = gossip_message();
  Gossip.Sender = sampleHost();
  Gossip.OperatorEnd = {12};
  Gossip.HostDigest = 1;
  return Gossip;
}

static auto sampleReply() -> reply_message {
  auto Reply = reply_message();
  Reply.Call = {1};
  Reply.Outcome = reply_outcome::Answered;
  Reply.ReachedTarget = true;
  Reply.Response = {200, "OK", platform::typicalResponseHeaders(), "body"};
  Reply.Load.Slots = 8;
  Reply.Load.Running = 3;
  Reply.Load.MeanRun = micros(100'000);
  Reply.RunTime = micros(100'000);
  Reply.MeanRouteRunTime = micros(100'000);
  return Reply;
}

static auto sampleForward() -> forward_message {
  auto Forward = forward_message();
  Forward.Call = {1};
  Forward.Service = {"service"};
  Forward.Version = {"v1"};
  Forward.Route = {"route"};
  Forward.CallerService = {"service"};
  Forward.Request.Method = "GET";
  Forward.Request.Target = "/path/item";
  Forward.Request.Path = "/path/item";
  Forward.Request.Headers = platform::typicalRequestHeaders();
  Forward.TimeToStartOnTime = micros(500'000);
  Forward.TimeToLatestStart = micros(500'000);
  Forward.TimeLeft = micros(1'500'000);
  return Forward;
}

auto sampleMessages() -> std::string {
  auto Now = steady_time(micros(0));
  // Nearer text is cheaper to refer to; calls and replies are most frequent.
  return encodeMeshMessage(sampleGossip(), Now) +
         encodeMeshMessage(sampleReply(), Now) +
         encodeMeshMessage(sampleForward(), Now);
}

} // namespace sycamorelb::sidecar
