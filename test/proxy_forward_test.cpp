/** @file proxy_forward_test.cpp Tests of calls through two nodes. */
#include "proxy_fixture.h"

#include "sycamorelb/core/hash_func.h"

#include <criterion/criterion.h>
#include <httplib.h>
#include <rapidcheck.h>

using namespace sycamorelb;
using namespace sycamorelb::proxy_test;

static auto startAt(standin::upstream_server &Upstream) -> std::string {
  return "127.0.0.1:" + std::to_string(valueOf(Upstream.start()));
}

// Guards against lost or mixed-up headers and statuses on both hop counts.
Test(proxy_forward, passes_request_and_answer) {
  auto Upstream = standin::upstream_server(quickUpstream());
  auto Mesh = mesh(startAt(Upstream));
  for (const auto &Target : {Mesh.localTarget(), Mesh.remoteTarget()}) {
    Mesh.Plan.Targets = {Target};
    auto Client = raw_client(Mesh.CallerPort);
    for (const auto *Token : {"a", "b", "c"}) {
      Client.send(plainRequest("/x?q=1", "x-token: " + std::string(Token) +
                                             "\r\nx-answer-status: 404\r\n"));
      auto Answer = Client.readAnswer();
      cr_assert_eq(statusOf(Answer), 404);
      cr_assert_eq(headerOf(Answer, "x-token"), Token);
    }
  }
  cr_assert_eq(Upstream.counters().Started, 6);
  cr_assert_eq(Mesh.attempts(6).size(), 6);
  cr_assert(Mesh.attempts(6).back().Outcome.Kind ==
            proxy::outcome_kind::Answered);
}

// Guards against a library caller (keep-alive, compression headers, redirects,
// HEAD) that is served differently from a raw one.
Test(proxy_forward, serves_a_library_client) {
  auto Upstream = standin::upstream_server(quickUpstream());
  auto Mesh = mesh(startAt(Upstream));
  auto Client = httplib::Client("127.0.0.1", Mesh.CallerPort);
  Client.set_keep_alive(true);
  Client.set_tcp_nodelay(true);
  auto Head = Client.Head("/x", {{"x-answer-bytes", "1000"}});
  cr_assert(Head);
  cr_assert_eq(Head->get_header_value("Content-Length"), "1000");
  auto Moved = Client.Get("/x", {{"x-answer-status", "302"}});
  cr_assert_eq(Moved->status, 302);
  auto Empty = Client.Get("/x", {{"x-answer-status", "204"}});
  cr_assert_eq(Empty->status, 204);
  auto Posted = Client.Post("/x", std::string(1000, 'x'), "text/plain");
  cr_assert_eq(Posted->get_header_value("x-body-bytes"), "1000");
  cr_assert_eq(Upstream.counters().Started, 4);
  cr_assert_eq(Mesh.Callers->stats().Accepted, 1);
}

// Guards against a 304 with a length that makes the node wait for a body.
Test(proxy_forward, passes_304_with_a_length) {
  auto Fake = raw_server([](auto &Peer) {
    while (!Peer.readUntil("\r\n\r\n").empty()) {
      Peer.send("HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n");
    }
  });
  auto Mesh = mesh(Fake.address());
  auto Client = raw_client(Mesh.CallerPort);
  for (auto Round = 0; Round < 2; ++Round) {
    Client.send(plainRequest("/x"));
    auto Answer = Client.readUntil("\r\n\r\n");
    cr_assert_eq(statusOf(Answer), 304);
    cr_assert_eq(headerOf(Answer, "content-length"), "5");
  }
  cr_assert_eq(Fake.Accepted, 1);
}

