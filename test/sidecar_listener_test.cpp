/** @file sidecar_listener_test.cpp Tests of the listeners that are not for
 * callers, under crowds of connections that make no progress. */
#include "sidecar/caller_relief.h"
#include "sidecar/http_endpoint.h"
#include "sidecar_sim.h"

#include <criterion/criterion.h>
#include <memory>
#include <string>
#include <unistd.h>
#include <vector>

using namespace sycamorelb;
using namespace sycamorelb::sidecar;

/** More connections than any listener may have. */
static constexpr auto CrowdSize = 100;
/** Settings with the fewest descriptors of a platform, for the least limit. */
static constexpr auto FileDescriptors = std::size_t{320};

namespace {

/** Connections that send some bytes and then nothing. */
struct silent_crowd {
  std::vector<std::shared_ptr<event::stream>> Streams;
  int Closed = 0;

  silent_crowd(event::loop &Loop, const event::endpoint &Address,
               const std::string &Bytes) {
    for (auto Count = 0; Count < CrowdSize; ++Count) {
      auto Stream = event::stream::connect(Loop, Address, millis(1000));
      Stream->OnClosed = [this](event::close_reason) { ++Closed; };
      Stream->send(Bytes);
      Streams.push_back(std::move(Stream));
    }
  }
};

/** An interface of a node that answers each request. */
struct endpoint_run {
  event::loop Loop;
  node_state State{Loop, settings(), 1};
  event::endpoint Address;
  std::unique_ptr<http_endpoint> Endpoint;

  endpoint_run() {
    Loop.simulateTime();
    // Tests run in processes of their own, in parallel.
    auto Process = static_cast<unsigned>(::getpid());
    Address = {"127.3." + std::to_string(Process % 250) + "." +
                   std::to_string(Process / 250 % 250),
               28'392};
    auto Opened = http_endpoint::open(State, Address, [](const auto &) {
      return http::response{200, "", {}, "ok"};
    });
    cr_assert(isOk(Opened));
    Endpoint = std::move(valueOf(Opened));
  }

  static auto settings() -> node_settings {
    auto Settings = node_settings();
    Settings.Node = {"node-1"};
    Settings.FileDescriptors = FileDescriptors;
    return Settings;
  }

  void run(micros Time) { Loop.runUntil(Loop.now() + Time); }

  /** @return the status of the answer to a request, or 0. */
  auto request() -> int {
    auto Status = 0;
    auto Options = http::client_options();
    Options.MaxBodyBytes = 1024;
    auto Client = http::client_connection::open(Loop, Address, Options);
    Client->exchange({"GET", "/", "/", {{"Host", "node"}}, "", false, {}},
                     [&Status](const http::exchange_result &Result) {
                       if (const auto *Answer =
                               std::get_if<http::response>(&Result)) {
                         Status = Answer->Status;
                       }
                     });
    run(micros(100'000));
    return Status;
  }
};

} // namespace

// Guards against silent connections that take all descriptors of the process,
// and against a new request that is turned away instead of one of them.
Test(sidecar_listener, silent_connections_to_an_interface_give_way) {
  for (const auto *Bytes :
       {"", "PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n"}) {
    auto Run = endpoint_run();
    auto Crowd = silent_crowd(Run.Loop, Run.Address, Bytes);
    Run.run(micros(500'000));
    auto Kept = CrowdSize - Crowd.Closed;
    cr_assert_leq(static_cast<std::size_t>(Kept),
                  maxListenerConnections(FileDescriptors));
    cr_assert_eq(Run.request(), 200);
  }
}

// Guards against requests that stop short of their end and stay for ever.
Test(sidecar_listener, unfinished_request_to_an_interface_ends) {
  auto Run = endpoint_run();
  auto Crowd =
      silent_crowd(Run.Loop, Run.Address,
                   "PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nx");
  Run.run(micros(13'000'000));
  cr_assert_eq(Crowd.Closed, CrowdSize);
}

// Guards against connections to the listener for other nodes that never tell
// who opened them, and against waiting for a first message of any size.
Test(sidecar_listener, strangers_at_the_peer_listener_give_way) {
  auto Mesh = sim::mesh_sim(1, 2);
  auto Version = Mesh.publishConfig();
  Mesh.startTarget(1);
  Mesh.run(micros(6'000'000));
  auto Silent = silent_crowd(Mesh.loop(), Mesh.peerAddress(1), "");
  Mesh.run(micros(200'000));
  cr_assert_leq(static_cast<std::size_t>(CrowdSize - Silent.Closed),
                maxListenerConnections(0));
  cr_assert_eq(Mesh.call(0, Version), 200);
  auto Announced = std::string("\0\0\1\0", 4); // 64 KiB.
  auto Large = silent_crowd(Mesh.loop(), Mesh.peerAddress(1), Announced);
  Mesh.run(micros(200'000));
  cr_assert_eq(Large.Closed, CrowdSize);
  Mesh.run(micros(6'000'000));
  cr_assert_eq(Silent.Closed, CrowdSize);
  cr_assert_eq(Mesh.call(0, Version), 200);
}

// Guards against limits that mass connections of nodes or the platform meet.
Test(sidecar_listener, limits_follow_the_descriptors) {
  cr_assert_eq(maxListenerConnections(FileDescriptors), 4U);
  cr_assert_eq(maxListenerConnections(4100), 64U);
  cr_assert_eq(maxListenerConnections(0), 64U);
  cr_assert_eq(acceptsPerEvent(64), 32U);
  cr_assert_eq(acceptsPerEvent(1), 1U);
}
