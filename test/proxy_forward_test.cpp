/** @file proxy_forward_test.cpp Tests of calls forwarded through one or two
 * nodes. */
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

// Guards against lost or mixed-up headers and statuses, with one and with two
// hops.
Test(proxy_forward, forwards_request_and_response) {
  auto Upstream = standin::upstream_server(quickUpstream());
  auto Mesh = mesh(startAt(Upstream));
  for (const auto &Target : {Mesh.localTarget(), Mesh.remoteTarget()}) {
    Mesh.Script.Targets = {Target};
    auto Client = raw_client(Mesh.CallerPort);
    for (const auto *Token : {"a", "b", "c"}) {
      Client.send(plainRequest("/x?q=1", "x-token: " + std::string(Token) +
                                             "\r\nx-answer-status: 404\r\n"));
      auto Response = Client.readResponse();
      cr_assert_eq(statusOf(Response), 404);
      cr_assert_eq(headerOf(Response, "x-token"), Token);
    }
  }
  cr_assert_eq(Upstream.counters().Started, 6);
  cr_assert_eq(Mesh.attempts(6).size(), 6);
  cr_assert(Mesh.attempts(6).back().Outcome.Kind ==
            proxy::outcome_kind::Answered);
}

// Guards against requests of an HTTP library (keep-alive, compression headers,
// redirects, HEAD) that the proxy handles wrongly.
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

// Guards against a node that waits for a body after a 304 response with
// Content-Length.
Test(proxy_forward, forwards_304_with_a_content_length) {
  auto Fake = raw_server([](auto &Peer) {
    while (!Peer.readUntil("\r\n\r\n").empty()) {
      Peer.send("HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n");
    }
  });
  auto Mesh = mesh(Fake.address());
  auto Client = raw_client(Mesh.CallerPort);
  for (auto Round = 0; Round < 2; ++Round) {
    Client.send(plainRequest("/x"));
    auto Response = Client.readUntil("\r\n\r\n");
    cr_assert_eq(statusOf(Response), 304);
    cr_assert_eq(headerOf(Response, "content-length"), "5");
  }
  cr_assert_eq(Fake.Accepted, 1);
}

// Guards against bodies that are corrupted by chunking in either direction: the
// hashes of the bodies received by the upstream and by the caller must match
// those of the bodies sent.
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
    Mesh.Script.Targets = {*rc::gen::arbitrary<bool>() ? Mesh.localTarget()
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
    auto Response = Client.readResponse();
    RC_ASSERT(statusOf(Response) == 200);
    RC_ASSERT(headerOf(Response, "x-body-hash") ==
              std::to_string(hash64(Body)));
    RC_ASSERT(headerOf(Response, "x-answer-hash") ==
              std::to_string(hash64(bodyOf(Response))));
  }));
  cr_assert_eq(Upstream.counters().IncompleteBodies, 0);
}