// Guards against bodies that are altered by chunking, in either direction: the
// upstream's hash of what it got and the caller's hash of what it got must be
// those of what was sent.
Test(proxy_forward, random_chunkings_are_byte_exact) {
  auto Upstream = standin::upstream_server(quickUpstream());
  auto Mesh = mesh(startAt(Upstream));
  auto Seed = std::uint64_t{0};
  cr_assert(rc::check("chunked echo", [&] {
    auto Pieces = *rc::gen::container<std::vector<std::size_t>>(
        rc::gen::weightedOneOf<std::size_t>(
            {{4, rc::gen::inRange<std::size_t>(1, 300)},
             {1, rc::gen::inRange<std::size_t>(1, 60'000)}}));
    auto Chunked = *rc::gen::arbitrary<bool>();
    auto Chunks = *rc::gen::inRange(0, 4);
    auto Size = *rc::gen::inRange(0, 100'000);
    Mesh.Plan.Targets = {*rc::gen::arbitrary<bool>() ? Mesh.localTarget()
                                                     : Mesh.remoteTarget()};
    Upstream.control({{"answer_chunks", Chunks}});
    auto Body = std::string();
    auto Wire = std::string();
    for (auto Piece : Pieces) {
      auto Bytes = standin::answerBytes(Piece, ++Seed);
      auto Hex = std::array<char, 20>();
      std::snprintf(Hex.data(), Hex.size(), "%zx\r\n", Piece);
      Body += Bytes;
      Wire += Hex.data() + Bytes + "\r\n";
    }
    auto Framing =
        Chunked ? "Transfer-Encoding: chunked\r\n"
                : "Content-Length: " + std::to_string(Body.size()) + "\r\n";
    auto Client = raw_client(Mesh.CallerPort);
    Client.send(plainRequest(
        "/x", Framing + "x-answer-bytes: " + std::to_string(Size) + "\r\n",
        "POST"));
    Client.send(Chunked ? Wire + "0\r\n\r\n" : Body);
    auto Answer = Client.readAnswer();
    RC_ASSERT(statusOf(Answer) == 200);
    RC_ASSERT(headerOf(Answer, "x-body-hash") == std::to_string(hash64(Body)));
    RC_ASSERT(headerOf(Answer, "x-answer-hash") ==
              std::to_string(hash64(bodyOf(Answer))));
  }));
  cr_assert_eq(Upstream.counters().BadBodies, 0);
}

// Guards against a caller that waits for 100 Continue in vain, and against a
// large body that is read before the call is admitted.
Test(proxy_forward, continue_is_sent_when_the_body_is_wanted) {
  auto Upstream = standin::upstream_server(quickUpstream());
  auto Mesh = mesh(startAt(Upstream));
  auto Head = plainRequest(
      "/x", "Expect: 100-continue\r\nContent-Length: 200000\r\n", "POST");
  auto Client = raw_client(Mesh.CallerPort);
  Client.send(Head);
  cr_assert_eq(Client.readUntil("\r\n\r\n"), "HTTP/1.1 100 Continue\r\n\r\n");
  auto Body = standin::answerBytes(200'000, 1);
  Client.send(Body);
  auto Answer = Client.readAnswer();
  cr_assert_eq(headerOf(Answer, "x-body-hash"), std::to_string(hash64(Body)));
  Mesh.Plan.Admit = false;
  auto Refused = raw_client(Mesh.CallerPort);
  Refused.send(Head);
  Answer = Refused.readAnswer();
  cr_assert_eq(statusOf(Answer), 503);
  cr_assert_eq(headerOf(Answer, "x-sycamore-outcome"), "not-run");
}

// Guards against a refusal by admission that makes a large upload fail although
// another node would have taken it.
Test(proxy_forward, large_body_is_retried_after_a_refusal) {
  auto Upstream = standin::upstream_server(quickUpstream());
  auto Mesh = mesh(startAt(Upstream));
  auto Refusing = mesh("unused");
  Refusing.Plan.Admit = false;
  Mesh.Plan.Targets = {Refusing.remoteTarget(), Mesh.remoteTarget()};
  Mesh.Plan.Route.MaxAttempts = 2;
  auto Body = standin::answerBytes(300'000, 2);
  auto Client = raw_client(Mesh.CallerPort);
  Client.send(plainRequest("/x", "Content-Length: 300000\r\n", "POST") + Body);
  auto Answer = Client.readAnswer();
  cr_assert_eq(headerOf(Answer, "x-body-hash"), std::to_string(hash64(Body)));
  cr_assert_eq(Mesh.attempts(2).size(), 2);
  cr_assert(Mesh.attempts(2)[0].Outcome.Kind == proxy::outcome_kind::NotRun);
}

// Guards against forged internal headers from callers, and against hop-by-hop
// headers that reach the upstream.
Test(proxy_forward, internal_and_hop_headers_are_removed) {
  auto Seen = std::string();
  auto Fake = raw_server([&](auto &Peer) {
    Seen = Peer.readUntil("\r\n\r\n");
    Peer.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  });
  auto Mesh = mesh(Fake.address());
  auto Client = raw_client(Mesh.CallerPort);
  Client.send(plainRequest("/x", "x-sycamore-auth: forged\r\n"
                                 "x-sycamore-priority: 9\r\n"
                                 "Connection: x-private\r\nx-private: 1\r\n"
                                 "Accept-Encoding: gzip\r\n"
                                 "x-sycamore-attempts: 3\r\n"));
  cr_assert_eq(statusOf(Client.readAnswer()), 200);
  cr_assert(Seen.find("forged") == std::string::npos);
  cr_assert(Seen.find("x-private") == std::string::npos);
  cr_assert(Seen.find("x-sycamore-priority") == std::string::npos);
  cr_assert(Seen.find("Accept-Encoding: gzip\r\n") != std::string::npos);
  cr_assert(Seen.find("x-sycamore-attempts: 3\r\n") != std::string::npos);
  cr_assert(Seen.find("x-sycamore-deadline-ms: 199") != std::string::npos, "%s",
            Seen.c_str());
}

// Guards against a peer port that forwards unauthenticated calls.
Test(proxy_forward, peer_port_needs_authentication) {
  auto Upstream = standin::upstream_server(quickUpstream());
  auto Mesh = mesh(startAt(Upstream));
  auto Client = raw_client(Mesh.PeerPort);
  Client.send(plainRequest("/x"));
  cr_assert_eq(statusOf(Client.readAnswer()), 401);
  cr_assert_eq(Upstream.counters().Started, 0);
}

// Guards against a call that runs without the claim for its key.
Test(proxy_forward, a_held_key_is_answered_with_409) {
  auto Upstream = standin::upstream_server(quickUpstream());
  auto Mesh = mesh(startAt(Upstream));
  for (const auto &Target : {Mesh.localTarget(), Mesh.remoteTarget()}) {
    Mesh.Plan.Targets = {Target};
    Mesh.Plan.Claim = {proxy::claim_decision::kind::Held, true, 201, ""};
    auto Client = raw_client(Mesh.CallerPort);
    Client.send(plainRequest("/x", "Idempotency-Key: k\r\n"));
    auto Answer = Client.readAnswer();
    cr_assert_eq(statusOf(Answer), 409);
    cr_assert_eq(headerOf(Answer, "x-sycamore-outcome"), "completed");
    Mesh.Plan.Claim = {proxy::claim_decision::kind::Refused, false, 0, "log"};
    Client.send(plainRequest("/x", "Idempotency-Key: k\r\n"));
    cr_assert_eq(headerOf(Client.readAnswer(), "x-sycamore-outcome"),
                 "not-run");
  }
  cr_assert_eq(Upstream.counters().Started, 0);
  cr_assert_eq(Mesh.released(4).size(), 4);
}
