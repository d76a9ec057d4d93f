/** @file proxy_failure_test.cpp Tests of failures on the way of a call. */
#include "proxy_fixture.h"

#include <criterion/criterion.h>

using namespace sycamorelb;
using namespace sycamorelb::proxy_test;
using proxy::outcome_kind;

static auto startAt(standin::upstream_server &Upstream) -> std::string {
  return "127.0.0.1:" + std::to_string(valueOf(Upstream.start()));
}

static constexpr auto WholeAnswer =
    std::string_view("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");

// Guards against a truncated answer that the caller takes for a whole one: with
// a length, in chunks, and to an HTTP/1.0 caller that reads until the close.
Test(proxy_failure, truncated_answer_resets_the_caller) {
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
      Mesh.Plan.Targets = {Target};
      for (const auto *Version : {"1.1", "1.0"}) {
        auto Client = raw_client(Mesh.CallerPort);
        Client.send("GET /x HTTP/" + std::string(Version) +
                    "\r\nHost: test\r\n\r\n");
        auto Answer = Client.readAll();
        cr_assert(Client.wasReset());
        cr_assert(Answer.find("0\r\n\r\n") == std::string::npos);
      }
    }
    cr_assert(Mesh.attempts(4).back().Outcome.Kind == outcome_kind::Unknown);
  }
}