// Guards against a missing 100 Continue, and against a large body that is read
// before the call is admitted.
Test(proxy_forward, continue_is_sent_once_the_body_is_needed) {
  auto Upstream = standin::upstream_server(quickUpstream());
  auto Mesh = mesh(startAt(Upstream));
  auto Head = plainRequest(
      "/x", "Expect: 100-continue\r\nContent-Length: 200000\r\n", "POST");
  auto Client = raw_client(Mesh.CallerPort);
  Client.send(Head);
  cr_assert_eq(Client.readUntil("\r\n\r\n"), "HTTP/1.1 100 Continue\r\n\r\n");
  auto Body = standin::answerBytes(200'000, 1);
  Client.send(Body);
  auto Response = Client.readResponse();
  cr_assert_eq(headerOf(Response, "x-body-hash"), std::to_string(hash64(Body)));
  Mesh.Script.Admit = false;
  auto Refused = raw_client(Mesh.CallerPort);
  Refused.send(Head);
  Response = Refused.readResponse();
  cr_assert_eq(statusOf(Response), 503);
  cr_assert_eq(headerOf(Response, "x-sycamore-outcome"), "not-run");
}

// Guards against a large upload that fails after one admission refusal although
// another node would accept it.
Test(proxy_forward, large_body_is_retried_after_a_refusal) {
  auto Upstream = standin::upstream_server(quickUpstream());
  auto Mesh = mesh(startAt(Upstream));
  auto Refusing = mesh("unused");
  Refusing.Script.Admit = false;
  Mesh.Script.Targets = {Refusing.remoteTarget(), Mesh.remoteTarget()};
  Mesh.Script.Route.MaxAttempts = 2;
  auto Body = standin::answerBytes(300'000, 2);
  auto Client = raw_client(Mesh.CallerPort);
  Client.send(plainRequest("/x", "Content-Length: 300000\r\n", "POST") + Body);
  auto Response = Client.readResponse();
  cr_assert_eq(headerOf(Response, "x-body-hash"), std::to_string(hash64(Body)));
  cr_assert_eq(Mesh.attempts(2).size(), 2);
  cr_assert(Mesh.attempts(2)[0].Outcome.Kind == proxy::outcome_kind::NotRun);
}

// Guards against internal headers forged by callers, and against hop-by-hop
// headers that reach the upstream.
Test(proxy_forward, internal_and_hop_by_hop_headers_are_removed) {
  auto ReceivedHead = std::string();
  auto Fake = raw_server([&](auto &Peer) {
    ReceivedHead = Peer.readUntil("\r\n\r\n");
    Peer.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  });
  auto Mesh = mesh(Fake.address());
  auto Client = raw_client(Mesh.CallerPort);
  Client.send(plainRequest("/x", "x-sycamore-auth: forged\r\n"
                                 "x-sycamore-priority: 9\r\n"
                                 "Connection: x-private\r\nx-private: 1\r\n"
                                 "Accept-Encoding: gzip\r\n"
                                 "x-sycamore-attempts: 3\r\n"));
  cr_assert_eq(statusOf(Client.readResponse()), 200);
  cr_assert(ReceivedHead.find("forged") == std::string::npos);
  cr_assert(ReceivedHead.find("x-private") == std::string::npos);
  cr_assert(ReceivedHead.find("x-sycamore-priority") == std::string::npos);
  cr_assert(ReceivedHead.find("Accept-Encoding: gzip\r\n") !=
            std::string::npos);
  cr_assert(ReceivedHead.find("x-sycamore-attempts: 3\r\n") !=
            std::string::npos);
  cr_assert(ReceivedHead.find("x-sycamore-deadline-ms: 199") !=
                std::string::npos,
            "%s", ReceivedHead.c_str());
}

// Guards against a peer port that forwards unauthenticated calls.
Test(proxy_forward, peer_port_needs_authentication) {
  auto Upstream = standin::upstream_server(quickUpstream());
  auto Mesh = mesh(startAt(Upstream));
  auto Client = raw_client(Mesh.PeerPort);
  Client.send(plainRequest("/x"));
  cr_assert_eq(statusOf(Client.readResponse()), 401);
  cr_assert_eq(Upstream.counters().Started, 0);
}

// Guards against a call that runs although its idempotency key was not claimed.
Test(proxy_forward, a_claimed_key_is_rejected_with_409) {
  auto Upstream = standin::upstream_server(quickUpstream());
  auto Mesh = mesh(startAt(Upstream));
  for (const auto &Target : {Mesh.localTarget(), Mesh.remoteTarget()}) {
    Mesh.Script.Targets = {Target};
    Mesh.Script.Claim = {proxy::claim_decision::kind::Held, true, 201, ""};
    auto Client = raw_client(Mesh.CallerPort);
    Client.send(plainRequest("/x", "Idempotency-Key: k\r\n"));
    auto Response = Client.readResponse();
    cr_assert_eq(statusOf(Response), 409);
    cr_assert_eq(headerOf(Response, "x-sycamore-outcome"), "completed");
    Mesh.Script.Claim = {proxy::claim_decision::kind::Refused, false, 0, "log"};
    Client.send(plainRequest("/x", "Idempotency-Key: k\r\n"));
    cr_assert_eq(headerOf(Client.readResponse(), "x-sycamore-outcome"),
                 "not-run");
  }
  cr_assert_eq(Upstream.counters().Started, 0);
  cr_assert_eq(Mesh.released(4).size(), 4);
}
