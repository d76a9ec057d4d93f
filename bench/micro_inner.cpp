/** @file micro_inner.cpp Microbenchmarks of authentication and of the datagram
 * codec. */
#include "sycamorelb/inner/auth_func.h"
#include "sycamorelb/inner/codec_func.h"

#include <benchmark/benchmark.h>

using namespace sycamorelb;
using namespace sycamorelb::inner;

namespace {

const auto Keys = auth_keys{{.Id = 1, .Secret = "0123456789abcdef"}};

void makeAndCheckRequestAuth(benchmark::State &State) {
  auto Now = wall_ms{1'700'000'000'000};
  for (auto Iteration : State) {
    (void)Iteration;
    auto Header = makeRequestAuth(Keys, "GET", "/roster/teams", "a1", Now);
    benchmark::DoNotOptimize(
        checkRequestAuth(Keys, Header, "GET", "/roster/teams", "a1", Now));
  }
}
BENCHMARK(makeAndCheckRequestAuth);

/** Encodes, signs, verifies and decodes a ping with State.range(0) member
 * records. Reports its size. */
void datagramRoundTrip(benchmark::State &State) {
  auto Message = membership::message{};
  Message.From.Value = "node-17";
  Message.Sequence = 123456789;
  Message.FromIncarnation.Value = 1'700'000'000'000;
  Message.Config = {.Position = {1234}, .ChainHash = 0x123456789abcdef0};
  auto Record = membership::member{};
  Record.Id.Value = "node-17";
  Record.Incarnation.Value = 1'700'000'000'000;
  Record.Addresses = {.Inner = "10.0.1.17:7000",
                      .Peer = "10.0.1.17:7001",
                      .Caller = "10.0.1.17:7002",
                      .Admin = "10.0.1.17:7003"};
  Record.Zone.Value = "kirtipur";
  Record.Region.Value = "valley";
  Record.Upstreams.push_back({.Service = {"roster"},
                              .Version = {"v12"},
                              .Address = "10.0.1.17:8080",
                              .Slots = 10,
                              .Connections = 120,
                              .State = membership::upstream_state::Warm,
                              .Limit = 10,
                              .InFlight = 3});
  Message.Updates.assign(State.range(0), {.Member = Record});
  auto Size = std::size_t{0};
  for (auto Iteration : State) {
    (void)Iteration;
    auto Payload = encodeDatagram(
        {.From = Message.From, .SentAt = {1'700'000'000'000}, .Body = Message});
    auto Signed = signDatagram(Keys, valueOf(Payload));
    auto Verified = verifyDatagram(Keys, Signed);
    benchmark::DoNotOptimize(decodeDatagram(valueOf(Verified)));
    Size = Signed.size();
  }
  State.counters["bytes"] = static_cast<double>(Size);
}
BENCHMARK(datagramRoundTrip)->Arg(0)->Arg(1)->Arg(4);

} // namespace
