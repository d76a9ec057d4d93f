/** @file inner_codec_test.cpp Tests of the datagram codec, authentication and
 * the UDP transport. */
#include "sycamorelb/core/clock_func.h"
#include "sycamorelb/inner/auth_func.h"
#include "sycamorelb/inner/codec_func.h"
#include "sycamorelb/inner/udp_transport.h"
#include "sycamorelb/membership/membership_func.h"

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <netinet/in.h>
#include <rapidcheck.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace sycamorelb;
using namespace sycamorelb::inner;

namespace {

const auto OldKey = auth_key{.Id = 1, .Secret = "0123456789abcdef-old"};
const auto NewKey = auth_key{.Id = 2, .Secret = "0123456789abcdef-new"};

auto anyText(std::size_t Limit) -> std::string {
  return *rc::gen::resize(
      static_cast<int>(Limit),
      rc::gen::container<std::string>(rc::gen::arbitrary<char>()));
}

auto anyMember() -> membership::member {
  auto Member = membership::member{};
  Member.Id.Value = "n" + anyText(20);
  Member.Incarnation.Value = *rc::gen::arbitrary<std::uint32_t>();
  Member.Addresses.Inner = anyText(21);
  Member.Addresses.Peer = anyText(21);
  Member.Zone.Value = anyText(20);
  Member.State = static_cast<membership::member_state>(*rc::gen::inRange(0, 4));
  Member.Revision = *rc::gen::arbitrary<std::uint32_t>();
  Member.ConfigPosition.Value = *rc::gen::arbitrary<std::uint64_t>();
  Member.Upstreams.resize(*rc::gen::inRange(0, 2));
  for (auto &Upstream : Member.Upstreams) {
    Upstream.Service.Value = anyText(20);
    Upstream.Address = anyText(20);
    Upstream.Slots = *rc::gen::arbitrary<std::uint32_t>();
  }
  return Member;
}

auto anyDatagram() -> datagram {
  auto Datagram = datagram{.From = {"f" + anyText(10)},
                           .SentAt = {*rc::gen::arbitrary<std::int64_t>()},
                           .Body = {}};
  auto Kind = *rc::gen::inRange(0, 3);
  if (Kind == 0) {
    auto Message = membership::message{};
    Message.From = Datagram.From;
    Message.Kind =
        static_cast<membership::message_kind>(*rc::gen::inRange(0, 4));
    Message.Sequence = *rc::gen::arbitrary<std::uint64_t>();
    Message.TargetAddress = anyText(20);
    Message.Config.ChainHash = *rc::gen::arbitrary<std::uint64_t>();
    Message.Updates.resize(*rc::gen::inRange(0, 3));
    for (auto &Update : Message.Updates) {
      Update = {.Member = anyMember(), .DeadFor = millis{5}};
    }
    Message.Brakes.resize(*rc::gen::inRange(0, 2));
    for (auto &Brake : Message.Brakes) {
      Brake.Reason = anyText(50);
      Brake.IssuedAt.Value = *rc::gen::arbitrary<std::int64_t>();
    }
    Datagram.Body = Message;
  } else if (Kind == 1) {
    auto Notice = config_notice{};
    Notice.Base.ChainHash = *rc::gen::arbitrary<std::uint64_t>();
    Notice.Records = {{.Offset = {4}, .Bytes = anyText(200)}};
    Datagram.Body = Notice;
  } else {
    Datagram.Body = evidence_report{anyText(200)};
  }
  return Datagram;
}

/** Sends raw bytes to a transport from a separate socket. */
void sendRaw(const udp_transport &To, const std::string &Bytes) {
  auto Address = To.localAddress();
  auto Target = sockaddr_in{};
  Target.sin_family = AF_INET;
  Target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  Target.sin_port = htons(static_cast<std::uint16_t>(
      std::stoi(Address.substr(Address.rfind(':') + 1))));
  auto Socket = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  ::sendto(Socket, Bytes.data(), Bytes.size(), 0,
           reinterpret_cast<sockaddr *>(&Target), sizeof Target);
  ::close(Socket);
}

} // namespace

