/** @file http_connection_test.cpp Tests of HTTP connections over loopback. */
#include "sycamorelb/http/client_connection.h"
#include "sycamorelb/http/server_connection.h"

#include "proxy/message_head.h"

#include <algorithm>
#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <functional>
#include <optional>
#include <set>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace sycamorelb;
using namespace sycamorelb::http;

/** Maximum duration of a test. */
static constexpr auto TestTimeout = micros(10'000'000);

/** @return the next candidate of a loopback address to listen on. */
static auto nextAddress() -> event::endpoint {
  static auto Next = std::uint16_t{28'400};
  return {"127.0.0.1", Next++};
}

/** Listens on the first free port. */
static auto listenOnFreePort(event::loop &Loop, event::endpoint &Address,
                             const event::listener::accept_callback &Accept)
    -> std::unique_ptr<event::listener> {
  for (;;) {
    Address = nextAddress();
    auto Opened = event::listener::open(Loop, Address, Accept);
    if (isOk(Opened)) {
      return std::move(valueOf(Opened));
    }
  }
}

/** Server that responds to each request with fixed bytes. */
struct raw_server {
  event::loop &Loop;
  std::string Answer;      ///< Bytes sent for each request.
  bool CloseAfter = false; ///< Closes the connection after them.
  event::endpoint Address{};
  std::set<std::shared_ptr<event::stream>> Streams{};
  std::unique_ptr<event::listener> Listener{};

  void start() {
    Listener = listenOnFreePort(
        Loop, Address, [this](const std::shared_ptr<event::stream> &Stream) {
          Streams.insert(Stream);
          auto *Raw = Stream.get();
          Stream->OnData = [this, Raw] {
            Raw->consume(Raw->input().size());
            Raw->send(Answer);
            if (CloseAfter) {
              Raw->close();
            }
          };
        });
  }
};

/** Sends a request on a connection and waits for its result. */
static auto waitForResult(event::loop &Loop, client_connection &Client)
    -> exchange_result {
  auto Request = http::request();
  Request.Method = "GET";
  Request.Target = "/";
  auto Result = std::optional<exchange_result>();
  Client.exchange(Request, [&](exchange_result Got) {
    Result = std::move(Got);
    Loop.stop();
  });
  Loop.addTimer(Loop.now() + TestTimeout, [&] { Loop.stop(); });
  Loop.run();
  cr_assert(Result.has_value(), "no result in time");
  return std::move(*Result);
}

/** Sends one request to a server with this answer and waits for the result. */
static auto exchangeOnce(const std::string &Answer, bool CloseAfter,
                         bool &Reusable) -> exchange_result {
  auto Loop = event::loop();
  auto Server = raw_server{Loop, Answer, CloseAfter};
  Server.start();
  auto Options = client_options();
  Options.MaxBodyBytes = 1000;
  auto Client = client_connection::open(Loop, Server.Address, Options);
  Client->setResponseMatcher([](const proxy::header_list &Headers) {
    auto Id = proxy::findHeader(Headers, "Request-Id");
    return !Id || *Id == "mine";
  });
  auto Result = waitForResult(Loop, *Client);
  Reusable = Client->isReusable();
  return Result;
}

static auto bodyOf(const exchange_result &Result) -> std::string {
  const auto *Response = std::get_if<response>(&Result);
  return Response == nullptr ? "(failed)" : Response->Body;
}

// Guards against delivering a late response to an earlier request as the
// response to this one.
Test(http_connection, late_answer_of_another_request_is_skipped) {
  auto Reusable = false;
  auto Result = exchangeOnce("HTTP/1.1 200 OK\r\nRequest-Id: other\r\n"
                             "Content-Length: 3\r\n\r\nold"
                             "HTTP/1.1 200 OK\r\nRequest-Id: mine\r\n"
                             "Content-Length: 3\r\n\r\nnew",
                             false, Reusable);
  cr_assert_str_eq(bodyOf(Result).c_str(), "new");
  cr_assert(Reusable);
}

// Guards against treating surplus bytes after a response as the next response.
Test(http_connection, bytes_after_an_answer_end_the_connection) {
  auto Reusable = true;
  auto Result = exchangeOnce("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
                             "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx",
                             false, Reusable);
  cr_assert_str_eq(bodyOf(Result).c_str(), "ok");
  cr_assert_not(Reusable);
}

// Guards against losing a response without length, which ends with the
// connection, and against accepting a truncated response as complete.
Test(http_connection, end_of_connection_ends_only_unframed_answers) {
  auto Reusable = true;
  auto Complete =
      exchangeOnce("HTTP/1.1 200 OK\r\n\r\nto the end", true, Reusable);
  cr_assert_str_eq(bodyOf(Complete).c_str(), "to the end");
  cr_assert_not(Reusable);
  auto Truncated = exchangeOnce(
      "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut", true, Reusable);
  const auto *Failure = std::get_if<exchange_failure>(&Truncated);
  cr_assert(Failure != nullptr && Failure->Connected &&
            Failure->ResponseStarted);
  auto Chunked = exchangeOnce("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked"
                              "\r\n\r\n3\r\nabc\r\n",
                              true, Reusable);
  cr_assert(std::holds_alternative<exchange_failure>(Chunked));
}

// Guards against a response that looks complete although the server closed the
// connection in the middle of its head.
Test(http_connection, response_cut_in_its_head_fails) {
  auto Whole = std::string("HTTP/1.1 200 OK\r\nRequest-Id: mine\r\n"
                           "Content-Length: 2\r\n\r\n");
  for (auto Size = std::size_t{1}; Size < Whole.size(); ++Size) {
    auto Reusable = true;
    auto Result = exchangeOnce(Whole.substr(0, Size), true, Reusable);
    cr_assert(std::holds_alternative<exchange_failure>(Result), "%zu bytes",
              Size);
    cr_assert_not(Reusable);
  }
}

// Guards against reading bytes that belong to no answer until the deadline.
Test(http_connection, endless_bytes_that_are_no_answer_fail) {
  auto Repeat = [](const std::string &Bytes) {
    auto Text = std::string();
    while (Text.size() < 2'000'000) {
      Text += Bytes;
    }
    return Text;
  };
  for (const auto &Text :
       {Repeat("HTTP/1.1 200 OK\r\n") + "x",
        Repeat("HTTP/1.1 100 Continue\r\n\r\n"),
        Repeat("HTTP/1.1 200 OK\r\nRequest-Id: other\r\n"
               "Content-Length: 3\r\n\r\nold"),
        "HTTP/1.1 200 OK\r\nRequest-Id: mine\r\n\r\n" + Repeat("endless"),
        "HTTP/1.1 200 OK\r\nRequest-Id: mine\r\n"
        "Transfer-Encoding: chunked\r\n\r\n" +
            Repeat("3\r\nabc\r\n")}) {
    auto Reusable = true;
    auto Result = exchangeOnce(Text, false, Reusable);
    cr_assert(std::holds_alternative<exchange_failure>(Result), "%s",
              Text.substr(0, 60).c_str());
    cr_assert_not(Reusable);
  }
}

/** Server that writes without end, as fast as it can, in a thread of its own.
 */
struct flood_server {
  /** Limit of what it writes, should the client keep all of it. */
  static constexpr auto MaxBytes = std::size_t{256} << 20U;

  event::endpoint Address{};
  int Descriptor = -1;
  std::thread Writer;

  explicit flood_server(const std::string &Start) {
    Descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    auto Bound = sockaddr_in();
    Bound.sin_family = AF_INET;
    Bound.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto Size = socklen_t{sizeof(Bound)};
    auto *Raw = reinterpret_cast<sockaddr *>(&Bound);
    cr_assert(::bind(Descriptor, Raw, Size) == 0 &&
              ::listen(Descriptor, 1) == 0 &&
              ::getsockname(Descriptor, Raw, &Size) == 0);
    Address = {"127.0.0.1", ntohs(Bound.sin_port)};
    Writer = std::thread([this, Start] {
      auto Caller = ::accept(Descriptor, nullptr, nullptr);
      auto Block = std::string(std::size_t{1} << 20U, 'x');
      auto Sent = ::send(Caller, Start.data(), Start.size(), MSG_NOSIGNAL);
      for (auto Total = std::size_t{0}; Sent >= 0 && Total < MaxBytes;) {
        Sent = ::send(Caller, Block.data(), Block.size(), MSG_NOSIGNAL);
        Total += static_cast<std::size_t>(std::max<ssize_t>(0, Sent));
      }
      ::close(Caller);
    });
  }
  ~flood_server() {
    Writer.join();
    ::close(Descriptor);
  }
  flood_server(const flood_server &) = delete;
  auto operator=(const flood_server &) -> flood_server & = delete;
};

// Guards against a reader that looks at bytes that are no answer only when no
// more are available, and keeps them all until then.
Test(http_connection, endless_bytes_are_looked_at_while_more_arrive) {
  for (const auto *Start :
       {"",
        "HTTP/1.1 200 OK\r\nX: ", "HTTP/1.1 200 OK\r\nRequest-Id: mine\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"}) {
    auto Loop = event::loop();
    auto Server = flood_server(Start);
    auto Options = client_options();
    Options.MaxBodyBytes = 1000;
    auto Client = client_connection::open(Loop, Server.Address, Options);
    // The kernel connects; the server fills its buffers meanwhile.
    std::this_thread::sleep_for(millis(100));
    auto Result = waitForResult(Loop, *Client);
    cr_assert(std::holds_alternative<exchange_failure>(Result));
    cr_assert_leq(Loop.receivedBytes(), std::uint64_t{1} << 20U,
                  "%llu bytes were read after \"%s\"",
                  static_cast<unsigned long long>(Loop.receivedBytes()), Start);
  }
}

// Guards against running out of memory when a server writes long bodies on many
// connections at once, and against a budget that isn't returned.
Test(http_connection, responses_share_a_budget) {
  auto Loop = event::loop();
  auto Head = std::string("HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n");
  auto Server = raw_server{Loop, Head + std::string(600, 'x')};
  Server.start();
  auto Options = client_options();
  Options.MaxBodyBytes = 1000;
  Options.Budget = std::make_shared<body_budget>(body_budget{1000, 0});
  auto Clients = std::vector<std::shared_ptr<client_connection>>();
  auto Failures = 0;
  for (auto Index = 0; Index < 2; ++Index) {
    auto Request = http::request();
    Request.Method = "GET";
    Request.Target = "/";
    Clients.push_back(client_connection::open(Loop, Server.Address, Options));
    Clients.back()->exchange(Request, [&](const exchange_result &Got) {
      Failures += std::holds_alternative<exchange_failure>(Got) ? 1 : 0;
      Loop.stop();
    });
  }
  Loop.addTimer(Loop.now() + TestTimeout, [&] { Loop.stop(); });
  Loop.run();
  cr_assert_eq(Failures, 1);
  cr_assert_eq(Options.Budget->UsedBytes, 600U);
  Clients.clear();
  cr_assert_eq(Options.Budget->UsedBytes, 0U);
}

// Guards against accepting malformed responses, and against reading too long
// ones without end.
Test(http_connection, malformed_and_too_long_answers_fail) {
  auto Reusable = true;
  for (const auto *Bytes :
       {"garbage\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
        "HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n"}) {
    auto Text = std::string(Bytes) + std::string(1500, 'x');
    auto Result = exchangeOnce(Text, true, Reusable);
    cr_assert(std::holds_alternative<exchange_failure>(Result), "%s", Bytes);
    cr_assert_not(Reusable);
  }
}

// Guards against treating a request as possibly executed although the
// connection was refused.
Test(http_connection, refused_connection_is_known_as_such) {
  auto Loop = event::loop();
  auto Client = client_connection::open(Loop, {"127.0.0.1", 1}, {});
  auto Result = waitForResult(Loop, *Client);
  cr_assert_not(std::get<exchange_failure>(Result).Connected);
}

// Guards against passing requests with ambiguous framing to the handler, and
// against mixing up the responses to pipelined requests.
Test(http_connection, server_reads_whole_requests_one_at_a_time) {
  auto Loop = event::loop();
  auto Address = event::endpoint();
  auto Seen = std::vector<std::string>();
  auto Server = std::shared_ptr<server_connection>();
  auto Listener = listenOnFreePort(
      Loop, Address, [&](std::shared_ptr<event::stream> Stream) {
        Server = server_connection::create(
            std::move(Stream), {},
            [&](const std::shared_ptr<server_connection> &Caller,
                exchange_number Exchange, const request &Request) {
              Seen.push_back(Request.Target + " " + Request.Body);
              Caller->respond(Exchange, {200, "", {}, Request.Target}, false);
            });
      });
  auto Client = event::stream::connect(Loop, Address, millis(1000));
  auto Got = std::string();
  Client->OnData = [&] {
    Got.append(Client->input());
    Client->consume(Client->input().size());
  };
  Client->OnClosed = [&](event::close_reason) { Loop.stop(); };
  Client->send("POST /1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
               "\r\n3\r\nabc\r\n0\r\n\r\n"
               "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n"
               "POST /3 HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
               "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
  Loop.addTimer(Loop.now() + TestTimeout, [&] { Loop.stop(); });
  Loop.run();
  cr_assert_eq(Seen.size(), 2U);
  cr_assert_str_eq(Seen[0].c_str(), "/1 abc");
  cr_assert_str_eq(Seen[1].c_str(), "/2 ");
  cr_assert(Got.find("/1") < Got.find("/2"));
  cr_assert(Got.find("400") != std::string::npos);
}

// Guards against a request that counts as sent before it is connected, and
// against one that is reported twice or not at all on a kept connection.
Test(http_connection, request_is_reported_as_sent_once) {
  auto Loop = event::loop();
  auto Server =
      raw_server{Loop, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"};
  Server.start();
  auto Client = client_connection::open(Loop, Server.Address, {});
  auto Request = http::request();
  Request.Method = "GET";
  Request.Target = "/";
  for (auto Round = 0; Round < 2; ++Round) {
    auto Sent = 0;
    auto SentBeforeResult = -1;
    Client->exchange(
        Request, [&](const exchange_result &) { SentBeforeResult = Sent; },
        [&Sent] { ++Sent; });
    cr_assert_eq(Sent, Round, "the first request waits for the connection");
    auto Until = Loop.now() + TestTimeout;
    while (SentBeforeResult < 0 && Loop.now() < Until) {
      Loop.runUntil(Loop.now() + micros(1'000));
    }
    cr_assert_eq(SentBeforeResult, 1);
    cr_assert_eq(Sent, 1);
  }
}
