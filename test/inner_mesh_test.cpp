/** @file inner_mesh_test.cpp Tests of the mesh message codec. */
#include "sycamorelb/inner/mesh_message_type.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace sycamorelb;
using namespace sycamorelb::inner;

static constexpr auto Now = steady_time(micros(50'000'000));

static auto makeForward() -> forward_message {
  auto Message = forward_message();
  Message.Call = {7};
  Message.Service = {"svc"};
  Message.Request.Method = "POST";
  Message.Request.Target = "/a/b?c";
  Message.Request.Headers = {{"A", "1"}, {"B", ""}};
  Message.Request.Body = std::string("x\0y", 3);
  Message.Kind = mesh::call_kind::Upload;
  Message.TimeToLatestStart = micros(-5);
  Message.TimeLeft = micros(1'200'000);
  return Message;
}

// Guards against members that get lost in the encoding.
Test(inner_mesh, forward_and_reply_round_trip) {
  auto Decoded = decodeMeshMessage(encodeMeshMessage(makeForward(), Now), Now);
  auto *Received = std::get_if<forward_message>(&valueOf(Decoded)->Message);
  cr_assert_not_null(Received);
  cr_assert_eq(Received->Call.Value, 7U);
  cr_assert_str_eq(Received->Request.Path.c_str(), "/a/b");
  cr_assert(Received->Request.Headers == makeForward().Request.Headers);
  cr_assert(Received->Request.Body == makeForward().Request.Body);
  cr_assert(Received->Kind == mesh::call_kind::Upload);
  cr_assert_eq(Received->TimeToLatestStart.count(), -5);
  cr_assert(valueOf(Decoded)->SentAt == Now);
  auto Reply = reply_message();
  Reply.Outcome = reply_outcome::Unknown;
  Reply.ReachedTarget = true;
  Reply.Load.BulkPpm = 5;
  Reply.Load.Wait = micros(6);
  Reply.Load.StartGap = micros(7);
  Reply.Response.Status = 200;
  Decoded = decodeMeshMessage(encodeMeshMessage(Reply, Now), Now);
  auto *ReceivedReply = std::get_if<reply_message>(&valueOf(Decoded)->Message);
  cr_assert(ReceivedReply != nullptr &&
            ReceivedReply->Outcome == reply_outcome::Unknown &&
            ReceivedReply->ReachedTarget && ReceivedReply->Load.BulkPpm == 5 &&
            ReceivedReply->Load.Wait == micros(6) &&
            ReceivedReply->Load.StartGap == micros(7));
}

// Guards against processes that get lost in the encoding, and against nodes of
// older versions, which tell none, that are all taken for the same process.
Test(inner_mesh, processes_round_trip) {
  auto Opened = opened_message();
  Opened.Sender.Node = {"n"};
  Opened.Sender.Peer = {"127.0.0.1", 9};
  Opened.Sender.Incarnation = 3;
  auto SentBy = [&Opened] {
    auto Decoded = decodeMeshMessage(encodeMeshMessage(Opened, Now), Now);
    return std::get<opened_message>(valueOf(Decoded)->Message).Sender.Process;
  };
  cr_assert(SentBy() == process_id{3});
  Opened.Sender.Process = {~std::uint64_t{0}};
  cr_assert(SentBy() == Opened.Sender.Process);
  auto Resume = resume_message{{7}, micros(5), {9}};
  auto Decoded = decodeMeshMessage(encodeMeshMessage(Resume, Now), Now);
  auto *Received = std::get_if<resume_message>(&valueOf(Decoded)->Message);
  cr_assert(Received != nullptr && Received->Call.Value == 7 &&
            Received->Age == micros(5) && Received->Process.Value == 9);
}

// Guards against a delta base at offset 0 that decodes as no base, and against
// elapsed times that are not converted to the clock of the receiver.
Test(inner_mesh, gossip_round_trip_keeps_bases_and_elapsed_times) {
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
  Message.RelayToZone = true;
  auto Rollout = rollout::rollout_state();
  Rollout.SeenAt = Now - micros(3'000'000);
  Message.Rollouts.push_back(Rollout);
  auto Later = steady_time(micros(900'000'000));
  auto Decoded = decodeMeshMessage(encodeMeshMessage(Message, Now), Later);
  auto *Received = std::get_if<gossip_message>(&valueOf(Decoded)->Message);
  cr_assert_not_null(Received);
  cr_assert(Received->Records[0].Base == log_offset{0});
  cr_assert_not(Received->Records[1].Base.has_value());
  cr_assert(Received->Records[1].Compressed);
  cr_assert(Received->RelayToZone);
  cr_assert(decodeGossip(encodeMeshMessage(Message, Now), Later).has_value());
  cr_assert_not(
      decodeGossip(encodeMeshMessage(makeForward(), Now), Later).has_value());
  cr_assert_not(decodeGossip("short", Later).has_value());
  cr_assert(Later - Received->Rollouts[0].SeenAt == micros(3'000'000));
}

// Guards against a partial message that is decoded as a complete one.
Test(inner_mesh, partial_message_is_incomplete_until_the_rest_arrives) {
  auto Bytes = encodeMeshMessage(makeForward(), Now);
  for (auto Size = std::size_t{0}; Size < Bytes.size(); ++Size) {
    auto Decoded =
        decodeMeshMessage(std::string_view(Bytes).substr(0, Size), Now);
    cr_assert(isOk(Decoded) && !valueOf(Decoded).has_value());
  }
  Bytes += encodeMeshMessage(ping_message(), Now);
  auto Decoded = decodeMeshMessage(Bytes, Now);
  auto Rest = std::string_view(Bytes).substr(valueOf(Decoded)->EncodedBytes);
  auto Second = decodeMeshMessage(Rest, Now);
  cr_assert(std::holds_alternative<ping_message>(valueOf(Second)->Message));
}

// Guards against crashes on corrupted bytes from another node.
Test(inner_mesh, corrupted_messages_do_not_crash_the_decoder) {
  cr_assert(rc::check("corrupted bytes", [] {
    auto Bytes = encodeMeshMessage(makeForward(), Now);
    for (auto Changes = *rc::gen::inRange(1, 8); Changes > 0; --Changes) {
      auto Index = *rc::gen::inRange<std::size_t>(0, Bytes.size());
      Bytes[Index] = static_cast<char>(*rc::gen::inRange(0, 256));
    }
    decodeMeshMessage(Bytes, Now);
  }));
}