// Guards against fields that get lost in the encoding, and against a size
// estimate that is too low, with which the transport would drop gossip.
Test(inner_codec, decoding_restores_each_datagram) {
  cr_assert(rc::check("round trip", []() {
    auto Datagram = anyDatagram();
    auto Encoded = encodeDatagram(Datagram);
    RC_ASSERT(isOk(Encoded));
    auto Decoded = decodeDatagram(valueOf(Encoded));
    RC_ASSERT(isOk(Decoded));
    RC_ASSERT(valueOf(Decoded) == Datagram);
    if (const auto *Message =
            std::get_if<membership::message>(&Datagram.Body)) {
      auto Estimate = membership::estimateBaseBytes(*Message);
      for (const auto &Update : Message->Updates) {
        Estimate += membership::estimateBytes(Update);
      }
      for (const auto &Brake : Message->Brakes) {
        Estimate += membership::estimateBytes(Brake);
      }
      RC_ASSERT(valueOf(Encoded).size() + DatagramOverhead <= Estimate);
    }
  }));
}

// Guards against a decoder that crashes, throws, or accepts fields beyond
// their limits, with arbitrary and with corrupted bytes.
Test(inner_codec, decoder_handles_arbitrary_bytes) {
  cr_assert(rc::check("arbitrary bytes", []() {
    auto Result = decodeDatagram(
        *rc::gen::container<std::string>(rc::gen::arbitrary<char>()));
    RC_ASSERT(isOk(Result) || errorOf(Result).Code == error_code::Corrupt);
  }));
  cr_assert(rc::check("mutated bytes", []() {
    auto Encoded = encodeDatagram(anyDatagram());
    RC_ASSERT(isOk(Encoded));
    auto Bytes = valueOf(Encoded);
    auto Changes = *rc::gen::inRange(1, 8);
    for (auto Change = 0; Change < Changes; ++Change) {
      Bytes[*rc::gen::inRange<std::size_t>(0, Bytes.size())] =
          *rc::gen::arbitrary<char>();
    }
    Bytes.resize(*rc::gen::inRange<std::size_t>(1, Bytes.size() + 1));
    auto Result = decodeDatagram(Bytes);
    if (isOk(Result)) {
      const auto *Message =
          std::get_if<membership::message>(&valueOf(Result).Body);
      for (const auto &Update : Message == nullptr
                                    ? std::vector<membership::member_update>{}
                                    : Message->Updates) {
        RC_ASSERT(membership::isValidMember(Update.Member));
      }
    }
  }));
}

// Guards against a packed datagram that expands to megabytes: two packed bytes
// encode up to 256 zero words.
Test(inner_codec, decoder_rejects_decompression_bombs) {
  auto Bomb = std::string{};
  while (Bomb.size() + 2 <= MaxDatagramBytes) {
    Bomb += '\0';
    Bomb += '\xff';
  }
  cr_assert(!isOk(decodeDatagram(Bomb)));
}

