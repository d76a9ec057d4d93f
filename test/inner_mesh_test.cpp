/** @file inner_mesh_test.cpp Tests of the messages between nodes. */
#include "sycamorelb/inner/mesh_message_type.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace sycamorelb;
using namespace sycamorelb::inner;

static constexpr auto Now = steady_time(micros(50'000'000));

static auto forward() -> forward_message {
  auto Message = forward_message();
  Message.Call = {7};
  Message.Service = {"svc"};
  Message.Request.Method = "POST";
  Message.Request.Target = "/a/b?c";
  Message.Request.Headers = {{"A", "1"}, {"B", ""}};
  Message.Request.Body = std::string("x\0y", 3);
  Message.Kind = mesh::call_kind::Upload;
  Message.TimeToStart = micros(-5);
  Message.TimeLeft = micros(1'200'000);
  return Message;
}

// Guards against members that are lost between nodes.
Test(inner_mesh, forward_and_reply_arrive_whole) {
  auto Decoded = decodeMesh(encodeMesh(forward(), Now), Now);
  auto *Got = std::get_if<forward_message>(&valueOf(Decoded)->Message);
  cr_assert_not_null(Got);
  cr_assert_eq(Got->Call.Value, 7U);
  cr_assert_str_eq(Got->Request.Path.c_str(), "/a/b");
  cr_assert(Got->Request.Headers == forward().Request.Headers);
  cr_assert(Got->Request.Body == forward().Request.Body);
  cr_assert(Got->Kind == mesh::call_kind::Upload);
  cr_assert_eq(Got->TimeToStart.count(), -5);
  cr_assert(valueOf(Decoded)->SentAt == Now);
  auto Reply = reply_message();
  Reply.Outcome = reply_outcome::Unknown;
  Reply.Arrived = true;
  Reply.Load.BulkPpm = 5;
  Reply.Load.Wait = micros(6);
  Reply.Load.StartGap = micros(7);
  Reply.Response.Status = 200;
  Decoded = decodeMesh(encodeMesh(Reply, Now), Now);
  auto *Back = std::get_if<reply_message>(&valueOf(Decoded)->Message);
  cr_assert(Back != nullptr && Back->Outcome == reply_outcome::Unknown &&
            Back->Arrived && Back->Load.BulkPpm == 5 &&
            Back->Load.Wait == micros(6) && Back->Load.StartGap == micros(7));
}

// Guards against a base at offset 0 that is lost on the way, and against
// elapsed times that are read against the wrong clock.
Test(inner_mesh, gossip_keeps_bases_and_times) {
  auto Message = gossip_message();
  Message.Sender.Node = {"n"};
  Message.Sender.Peer = {"127.0.0.1", 9};
  auto Record = mesh::operator_record();
  Record.Key = "config";
  Record.Base = log_offset{0};
  Message.Records.push_back(Record);
  Record.Base = std::nullopt;
  Record.Compressed = true;
  Message.Records.push_back(Record);
  Message.Relay = true;
  auto Rollout = rollout::rollout_state();
  Rollout.SeenAt = Now - micros(3'000'000);
  Message.Rollouts.push_back(Rollout);
  auto Later = steady_time(micros(900'000'000));
  auto Decoded = decodeMesh(encodeMesh(Message, Now), Later);
  auto *Got = std::get_if<gossip_message>(&valueOf(Decoded)->Message);
  cr_assert_not_null(Got);
  cr_assert(Got->Records[0].Base == log_offset{0});
  cr_assert_not(Got->Records[1].Base.has_value());
  cr_assert(Got->Records[1].Compressed);
  cr_assert(Got->Relay);
  cr_assert(decodeGossip(encodeMesh(Message, Now), Later).has_value());
  cr_assert_not(decodeGossip(encodeMesh(forward(), Now), Later).has_value());
  cr_assert_not(decodeGossip("short", Later).has_value());
  cr_assert(Later - Got->Rollouts[0].SeenAt == micros(3'000'000));
}

// Guards against a partial message that is taken for a whole one.
Test(inner_mesh, parts_of_a_message_wait_for_the_rest) {
  auto Bytes = encodeMesh(forward(), Now);
  for (auto Size = std::size_t{0}; Size < Bytes.size(); ++Size) {
    auto Decoded = decodeMesh(std::string_view(Bytes).substr(0, Size), Now);
    cr_assert(isOk(Decoded) && !valueOf(Decoded).has_value());
  }
  Bytes += encodeMesh(ping_message(), Now);
  auto Decoded = decodeMesh(Bytes, Now);
  auto Rest = std::string_view(Bytes).substr(valueOf(Decoded)->Bytes);
  auto Second = decodeMesh(Rest, Now);
  cr_assert(std::holds_alternative<ping_message>(valueOf(Second)->Message));
}

// Guards against crashes on damaged bytes from another node.
Test(inner_mesh, damaged_messages_do_no_harm) {
  cr_assert(rc::check("damage", [] {
    auto Bytes = encodeMesh(forward(), Now);
    for (auto Left = *rc::gen::inRange(1, 8); Left > 0; --Left) {
      auto At = *rc::gen::inRange<std::size_t>(0, Bytes.size());
      Bytes[At] = static_cast<char>(*rc::gen::inRange(0, 256));
    }
    decodeMesh(Bytes, Now);
  }));
}
