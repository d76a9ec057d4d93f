/** @file proxy_server_test.cpp Tests of connection handling in the server. */
#include "proxy_fixture.h"

#include <criterion/criterion.h>

using namespace sycamorelb;
using namespace sycamorelb::proxy_test;

static auto startAt(standin::upstream_server &Upstream) -> std::string {
  return "127.0.0.1:" + std::to_string(valueOf(Upstream.start()));
}

// Guards against messages whose framing two parsers may interpret differently:
// each must be refused and its connection closed, and nothing may be forwarded.
Test(proxy_server, bad_framing_is_refused_before_forwarding) {
  auto Upstream = standin::upstream_server(quickUpstream());
  auto Mesh = mesh(startAt(Upstream));
  auto TooManyHeaders = std::string();
  for (auto Index = 0; Index < 200; ++Index) {
    TooManyHeaders += "h" + std::to_string(Index) + ": 1\r\n";
  }
  struct bad_request {
    std::string Bytes;
    int Status;
  };
  auto Post = [](const std::string &Headers, const std::string &Body = "") {
    return plainRequest("/x", Headers, "POST") + Body;
  };
  auto Cases = std::vector<bad_request>{
      {Post("Content-Length: 1\r\nContent-Length: 1\r\n", "a"), 400},
      {Post("Content-Length: 1, 1\r\n", "a"), 400},
      {Post("Content-Length: +1\r\n", "a"), 400},
      {Post("Content-Length: 1\r\nTransfer-Encoding: chunked\r\n", "a"), 400},
      {Post("Transfer-Encoding: chunked\r\n", "zz\r\n"), 400},
      {Post("Transfer-Encoding: chunked\r\n", "0x1\r\na\r\n0\r\n\r\n"), 400},
      {Post("Transfer-Encoding: chunked\r\n", "1\na\n0\n\n"), 400},
      {Post("Transfer-Encoding: chunked\r\n", "1\r\nab\r\n0\r\n\r\n"), 400},
      {Post("Transfer-Encoding: chunked\r\n", "ffffffffffffffff1\r\n"), 400},
      {Post("Transfer-Encoding: chunked\r\n", "80000000\r\n"), 413},
      {Post("Transfer-Encoding: gzip, chunked\r\n"), 501},
      {Post("Transfer-Encoding : chunked\r\n"), 400},
      {Post("Content-Length: 99999999999\r\n"), 413},
      {Post(" folded: 1\r\n"), 400},
      {Post("a: b\r\n c\r\n"), 400},
      {Post(TooManyHeaders), 431},
      {Post("long: " + std::string(100'000, 'x') + "\r\n"), 431},
      {"GET /x HTTP/1.1\nHost: test\n\n", 400},
      {"GET /x HTTP/1.1\r\n\r\n", 400},
      {"GET /x HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400},
      {"GET  /x HTTP/1.1\r\nHost: a\r\n\r\n", 400},
      {"GET /x HTTP/2.0\r\nHost: a\r\n\r\n", 505}};
  for (const auto &Case : Cases) {
    auto Client = raw_client(Mesh.CallerPort);
    Client.send(Case.Bytes);
    auto Response = Client.readAll();
    cr_assert_eq(statusOf(Response), Case.Status, "%.200s\n%s",
                 Case.Bytes.c_str(), Response.c_str());
    cr_assert_eq(headerOf(Response, "connection"), "close");
  }
  cr_assert_eq(Mesh.Entry->stats().Opened, 0);
  cr_assert_eq(Upstream.counters().Started, 0);
}

// Guards against idle and slow connections that occupy the workers.
Test(proxy_server, idle_connections_do_not_block_new_ones) {
  auto Upstream = standin::upstream_server(quickUpstream());
  auto Server = proxy::server_options();
  Server.Workers = 2;
  auto Mesh = mesh(startAt(Upstream), {}, Server);
  auto Idle = std::vector<std::unique_ptr<raw_client>>();
  for (auto Index = 0; Index < 300; ++Index) {
    Idle.push_back(std::make_unique<raw_client>(Mesh.CallerPort));
    auto Request = plainRequest("/x");
    // A third of them have completed a call, a third have sent half a head.
    if (Index % 3 == 0) {
      Idle.back()->send(Request);
      cr_assert_eq(statusOf(Idle.back()->readResponse()), 200);
    } else if (Index % 3 == 1) {
      Idle.back()->send(Request.substr(0, 20));
    }
  }
  auto Client = raw_client(Mesh.CallerPort);
  Client.send(plainRequest("/x"));
  cr_assert_eq(statusOf(Client.readResponse()), 200);
  cr_assert_eq(Mesh.Callers->stats().Connections, 301);
  Idle[1]->send(plainRequest("/x").substr(20));
  cr_assert_eq(statusOf(Idle[1]->readResponse()), 200);
}

// Guards against an unfinished head that keeps its connection open forever.
Test(proxy_server, unfinished_head_is_closed_at_its_deadline) {
  auto Server = proxy::server_options();
  Server.HeadTimeout = millis(100);
  auto Mesh = mesh("unused", {}, Server);
  auto Client = raw_client(Mesh.CallerPort);
  Client.send("GET /x HT");
  cr_assert_eq(Client.readAll(), "");
  cr_assert(eventually([&] { return Mesh.Callers->stats().Connections == 0; }));
}

// Guards against calls that wait without limit while all workers are busy.
Test(proxy_server, calls_beyond_the_workers_are_refused_as_not_run) {
  auto Options = quickUpstream();
  Options.Behaviour.ServiceMs = 60'000;
  auto Upstream = standin::upstream_server(Options);
  auto Server = proxy::server_options();
  Server.Workers = 2;
  auto Mesh = mesh(startAt(Upstream), {}, Server);
  Mesh.Script.Targets = {Mesh.localTarget()};
  auto First = raw_client(Mesh.CallerPort);
  auto Second = raw_client(Mesh.CallerPort);
  First.send(plainRequest("/x"));
  Second.send(plainRequest("/x"));
  cr_assert(eventually([&] { return Upstream.counters().Started == 2; }));
  auto Third = raw_client(Mesh.CallerPort);
  Third.send(plainRequest("/x"));
  auto Response = Third.readResponse();
  cr_assert_eq(statusOf(Response), 503);
  cr_assert_eq(headerOf(Response, "x-sycamore-outcome"), "not-run");
  First.close();
  Second.close();
  cr_assert(eventually([&] { return Upstream.counters().Cancelled == 2; }));
}

// Guards against a drain that breaks calls in progress or accepts new ones.
Test(proxy_server, drain_finishes_calls_and_refuses_new_ones) {
  auto Options = quickUpstream();
  Options.Behaviour.ServiceMs = 500;
  auto Upstream = standin::upstream_server(Options);
  auto Mesh = mesh(startAt(Upstream));
  auto KeptAlive = raw_client(Mesh.CallerPort);
  KeptAlive.send(plainRequest("/x"));
  cr_assert_eq(headerOf(KeptAlive.readResponse(), "connection"), "");
  auto InFlight = raw_client(Mesh.CallerPort);
  InFlight.send(plainRequest("/x"));
  cr_assert(eventually([&] { return Upstream.counters().Started == 2; }));
  Mesh.Callers->beginDrain();
  KeptAlive.send(plainRequest("/x"));
  auto Refused = KeptAlive.readAll();
  cr_assert_eq(statusOf(Refused), 503);
  cr_assert_eq(headerOf(Refused, "x-sycamore-outcome"), "not-run");
  cr_assert_eq(headerOf(Refused, "connection"), "close");
  cr_assert(Mesh.Callers->waitIdle(millis(20'000)));
  Mesh.Callers->stop();
  cr_assert_eq(statusOf(InFlight.readAll()), 200);
  cr_assert_eq(Upstream.counters().Completed, 2);
}

// Guards against pipelined requests that are lost or answered out of order.
Test(proxy_server, pipelined_requests_are_answered_in_order) {
  auto Upstream = standin::upstream_server(quickUpstream());
  auto Mesh = mesh(startAt(Upstream));
  auto Client = raw_client(Mesh.CallerPort);
  auto Requests = std::string();
  for (auto Index = 0; Index < 20; ++Index) {
    Requests +=
        plainRequest("/x",
                     "Content-Length: 3\r\nx-token: " + std::to_string(Index) +
                         "\r\n",
                     "POST") +
        "abc";
  }
  Client.send(Requests);
  for (auto Index = 0; Index < 20; ++Index) {
    cr_assert_eq(headerOf(Client.readResponse(), "x-token"),
                 std::to_string(Index));
  }
}

// Guards against local endpoints that lose request bodies or match other paths.
Test(proxy_server, local_endpoints_are_served_beside_calls) {
  auto Server = proxy::http_server({});
  Server.handle("PUT", "/announce", [](const auto &Request) {
    return proxy::local_response{201, "text/plain", Request.Body + "!", {}};
  });
  auto Port = valueOf(Server.start());
  auto Client = raw_client(Port);
  for (auto Round = 0; Round < 2; ++Round) {
    Client.send(
        plainRequest("/announce", "Transfer-Encoding: chunked\r\n", "PUT") +
        "2\r\nab\r\n1\r\nc\r\n0\r\n\r\n");
    auto Response = Client.readResponse();
    cr_assert_eq(statusOf(Response), 201);
    cr_assert_eq(bodyOf(Response), "abc!");
  }
  Client.send(plainRequest("/other"));
  cr_assert_eq(statusOf(Client.readResponse()), 404);
}

// Guards against two servers that silently share a port.
Test(proxy_server, a_port_in_use_is_an_error) {
  auto First = proxy::http_server({});
  auto Port = valueOf(First.start());
  auto Second = proxy::http_server({.Port = Port});
  cr_assert_not(isOk(Second.start()));
}