// Guards against signatures that leave out a part of the request, and against
// requests accepted outside the time window.
Test(inner_auth, request_auth_covers_all_parts_and_the_send_time) {
  auto Now = wall_ms{1'700'000'000'000};
  auto Header = makeRequestAuth({OldKey}, "POST", "/pay", "a1", Now);
  auto Check = [&](std::string_view Method, std::string_view Path,
                   std::string_view Attempt, std::int64_t At) {
    return checkRequestAuth({NewKey, OldKey}, Header, Method, Path, Attempt,
                            {Now.Value + At});
  };
  cr_assert(Check("POST", "/pay", "a1", 0));
  cr_assert(Check("POST", "/pay", "a1", 30'000));
  cr_assert(!Check("POST", "/pay", "a1", 30'001));
  cr_assert(!Check("POST", "/pay", "a1", -30'001));
  cr_assert(!Check("GET", "/pay", "a1", 0));
  cr_assert(!Check("POST", "/paya", "1", 0));
  cr_assert(!Check("POST", "/pay", "a2", 0));
  cr_assert(!checkRequestAuth({NewKey}, Header, "POST", "/pay", "a1", Now));
  cr_assert(rc::check("corrupted headers", [&]() {
    auto Corrupted = Header;
    auto Index = *rc::gen::inRange<std::size_t>(0, Corrupted.size());
    auto Byte = *rc::gen::arbitrary<char>();
    RC_PRE(Corrupted[Index] != Byte);
    Corrupted[Index] = Byte;
    RC_ASSERT(
        !checkRequestAuth({OldKey}, Corrupted, "POST", "/pay", "a1", Now));
  }));
}

// Guards against keys that are too weak or ambiguous.
Test(inner_auth, invalid_key_lists_are_rejected) {
  cr_assert(isOk(checkKeys({OldKey, NewKey})));
  cr_assert(!isOk(checkKeys({})));
  cr_assert(!isOk(checkKeys({OldKey, OldKey})));
  cr_assert(!isOk(checkKeys({{.Id = 3, .Secret = "short"}})));
}

// Guards against datagrams that are accepted without a valid signature or
// outside the time window, against drops that are not counted by cause, and
// against key rotation that loses datagrams.
Test(inner_udp, only_authentic_recent_datagrams_are_delivered) {
  auto Opened = udp_transport::open("127.0.0.1:0", {"b"}, {OldKey, NewKey});
  auto Sender = udp_transport::open("127.0.0.1:0", {"a"}, {NewKey});
  cr_assert(isOk(Opened) && isOk(Sender));
  auto &Receiver = *valueOf(Opened);
  auto Body = datagram_body{evidence_report{"evidence"}};
  auto At = [&](std::int64_t Offset) {
    auto Payload = encodeDatagram(
        {.From = {"a"}, .SentAt = {wallNow().Value + Offset}, .Body = Body});
    cr_assert(isOk(Payload));
    return valueOf(Payload);
  };
  auto Forged = signDatagram({OldKey}, At(0));
  Forged.back() = static_cast<char>(Forged.back() ^ 1);
  sendRaw(Receiver, Forged);
  sendRaw(Receiver, "");
  sendRaw(Receiver,
          signDatagram({{.Id = 1, .Secret = "wrong secret 1234"}}, At(0)));
  sendRaw(Receiver, std::string(MaxDatagramBytes + 1, 'x'));
  sendRaw(Receiver, signDatagram({OldKey}, "garbage"));
  sendRaw(Receiver, signDatagram({OldKey}, At(-40'000)));
  sendRaw(Receiver, signDatagram({OldKey}, At(40'000)));
  cr_assert(!Receiver.receive(millis{300}).has_value());

  cr_assert(isOk(valueOf(Sender)->send(Receiver.localAddress(), Body)));
  sendRaw(Receiver, signDatagram({OldKey}, At(0)));
  for (auto Count = 0; Count < 2; ++Count) {
    auto Received = Receiver.receive(millis{5000});
    cr_assert(Received.has_value());
    cr_assert_eq(Received->Datagram.From.Value, "a");
    cr_assert(Received->Datagram.Body == Body);
  }
  auto Counters = Receiver.counters();
  cr_assert_eq(Counters.DroppedUnauthorized, 3);
  cr_assert_eq(Counters.DroppedOversized, 1);
  cr_assert_eq(Counters.DroppedMalformed, 1);
  cr_assert_eq(Counters.DroppedOutsideWindow, 2);
  cr_assert_eq(Counters.DatagramsIn, 2);

  cr_assert(isOk(Receiver.setKeys({OldKey})));
  cr_assert(isOk(valueOf(Sender)->send(Receiver.localAddress(), Body)));
  cr_assert(!Receiver.receive(millis{100}).has_value());
  Receiver.wake();
  auto Begin = steadyNow();
  cr_assert(!Receiver.receive(millis{5000}).has_value());
  cr_assert(steadyNow() - Begin < millis{4000}, "wake() ends the wait");
}