// Guards against an answer that is too late for its own call and reaches the
// next caller on the same connection.
Test(proxy_failure, late_answer_does_not_reach_another_call) {
  auto Fake = raw_server([](auto &Peer) {
    auto Request = Peer.readUntil("\r\n\r\n");
    if (Request.starts_with("GET /late")) {
      Peer.awaitClose();
      Peer.send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate");
      return;
    }
    Peer.send(WholeAnswer);
    Peer.awaitClose();
  });
  auto Mesh = mesh(Fake.address());
  for (const auto &Target : {Mesh.localTarget(), Mesh.remoteTarget()}) {
    Mesh.Plan.Targets = {Target};
    Mesh.Plan.Route.Timeout = millis(100);
    auto Client = raw_client(Mesh.CallerPort);
    Client.send(plainRequest("/late"));
    auto Late = Client.readAnswer();
    cr_assert(statusOf(Late) == 504 || statusOf(Late) == 502);
    cr_assert_eq(headerOf(Late, "x-sycamore-outcome"), "unknown");
    Mesh.Plan.Route.Timeout = millis(20'000);
    Client.send(plainRequest("/next"));
    cr_assert_eq(bodyOf(Client.readAnswer()), "ok");
  }
}

// Guards against unread bytes on a kept connection that become the answer to
// the next call.
Test(proxy_failure, connection_with_unread_bytes_is_not_reused) {
  auto Sent = std::atomic<bool>(false);
  auto Fake = raw_server([&](auto &Peer) {
    while (!Peer.readUntil("\r\n\r\n").empty()) {
      Peer.send(WholeAnswer);
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
    cr_assert_eq(bodyOf(Client.readAnswer()), "ok");
    cr_assert(eventually([&] { return Sent.load(); }));
  }
  cr_assert_eq(Fake.Accepted, 2);
}

// Guards against a call that is sent a second time by itself when a kept
// connection breaks after the request was read.
Test(proxy_failure, request_is_not_resent_on_a_broken_connection) {
  auto Reads = std::atomic<int>(0);
  auto Fake = raw_server([&](auto &Peer) {
    while (!Peer.readUntil("\r\n\r\n").empty()) {
      if (++Reads != 1) {
        return;
      }
      Peer.send(WholeAnswer);
    }
  });
  auto Mesh = mesh(Fake.address());
  Mesh.Plan.Targets = {Mesh.localTarget()};
  Mesh.Plan.Route.MaxAttempts = 4;
  auto Client = raw_client(Mesh.CallerPort);
  Client.send(plainRequest("/x"));
  cr_assert_eq(statusOf(Client.readAnswer()), 200);
  Client.send(plainRequest("/x"));
  auto Answer = Client.readAnswer();
  cr_assert_eq(statusOf(Answer), 502);
  cr_assert_eq(headerOf(Answer, "x-sycamore-outcome"), "unknown");
  cr_assert_eq(Reads, 2);
  // The same failure is repeated within the attempts of an idempotent route.
  Mesh.Plan.Route.Idempotent = true;
  Client.send(plainRequest("/x"));
  cr_assert_eq(statusOf(Client.readAnswer()), 502);
  cr_assert_eq(Reads, 6);
}

// Guards against a refused connection that is reported as possibly run, and
// against one that ends the call although another target is there.
Test(proxy_failure, refused_connection_is_not_run_and_retried) {
  auto Upstream = standin::upstream_server(quickUpstream());
  auto Mesh = mesh(startAt(Upstream));
  auto Gone = Mesh.remoteTarget();
  {
    auto Closed = raw_server([](auto &) {});
    Gone.Address = Closed.address();
  }
  Mesh.Plan.Targets = {Gone};
  auto Client = raw_client(Mesh.CallerPort);
  Client.send(plainRequest("/x"));
  auto Answer = Client.readAnswer();
  cr_assert_eq(statusOf(Answer), 503);
  cr_assert_eq(headerOf(Answer, "x-sycamore-outcome"), "not-run");
  Mesh.Plan.Targets = {Gone, Mesh.remoteTarget()};
  Mesh.Plan.Route.MaxAttempts = 2;
  Client.send(plainRequest("/x"));
  cr_assert_eq(statusOf(Client.readAnswer()), 200);
  cr_assert_eq(Upstream.counters().Started, 1);
}

// Guards against calls that fail once a lost host has used up the retry budget:
// an attempt that reached no peer must not need a token.
Test(proxy_failure, refused_connection_is_retried_without_budget) {
  auto Upstream = standin::upstream_server(quickUpstream());
  auto Mesh = mesh(startAt(Upstream));
  auto Gone = Mesh.remoteTarget();
  {
    auto Closed = raw_server([](auto &) {});
    Gone.Address = Closed.address();
  }
  Mesh.Plan.Targets = {Gone, Mesh.remoteTarget()};
  Mesh.Plan.Route.MaxAttempts = 2;
  Mesh.Plan.MayRetry = false;
  auto Client = raw_client(Mesh.CallerPort);
  Client.send(plainRequest("/x"));
  cr_assert_eq(statusOf(Client.readAnswer()), 200);
}

// Guards against work that goes on at the upstream after its caller left.
Test(proxy_failure, leaving_caller_cancels_the_upstream) {
  auto Options = quickUpstream();
  Options.Behaviour.ServiceMs = 60'000;
  auto Upstream = standin::upstream_server(Options);
  auto Mesh = mesh(startAt(Upstream));
  auto Expected = std::uint64_t{0};
  for (const auto &Target : {Mesh.localTarget(), Mesh.remoteTarget()}) {
    Mesh.Plan.Targets = {Target};
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

// Guards against a caller that leaves while its call waits for admission.
Test(proxy_failure, leaving_caller_wakes_the_admission) {
  auto Mesh = mesh("unused");
  Mesh.Plan.HoldAdmission = true;
  auto Expected = 0;
  for (const auto &Target : {Mesh.localTarget(), Mesh.remoteTarget()}) {
    Mesh.Plan.Targets = {Target};
    auto Client = raw_client(Mesh.CallerPort);
    Client.send(plainRequest("/x"));
    ++Expected;
    cr_assert(eventually([&] { return Mesh.InAdmission == Expected; }));
    Client.close();
    cr_assert(eventually([&] { return Mesh.Cancelled == Expected; }));
  }
}

// Guards against silent kept connections that each cost a timeout: after the
// first one all are dropped, and an idempotent call is tried on a new one.
Test(proxy_failure, silent_connections_are_dropped_at_once) {
  auto Upstream = standin::upstream_server(quickUpstream());
  auto Mesh = mesh(startAt(Upstream));
  Mesh.Plan.Targets = {Mesh.localTarget()};
  Mesh.Plan.Route.Idempotent = true;
  Mesh.Plan.Route.MaxAttempts = 2;
  // Several connections are opened by calls that overlap.
  Upstream.control({{"service_ms", 200}});
  auto Clients = std::vector<std::unique_ptr<raw_client>>();
  for (auto Index = 0; Index < 8; ++Index) {
    Clients.push_back(std::make_unique<raw_client>(Mesh.CallerPort));
    Clients.back()->send(plainRequest("/x"));
  }
  for (auto &Client : Clients) {
    cr_assert_eq(statusOf(Client->readAnswer()), 200);
  }
  auto Opened = Mesh.Entry->stats().Opened;
  cr_assert_geq(Opened, 2);
  Mesh.attempts(8);
  Upstream.control({{"service_ms", 0}, {"freeze", true}});
  Mesh.Plan.FirstByteTimeout = millis(300);
  Clients[0]->send(plainRequest("/x"));
  cr_assert_eq(statusOf(Clients[0]->readAnswer()), 200);
  cr_assert_eq(Mesh.Entry->stats().Silent, 1);
  Mesh.attempts(10);
  for (auto &Client : Clients) {
    Client->send(plainRequest("/x"));
    cr_assert_eq(statusOf(Client->readAnswer()), 200);
  }
  cr_assert_eq(Mesh.Entry->stats().Silent, 1);
}

// Guards against a non-idempotent call that is given up early although its
// answer still comes.
Test(proxy_failure, slow_answer_of_a_non_idempotent_call_is_awaited) {
  auto Options = quickUpstream();
  Options.Behaviour.ServiceMs = 300;
  auto Upstream = standin::upstream_server(Options);
  auto Mesh = mesh(startAt(Upstream));
  Mesh.Plan.FirstByteTimeout = millis(20);
  auto Client = raw_client(Mesh.CallerPort);
  Client.send(plainRequest("/x"));
  cr_assert_eq(statusOf(Client.readAnswer()), 200);
  cr_assert_eq(Upstream.counters().Started, 1);
  cr_assert_eq(Mesh.Admission->stats().Silent, 1);
}

// Guards against an answer that stops in its middle and holds the caller until
// the end of a long deadline.
Test(proxy_failure, stalled_answer_ends_at_the_progress_deadline) {
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

// Guards against an early refusal of a large upload that is lost because the
// node insists on sending the whole body.
Test(proxy_failure, early_answer_to_an_upload_is_passed_on) {
  auto Fake = raw_server([](auto &Peer) {
    Peer.readUntil("\r\n\r\n");
    Peer.send("HTTP/1.1 413 Too Large\r\nContent-Length: 3\r\n\r\nbig");
    Peer.awaitClose();
  });
  auto Mesh = mesh(Fake.address());
  for (const auto &Target : {Mesh.localTarget(), Mesh.remoteTarget()}) {
    Mesh.Plan.Targets = {Target};
    auto Client = raw_client(Mesh.CallerPort);
    Client.send(plainRequest("/x", "Content-Length: 100000000\r\n", "POST"));
    Client.send(std::string(100'000, 'x'));
    auto Answer = Client.readAnswer();
    cr_assert_eq(statusOf(Answer), 413);
    cr_assert_eq(bodyOf(Answer), "big");
    cr_assert_eq(headerOf(Answer, "connection"), "close");
  }
}

// Guards against a bad chunk in the middle of an upload that ends the body of
// the forwarded request in order.
Test(proxy_failure, bad_chunk_aborts_the_upload) {
  auto Upstream = standin::upstream_server(quickUpstream());
  auto Mesh = mesh(startAt(Upstream));
  for (const auto &Target : {Mesh.localTarget(), Mesh.remoteTarget()}) {
    Mesh.Plan.Targets = {Target};
    auto Client = raw_client(Mesh.CallerPort);
    Client.send(plainRequest("/x", "Transfer-Encoding: chunked\r\n", "POST"));
    Client.send("20000\r\n" + std::string(0x20000, 'x') + "\r\nzz\r\n");
    auto Answer = Client.readAll();
    cr_assert_eq(statusOf(Answer), 400, "%s", Answer.c_str());
  }
  cr_assert_eq(Upstream.counters().Started, 0);
}

// Guards against a hedge whose loser is answered, reported or cancelled
// wrongly.
Test(proxy_failure, hedge_wins_over_a_slow_first_attempt) {
  auto SlowOptions = quickUpstream();
  SlowOptions.Behaviour.ServiceMs = 60'000;
  auto Slow = standin::upstream_server(SlowOptions);
  auto Quick = standin::upstream_server(quickUpstream());
  auto SlowMesh = mesh(startAt(Slow));
  auto Mesh = mesh(startAt(Quick));
  Mesh.Plan.Targets = {SlowMesh.remoteTarget(), Mesh.remoteTarget()};
  Mesh.Plan.Route.Idempotent = true;
  Mesh.Plan.Route.MaxAttempts = 2;
  Mesh.Plan.Route.HedgeAfter = millis(100);
  auto Client = raw_client(Mesh.CallerPort);
  Client.send(plainRequest("/x"));
  cr_assert_eq(statusOf(Client.readAnswer()), 200);
  auto Attempts = Mesh.attempts(2);
  cr_assert(Attempts[0].Outcome.Kind == outcome_kind::Cancelled);
  cr_assert_eq(Attempts[0].Target.Address, SlowMesh.remoteTarget().Address);
  cr_assert(Attempts[1].Outcome.Kind == outcome_kind::Answered);
  cr_assert(eventually([&] { return Slow.counters().Cancelled == 1; }));
}
