/** @file http_early_answer_test.cpp Answers that come before the request was
 * written, and answers that are none. */
#include "proxy_fixture.h"

#include "proxy/message_head.h"
#include "sycamorelb/http/client_connection.h"

#include <chrono>
#include <criterion/criterion.h>
#include <optional>
#include <sys/socket.h>
#include <thread>

using namespace sycamorelb;
using namespace sycamorelb::proxy_test;

/** Longer than what the buffers of both sockets hold. */
static constexpr auto UploadBytes = std::size_t{32} << 20U;

/** Response head that leaves the end of the body to the end of the connection.
 */
static constexpr auto HeadWithoutLength = "HTTP/1.1 200 OK\r\n\r\n";

/** How a server ends a connection after a part of its answer. */
enum class ending : std::uint8_t {
  Reset,       ///< A reset at once.
  LateReset,   ///< A reset after the client has read what was sent.
  EndThenReset ///< The end of the stream, then a reset.
};

static constexpr auto Endings =
    std::array{ending::Reset, ending::LateReset, ending::EndThenReset};

/** Resets a connection and keeps its descriptor. */
static void resetConnection(int Fd) {
  auto Linger = linger{1, 0};
  ::setsockopt(Fd, SOL_SOCKET, SO_LINGER, &Linger, sizeof(Linger));
  auto Address = sockaddr();
  Address.sa_family = AF_UNSPEC;
  static_cast<void>(::connect(Fd, &Address, sizeof(Address)));
}

static void endConnection(int Fd, ending Ending) {
  if (Ending == ending::EndThenReset) {
    ::shutdown(Fd, SHUT_WR);
  }
  if (Ending != ending::Reset) {
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
  resetConnection(Fd);
}

/** Uploads to a server on one connection.
 * @param Exchanges number of requests; the body is sent with the last one.
 * @return the last result. */
static auto upload(const raw_server &Server, int Exchanges)
    -> http::exchange_result {
  auto Loop = event::loop();
  auto Options = http::client_options();
  Options.MaxBodyBytes = 1'000;
  auto Client =
      http::client_connection::open(Loop, {"127.0.0.1", Server.Port}, Options);
  auto Result = std::optional<http::exchange_result>();
  for (auto Left = Exchanges; Left > 0; --Left) {
    auto Request = http::request{"POST", "/", "/", {}, "", true};
    Request.Body.assign(Left == 1 ? UploadBytes : 1, 'x');
    Result.reset();
    Client->exchange(
        Request, [&](http::exchange_result Got) { Result = std::move(Got); });
    auto Deadline = Loop.now() + micros(20'000'000);
    while (!Result && Loop.now() < Deadline) {
      Loop.runUntil(Loop.now() + micros(10'000));
    }
    cr_assert(Result.has_value());
  }
  return *Result;
}

// Guards against the part of an answer without length that arrived before a
// reset being taken for the whole answer, because the request was still being
// written and the write got the error of the connection.
Test(http_early_answer, reset_during_an_upload_leaves_the_answer_incomplete) {
  for (auto Ending : Endings) {
    for (auto Exchanges : {1, 2}) {
      auto Server = raw_server([&](raw_server::peer &Peer) {
        for (auto Left = Exchanges; Left > 1; --Left) {
          Peer.readUntil("\r\n\r\nx");
          Peer.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        }
        Peer.readUntil("\r\n\r\n");
        Peer.send(HeadWithoutLength + std::string("part"));
        endConnection(Peer.Fd, Ending);
      });
      auto Result = upload(Server, Exchanges);
      cr_assert(std::holds_alternative<http::exchange_failure>(Result),
                "ending %d, %d exchanges", static_cast<int>(Ending), Exchanges);
    }
  }
}

// Guards against the same in the program `node`, and on its link between nodes:
// the caller must not see a complete response.
Test(http_early_answer, caller_of_an_upload_sees_that_the_answer_is_cut) {
  for (auto Ending : Endings) {
    auto Server = raw_server([Ending](raw_server::peer &Peer) {
      Peer.readUntil("\r\n\r\n");
      Peer.send(HeadWithoutLength + std::string("part"));
      endConnection(Peer.Fd, Ending);
    });
    auto Mesh = mesh(Server.address());
    for (const auto &Target : {Mesh.localTarget(), Mesh.remoteTarget()}) {
      Mesh.Script.Targets = {Target};
      auto Client = raw_client(Mesh.CallerPort);
      Client.send(plainRequest("/x", "Content-Length: 100000000\r\n", "POST"));
      auto Writer = std::thread([&Client] {
        auto Piece = std::string(1 << 20U, 'x');
        for (auto Left = 40; Left > 0 && Client.send(Piece); --Left) {
        }
      });
      auto Response = Client.readAll();
      Writer.join();
      auto IsComplete =
          statusOf(Response) == 200 && Response.ends_with("\r\n0\r\n\r\n");
      cr_assert_not(IsComplete, "ending %d: %s", static_cast<int>(Ending),
                    Response.c_str());
    }
  }
}

// Guards against a response with an impossible status that reaches the caller.
Test(http_early_answer, impossible_statuses_are_no_answers) {
  for (const auto *Status : {"000", "001", "099", "600", "999", "2000", "20",
                             "-20", "2 0", "2x0", ""}) {
    auto Head =
        "HTTP/1.1 " + std::string(Status) + " Odd\r\nContent-Length: 2\r\n\r\n";
    auto Parsed = proxy::parseResponseHead(Head, "GET");
    cr_assert(std::holds_alternative<proxy::framing_error>(Parsed), "%s",
              Status);
    auto Server = raw_server([Head](raw_server::peer &Peer) {
      Peer.readUntil("\r\n\r\n");
      Peer.send(Head + "ok");
      Peer.awaitClose();
    });
    auto Mesh = mesh(Server.address());
    for (const auto &Target : {Mesh.localTarget(), Mesh.remoteTarget()}) {
      Mesh.Script.Targets = {Target};
      auto Client = raw_client(Mesh.CallerPort);
      Client.send(plainRequest("/x"));
      cr_assert_eq(statusOf(Client.readResponse()), 502, "%s", Status);
    }
  }
}
