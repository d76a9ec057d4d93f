/** @file proxy_failure_test.cpp Tests of failures while a call is forwarded. */
#include "proxy_fixture.h"

#include <criterion/criterion.h>

using namespace sycamorelb;
using namespace sycamorelb::proxy_test;
using proxy::outcome_kind;

static auto startAt(standin::upstream_server &Upstream) -> std::string {
  return "127.0.0.1:" + std::to_string(valueOf(Upstream.start()));
}

static constexpr auto CompleteResponse =
    std::string_view("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");

// Guards against a truncated response that the caller mistakes for a complete
// one: with a Content-Length, with chunks, and for an HTTP/1.0 caller that
// reads until the close.
Test(proxy_failure, truncated_response_resets_the_caller) {
  for (const auto *Framing :
       {"Content-Length: 99999\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n"
                                         "10000\r\n"}) {
    auto Fake = raw_server([&](auto &Peer) {
      Peer.readUntil("\r\n\r\n");
      Peer.send("HTTP/1.1 200 OK\r\n" + std::string(Framing) +
                std::string(50'000, 'x'));
    });
    auto Mesh = mesh(Fake.address());
    for (const auto &Target : {Mesh.localTarget(), Mesh.remoteTarget()}) {
      Mesh.Script.Targets = {Target};
      for (const auto *Version : {"1.1", "1.0"}) {
        auto Client = raw_client(Mesh.CallerPort);
        Client.send("GET /x HTTP/" + std::string(Version) +
                    "\r\nHost: test\r\n\r\n");
        auto Response = Client.readAll();
        cr_assert(Client.wasReset());
        cr_assert(Response.find("0\r\n\r\n") == std::string::npos);
      }
    }
    cr_assert(Mesh.attempts(4).back().Outcome.Kind == outcome_kind::Unknown);
  }
}

// Guards against a response that arrives after the timeout of its call and is
// delivered to the next call on the same connection.
Test(proxy_failure, late_response_does_not_reach_another_call) {
  auto Fake = raw_server([](auto &Peer) {
    auto Request = Peer.readUntil("\r\n\r\n");
    if (Request.starts_with("GET /late")) {
      Peer.awaitClose();
      Peer.send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate");
      return;
    }
    Peer.send(CompleteResponse);
    Peer.awaitClose();
  });
  auto Mesh = mesh(Fake.address());
  for (const auto &Target : {Mesh.localTarget(), Mesh.remoteTarget()}) {
    Mesh.Script.Targets = {Target};
    Mesh.Script.Route.Timeout = millis(100);
    auto Client = raw_client(Mesh.CallerPort);
    Client.send(plainRequest("/late"));
    auto Late = Client.readResponse();
    cr_assert(statusOf(Late) == 504 || statusOf(Late) == 502);
    cr_assert_eq(headerOf(Late, "x-sycamore-outcome"), "unknown");
    Mesh.Script.Route.Timeout = millis(20'000);
    Client.send(plainRequest("/next"));
    cr_assert_eq(bodyOf(Client.readResponse()), "ok");
  }
}

// Guards against unread bytes on a pooled connection that are taken for the
// response to the next call.
Test(proxy_failure, connection_with_unread_bytes_is_not_reused) {
  auto Sent = std::atomic<bool>(false);
  auto Fake = raw_server([&](auto &Peer) {
    while (!Peer.readUntil("\r\n\r\n").empty()) {
      Peer.send(CompleteResponse);
      if (Peer.Index == 0) {
        Peer.send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong");
        Sent = true;
      }
    }
  });
  auto Mesh = mesh(Fake.address());
  auto Client = raw_client(Mesh.CallerPort);
  for (auto Round = 0; Round < 3; ++Round) {
    Client.send(plainRequest("/x"));
    cr_assert_eq(bodyOf(Client.readResponse()), "ok");
    cr_assert(eventually([&] { return Sent.load(); }));
  }
  cr_assert_eq(Fake.Accepted, 2);
}

// Guards against an implicit second execution of a call when a pooled
// connection breaks after the peer has read the request.
Test(proxy_failure, request_is_not_resent_on_a_broken_connection) {
  auto Reads = std::atomic<int>(0);
  auto Fake = raw_server([&](auto &Peer) {
    while (!Peer.readUntil("\r\n\r\n").empty()) {
      if (++Reads != 1) {
        return;
      }
      Peer.send(CompleteResponse);
    }
  });
  auto Mesh = mesh(Fake.address());
  Mesh.Script.Targets = {Mesh.localTarget()};
  Mesh.Script.Route.MaxAttempts = 4;
  auto Client = raw_client(Mesh.CallerPort);
  Client.send(plainRequest("/x"));
  cr_assert_eq(statusOf(Client.readResponse()), 200);
  Client.send(plainRequest("/x"));
  auto Response = Client.readResponse();
  cr_assert_eq(statusOf(Response), 502);
  cr_assert_eq(headerOf(Response, "x-sycamore-outcome"), "unknown");
  cr_assert_eq(Reads, 2);
  // On an idempotent route the call is retried up to the attempt limit.
  Mesh.Script.Route.Idempotent = true;
  Client.send(plainRequest("/x"));
  cr_assert_eq(statusOf(Client.readResponse()), 502);
  cr_assert_eq(Reads, 6);
}

// Guards against a refused connection that is reported as possibly run, or that
// ends the call although another target is available.
Test(proxy_failure, refused_connection_is_not_run_and_retried) {
  auto Upstream = standin::upstream_server(quickUpstream());
  auto Mesh = mesh(startAt(Upstream));
  auto Unreachable = Mesh.remoteTarget();
  {
    auto Closed = raw_server([](auto &) {});
    Unreachable.Address = Closed.address();
  }
  Mesh.Script.Targets = {Unreachable};
  auto Client = raw_client(Mesh.CallerPort);
  Client.send(plainRequest("/x"));
  auto Response = Client.readResponse();
  cr_assert_eq(statusOf(Response), 503);
  cr_assert_eq(headerOf(Response, "x-sycamore-outcome"), "not-run");
  Mesh.Script.Targets = {Unreachable, Mesh.remoteTarget()};
  Mesh.Script.Route.MaxAttempts = 2;
  Client.send(plainRequest("/x"));
  cr_assert_eq(statusOf(Client.readResponse()), 200);
  cr_assert_eq(Upstream.counters().Started, 1);
}

// Guards against calls that fail because a lost host has exhausted the retry
// budget: the retry of an attempt that reached no peer must not need a token.
Test(proxy_failure, refused_connection_is_retried_without_budget) {
  auto Upstream = standin::upstream_server(quickUpstream());
  auto Mesh = mesh(startAt(Upstream));
  auto Unreachable = Mesh.remoteTarget();
  {
    auto Closed = raw_server([](auto &) {});
    Unreachable.Address = Closed.address();
  }
  Mesh.Script.Targets = {Unreachable, Mesh.remoteTarget()};
  Mesh.Script.Route.MaxAttempts = 2;
  Mesh.Script.MayRetry = false;
  auto Client = raw_client(Mesh.CallerPort);
  Client.send(plainRequest("/x"));
  cr_assert_eq(statusOf(Client.readResponse()), 200);
}

// Guards against an upstream that keeps working on a call after the caller has
// disconnected.
Test(proxy_failure, caller_disconnect_cancels_the_upstream_call) {
  auto Options = quickUpstream();
  Options.Behaviour.ServiceMs = 60'000;
  auto Upstream = standin::upstream_server(Options);
  auto Mesh = mesh(startAt(Upstream));
  auto Expected = std::uint64_t{0};
  for (const auto &Target : {Mesh.localTarget(), Mesh.remoteTarget()}) {
    Mesh.Script.Targets = {Target};
    auto Client = raw_client(Mesh.CallerPort);
    Client.send(plainRequest("/x"));
    ++Expected;
    cr_assert(
        eventually([&] { return Upstream.counters().Started == Expected; }));
    Client.close();
    cr_assert(
        eventually([&] { return Upstream.counters().Cancelled == Expected; }));
    cr_assert(Mesh.attempts(Expected).back().Outcome.Kind ==
              outcome_kind::Cancelled);
  }
}

// Guards against a call that keeps waiting for admission after its caller has
// disconnected.
Test(proxy_failure, caller_disconnect_ends_the_wait_for_admission) {
  auto Mesh = mesh("unused");
  Mesh.Script.HoldAdmission = true;
  auto Expected = 0;
  for (const auto &Target : {Mesh.localTarget(), Mesh.remoteTarget()}) {
    Mesh.Script.Targets = {Target};
    auto Client = raw_client(Mesh.CallerPort);
    Client.send(plainRequest("/x"));
    ++Expected;
    cr_assert(eventually([&] { return Mesh.InAdmission == Expected; }));
    Client.close();
    cr_assert(eventually([&] { return Mesh.Cancelled == Expected; }));
  }
}

// Guards against silent pooled connections that each cost a timeout: the first
// one makes the pool drop all of them, and an idempotent call is retried on a
// new connection.
Test(proxy_failure, silent_connections_are_dropped_at_once) {
  auto Upstream = standin::upstream_server(quickUpstream());
  auto Mesh = mesh(startAt(Upstream));
  Mesh.Script.Targets = {Mesh.localTarget()};
  Mesh.Script.Route.Idempotent = true;
  Mesh.Script.Route.MaxAttempts = 2;
  // Overlapping calls open several connections.
  Upstream.control({{"service_ms", 200}});
  auto Clients = std::vector<std::unique_ptr<raw_client>>();
  for (auto Index = 0; Index < 8; ++Index) {
    Clients.push_back(std::make_unique<raw_client>(Mesh.CallerPort));
    Clients.back()->send(plainRequest("/x"));
  }
  for (auto &Client : Clients) {
    cr_assert_eq(statusOf(Client->readResponse()), 200);
  }
  auto Opened = Mesh.Entry->stats().Opened;
  cr_assert_geq(Opened, 2);
  Mesh.attempts(8);
  Upstream.control({{"service_ms", 0}, {"freeze", true}});
  Mesh.Script.FirstByteTimeout = millis(300);
  Clients[0]->send(plainRequest("/x"));
  cr_assert_eq(statusOf(Clients[0]->readResponse()), 200);
  cr_assert_eq(Mesh.Entry->stats().Silent, 1);
  Mesh.attempts(10);
  for (auto &Client : Clients) {
    Client->send(plainRequest("/x"));
    cr_assert_eq(statusOf(Client->readResponse()), 200);
  }
  cr_assert_eq(Mesh.Entry->stats().Silent, 1);
}

// Guards against a non-idempotent call that is abandoned at FirstByteTimeout
// although its response still arrives.
Test(proxy_failure, slow_response_to_a_non_idempotent_call_is_awaited) {
  auto Options = quickUpstream();
  Options.Behaviour.ServiceMs = 300;
  auto Upstream = standin::upstream_server(Options);
  auto Mesh = mesh(startAt(Upstream));
  Mesh.Script.FirstByteTimeout = millis(20);
  auto Client = raw_client(Mesh.CallerPort);
  Client.send(plainRequest("/x"));
  cr_assert_eq(statusOf(Client.readResponse()), 200);
  cr_assert_eq(Upstream.counters().Started, 1);
  cr_assert_eq(Mesh.Admission->stats().Silent, 1);
}

// Guards against a response that stalls halfway and keeps the caller waiting
// until the deadline of the call.
Test(proxy_failure, stalled_response_ends_at_the_progress_timeout) {
  auto Fake = raw_server([](auto &Peer) {
    Peer.readUntil("\r\n\r\n");
    Peer.send("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nsome");
    Peer.awaitClose();
  });
  auto Options = proxy::proxy_options();
  Options.ProgressTimeout = millis(100);
  auto Mesh = mesh(Fake.address(), Options);
  auto Client = raw_client(Mesh.CallerPort);
  Client.send(plainRequest("/x"));
  Client.readAll();
  cr_assert(Client.wasReset());
  cr_assert(Mesh.attempts(1)[0].Outcome.Latency < millis(15'000));
}

// Guards against the loss of an early error response to a large upload because
// the node first sends the whole body.
Test(proxy_failure, early_response_to_an_upload_is_forwarded) {
  auto Fake = raw_server([](auto &Peer) {
    Peer.readUntil("\r\n\r\n");
    Peer.send("HTTP/1.1 413 Too Large\r\nContent-Length: 3\r\n\r\nbig");
    Peer.awaitClose();
  });
  auto Mesh = mesh(Fake.address());
  for (const auto &Target : {Mesh.localTarget(), Mesh.remoteTarget()}) {
    Mesh.Script.Targets = {Target};
    auto Client = raw_client(Mesh.CallerPort);
    Client.send(plainRequest("/x", "Content-Length: 100000000\r\n", "POST"));
    Client.send(std::string(100'000, 'x'));
    auto Response = Client.readResponse();
    cr_assert_eq(statusOf(Response), 413);
    cr_assert_eq(bodyOf(Response), "big");
    cr_assert_eq(headerOf(Response, "connection"), "close");
  }
}

// Guards against a malformed chunk in an upload after which the forwarded
// request ends as if it were complete.
Test(proxy_failure, bad_chunk_aborts_the_upload) {
  auto Upstream = standin::upstream_server(quickUpstream());
  auto Mesh = mesh(startAt(Upstream));
  for (const auto &Target : {Mesh.localTarget(), Mesh.remoteTarget()}) {
    Mesh.Script.Targets = {Target};
    auto Client = raw_client(Mesh.CallerPort);
    Client.send(plainRequest("/x", "Transfer-Encoding: chunked\r\n", "POST"));
    Client.send("20000\r\n" + std::string(0x20000, 'x') + "\r\nzz\r\n");
    auto Response = Client.readAll();
    cr_assert_eq(statusOf(Response), 400, "%s", Response.c_str());
  }
  cr_assert_eq(Upstream.counters().Started, 0);
}

// Guards against wrong handling of the slower attempt of a hedged call: it must
// be cancelled and reported, and must not reach the caller.
Test(proxy_failure, hedge_wins_over_a_slow_first_attempt) {
  auto SlowOptions = quickUpstream();
  SlowOptions.Behaviour.ServiceMs = 60'000;
  auto Slow = standin::upstream_server(SlowOptions);
  auto Quick = standin::upstream_server(quickUpstream());
  auto SlowMesh = mesh(startAt(Slow));
  auto Mesh = mesh(startAt(Quick));
  Mesh.Script.Targets = {SlowMesh.remoteTarget(), Mesh.remoteTarget()};
  Mesh.Script.Route.Idempotent = true;
  Mesh.Script.Route.MaxAttempts = 2;
  Mesh.Script.Route.HedgeAfter = millis(100);
  auto Client = raw_client(Mesh.CallerPort);
  Client.send(plainRequest("/x"));
  cr_assert_eq(statusOf(Client.readResponse()), 200);
  auto Attempts = Mesh.attempts(2);
  cr_assert(Attempts[0].Outcome.Kind == outcome_kind::Cancelled);
  cr_assert_eq(Attempts[0].Target.Address, SlowMesh.remoteTarget().Address);
  cr_assert(Attempts[1].Outcome.Kind == outcome_kind::Answered);
  cr_assert(eventually([&] { return Slow.counters().Cancelled == 1; }));
}
