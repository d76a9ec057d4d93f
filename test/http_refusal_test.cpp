/** @file http_refusal_test.cpp Tests of requests that are refused from their
 * head. */
#include "sycamorelb/http/server_connection.h"

#include <criterion/criterion.h>
#include <set>
#include <unistd.h>

using namespace sycamorelb;
using namespace sycamorelb::http;

/** Bytes of one connection, and what came of them. */
struct refusal_run {
  std::string Answer;                 ///< Bytes that the client received.
  std::vector<std::string> Delivered; ///< Paths that reached the handler.
  bool Closed = false;                ///< The server closed the connection.
};

/** Sends pieces on one connection to a server that refuses /no. */
static auto sendPieces(const std::vector<std::string> &Pieces) -> refusal_run {
  auto Loop = event::loop();
  auto Run = refusal_run();
  auto Servers = std::set<std::shared_ptr<server_connection>>();
  auto Process = static_cast<unsigned>(::getpid());
  auto Address = event::endpoint{"127." + std::to_string(Process / 250 % 250) +
                                     "." + std::to_string(Process % 250) + ".7",
                                 28'300};
  auto Listener = event::listener::open(
      Loop, Address, [&](std::shared_ptr<event::stream> Stream) {
        auto Options = server_options();
        Options.MayRunBeside = [](const request &) { return true; };
        Options.CheckHead =
            [](const request &Request) -> std::optional<response> {
          return Request.Path == "/no"
                     ? std::optional(response{401, "", {}, "no\n"})
                     : std::nullopt;
        };
        Servers.insert(server_connection::create(
            std::move(Stream), Options,
            [&](const auto &Caller, exchange_number Number, request Request) {
              Run.Delivered.push_back(Request.Path);
              Caller->respond(Number, {200, "", {}, Request.Body}, false);
            }));
      });
  cr_assert(isOk(Listener));
  auto Client = event::stream::connect(Loop, Address, millis(1000));
  Client->OnData = [&] {
    Run.Answer += Client->input();
    Client->consume(Client->input().size());
  };
  Client->OnClosed = [&](event::close_reason) { Run.Closed = true; };
  for (const auto &Piece : Pieces) {
    Loop.runUntil(Loop.now() + micros(30'000));
    Client->send(Piece);
  }
  Loop.runUntil(Loop.now() + micros(100'000));
  return Run;
}

static auto post(const std::string &Path, const std::string &Fields)
    -> std::string {
  return "POST " + Path + " HTTP/1.1\r\nHost: h\r\n" + Fields + "\r\n";
}

static auto count(const std::string &Text, const std::string &Word) -> int {
  auto Count = 0;
  for (auto At = Text.find(Word); At != std::string::npos;
       At = Text.find(Word, At + 1)) {
    ++Count;
  }
  return Count;
}

// Guards against a refused body that is taken for the next request, and against
// a connection that is lost by a small refused request.
Test(http_refusal, small_body_is_skipped) {
  auto Ok = post("/ok", "Content-Length: 2\r\n") + "hi";
  auto Run = sendPieces(
      {post("/no", "Content-Length: 9\r\n"), "GET / HT", "T" + Ok + Ok});
  cr_assert_eq(count(Run.Answer, "HTTP/1.1 401"), 1);
  cr_assert_eq(count(Run.Answer, "HTTP/1.1 200"), 2);
  cr_assert_eq(Run.Delivered.size(), 2U);
  cr_assert_not(Run.Closed);
}

// Guards against buffering the body of a refused call, and against bytes of it
// that are taken for a request.
Test(http_refusal, other_bodies_end_the_connection) {
  for (const auto *Fields :
       {"Content-Length: 65537\r\n", "Transfer-Encoding: chunked\r\n",
        "Content-Length: 9\r\nExpect: 100-continue\r\n"}) {
    auto Run = sendPieces({post("/no", Fields)});
    cr_assert_eq(count(Run.Answer, "HTTP/1.1 401"), 1, "%s", Fields);
    cr_assert_eq(count(Run.Answer, " 100 "), 0, "%s", Fields);
    cr_assert(Run.Closed, "%s", Fields);
    cr_assert(Run.Delivered.empty(), "%s", Fields);
  }
}
