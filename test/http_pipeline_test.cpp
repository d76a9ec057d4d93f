/** @file http_pipeline_test.cpp Tests of the order of pipelined requests and
 * responses, without and with a connection. */
#include "sycamorelb/event/loop.h"
#include "sycamorelb/http/pipeline_func.h"
#include "sycamorelb/http/server_connection.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <rapidcheck.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

using namespace sycamorelb;
using namespace sycamorelb::http;

/** Time for the bytes of a test to pass a socket pair. */
static constexpr auto SettleTime = micros(20'000);

static auto bodyResponse(const std::string &Body) -> response {
  return {200, "", {}, Body};
}

namespace {

/** Plays random requests and answers, and checks each step. */
struct pipeline_model {
  pipeline_limits Limits{4, 50};
  pipeline_budget Budget{80};
  pipeline Pipeline;
  std::vector<exchange_number> Open; // Begun and not answered.
  std::vector<exchange_number> Begun;
  std::vector<bool> Lone; // By number - 1: ran alone.
  std::size_t Sent = 0;
  bool Closed = false;
  bool ClosePending = false;

  void begin(bool RunsAlone, bool IsLast) {
    if (!mayReadNext(Pipeline, Limits, Budget) ||
        !mayBegin(Pipeline, RunsAlone)) {
      return;
    }
    RC_ASSERT(!Closed && !ClosePending);
    // Nothing runs beside a request that runs alone.
    auto Unsent = Begun.size() - Sent;
    auto IsLoneBeside = RunsAlone && Unsent > 0;
    RC_ASSERT(!IsLoneBeside);
    auto IsBesideLone = Unsent > 0 && Lone.back();
    RC_ASSERT(!IsBesideLone);
    RC_ASSERT(Unsent < Limits.MaxRequests);
    auto Number = beginExchange(Pipeline, Budget, "GET", RunsAlone, IsLast);
    Open.push_back(Number);
    Begun.push_back(Number);
    Lone.push_back(RunsAlone);
    ClosePending = ClosePending || IsLast;
  }

  void answer(std::size_t Index, bool Close) {
    if (Open.empty()) {
      return;
    }
    auto Number = Open[Index % Open.size()];
    std::erase(Open, Number);
    auto Body = std::to_string(Number.Value) + std::string(20, 'x');
    completeExchange(Pipeline, Budget, Number, bodyResponse(Body), Close);
    // A second answer to the same request is dropped.
    completeExchange(Pipeline, Budget, Number, bodyResponse("again"), false);
    ClosePending = ClosePending || Close;
    for (const auto &Ready : takeReady(Pipeline, Budget)) {
      RC_ASSERT(!Closed);
      auto Expected = Begun.at(Sent++);
      RC_ASSERT(Ready.Response.Body.starts_with(std::to_string(Expected.Value) +
                                                "x"));
      RC_ASSERT(std::count(Open.begin(), Open.end(), Expected) == 0);
      Closed = Ready.Close;
      RC_ASSERT(Closed == (ClosePending && Sent == Begun.size()));
    }
  }

  void check() {
    auto Held = std::size_t{0};
    for (const auto &Exchange : Pipeline.Exchanges) {
      Held += Exchange.Response ? Exchange.Response->Body.size() : 0;
    }
    RC_ASSERT(Pipeline.HeldBytes == Held);
    RC_ASSERT(Budget.HeldBytes == Held);
    RC_ASSERT(Pipeline.Exchanges.size() == Begun.size() - Sent);
    // An answered request waits only for an earlier one.
    auto IsReady = !Pipeline.Exchanges.empty() &&
                   Pipeline.Exchanges.front().Response.has_value();
    RC_ASSERT(!IsReady);
  }
};

/** Both ends of a connection; requests are answered by the test. */
struct connection_fixture {
  event::loop Loop;
  std::shared_ptr<event::stream> Client;
  std::shared_ptr<server_connection> Server;
  std::vector<std::pair<exchange_number, std::string>> Requests;
  std::string Got;
  bool ServerClosed = false;
  bool ClientClosed = false;
  std::shared_ptr<pipeline_budget> Budget = std::make_shared<pipeline_budget>();

  explicit connection_fixture(pipeline_limits Limits = {}) {
    int Ends[2] = {-1, -1};
    cr_assert_eq(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, Ends), 0);
    auto Options = server_options();
    Options.Limits.MaxBodyBytes = 1000;
    Options.Pipeline = Limits;
    Options.Budget = Budget;
    Options.MayRunBeside = [](const request &Request) {
      return Request.Method == "GET" || Request.Method == "HEAD";
    };
    Server = server_connection::create(
        event::stream::adopt(Loop, Ends[0]), Options,
        [this](const std::shared_ptr<server_connection> &,
               exchange_number Number, const request &Request) {
          Requests.emplace_back(Number, Request.Path + Request.Body);
        });
    Server->OnClosed = [this] { ServerClosed = true; };
    Client = event::stream::adopt(Loop, Ends[1]);
    Client->OnData = [this] {
      Got.append(Client->input());
      Client->consume(Client->input().size());
    };
    Client->OnClosed = [this](event::close_reason) { ClientClosed = true; };
  }

  void send(const std::string &Bytes) {
    Client->send(Bytes);
    settle();
  }
  void settle() { Loop.runUntil(Loop.now() + SettleTime); }
  /** Answers the request with the given index with its path. */
  void answer(std::size_t Index, bool Close = false) {
    auto [Number, Path] = Requests.at(Index);
    Server->respond(Number, bodyResponse(Path), Close);
    settle();
  }
  /** @return the bodies of all responses so far, and where it closes. */
  auto bodies() const -> std::string {
    auto Out = std::string();
    for (auto At = Got.find("\r\n\r\n"); At != std::string::npos;
         At = Got.find("\r\n\r\n", At + 4)) {
      auto Head = Got.substr(0, At);
      Head = Head.substr(Head.rfind("HTTP/1.1"));
      auto End = Got.find("HTTP/1.1", At);
      Out += Got.substr(At + 4, End == std::string::npos ? End : End - At - 4);
      Out += Head.find("close") == std::string::npos ? "" : "!";
    }
    return Out;
  }
};

auto get(const std::string &Path, const std::string &Extra = "")
    -> std::string {
  return "GET " + Path + " HTTP/1.1\r\nHost: h\r\n" + Extra + "\r\n";
}

auto post(const std::string &Path, const std::string &Body,
          const std::string &Extra = "") -> std::string {
  return "POST " + Path + " HTTP/1.1\r\nHost: h\r\nContent-Length: " +
         std::to_string(Body.size()) + "\r\n" + Extra + "\r\n" + Body;
}

} // namespace

// Guards against responses out of order, requests beside one that runs alone, a
// close with requests in progress, and a wrong count of bytes on hold.
Test(http_pipeline, responses_keep_the_order_of_requests) {
  cr_assert(rc::check("pipeline", [] {
    auto Model = pipeline_model();
    auto Steps = *rc::gen::inRange(1, 60);
    for (auto Step = 0; Step < Steps; ++Step) {
      if (*rc::gen::inRange(0, 2) == 0) {
        Model.begin(*rc::gen::inRange(0, 5) == 0,
                    *rc::gen::inRange(0, 20) == 0);
      } else {
        Model.answer(*rc::gen::inRange<std::size_t>(0, 8),
                     *rc::gen::inRange(0, 20) == 0);
      }
      Model.check();
    }
    clearPipeline(Model.Pipeline, Model.Budget);
    RC_ASSERT(Model.Budget.HeldBytes == 0U);
  }));
}

// Guards against a budget of the process that stops a connection for good.
Test(http_pipeline, full_budget_leaves_one_request_for_each_connection) {
  auto Budget = pipeline_budget{10};
  Budget.HeldBytes = 10;
  auto Pipeline = pipeline();
  cr_assert(mayReadNext(Pipeline, {}, Budget));
  beginExchange(Pipeline, Budget, "GET", false, false);
  cr_assert_not(mayReadNext(Pipeline, {}, Budget));
}

// Regression test: a request sent behind others began only after they were
// answered, so that a caller's connection ran at the pace of one request.
Test(http_pipeline, idempotent_requests_run_side_by_side) {
  auto Test = connection_fixture();
  Test.send(get("/1") + get("/2") + get("/3"));
  cr_assert_eq(Test.Requests.size(), 3U);
  Test.answer(2);
  Test.answer(1);
  cr_assert_str_eq(Test.bodies().c_str(), "");
  cr_assert_eq(Test.Budget->HeldBytes, 4U);
  Test.answer(0);
  cr_assert_str_eq(Test.bodies().c_str(), "/1/2/3");
  cr_assert_eq(Test.Budget->HeldBytes, 0U);
  cr_assert_eq(Test.Budget->HeldResponses, 2U);
  cr_assert_eq(Test.Budget->Pipelined, 2U);
}

// Guards against running a request that may not be repeated beside others: if
// one of those closes the connection, the caller sends it again.
Test(http_pipeline, other_requests_wait_and_hold_back_those_behind) {
  auto Test = connection_fixture();
  Test.send(get("/1") + post("/2", "b") + get("/3"));
  cr_assert_eq(Test.Requests.size(), 1U);
  Test.answer(0);
  cr_assert_eq(Test.Requests.size(), 2U);
  Test.answer(1);
  cr_assert_eq(Test.Requests.size(), 3U);
  Test.answer(2);
  cr_assert_str_eq(Test.bodies().c_str(), "/1/2b/3");
}

// Guards against passing on requests behind an answer that closes the
// connection, and against closing it while requests are in progress.
Test(http_pipeline, closing_answers_end_the_connection_after_the_last_one) {
  auto Test = connection_fixture();
  Test.send(get("/1") + get("/2"));
  Test.answer(0, true);
  cr_assert_str_eq(Test.bodies().c_str(), "/1");
  Test.send(get("/3"));
  cr_assert_eq(Test.Requests.size(), 2U);
  cr_assert_not(Test.ServerClosed);
  Test.answer(1);
  cr_assert_str_eq(Test.bodies().c_str(), "/1/2!");
  cr_assert(Test.ServerClosed && Test.ClientClosed);
  auto Asked = connection_fixture();
  Asked.send(get("/1") + get("/2", "Connection: close\r\n") + get("/3"));
  cr_assert_eq(Asked.Requests.size(), 2U);
  Asked.answer(1);
  Asked.answer(0);
  cr_assert_str_eq(Asked.bodies().c_str(), "/1/2!");
}

// Guards against an error response that overtakes those to the requests before.
Test(http_pipeline, framing_fault_is_answered_in_order) {
  for (const auto &Fault : {std::string("no request\r\n\r\n"),
                            post("/x", "ab", "Content-Length: 1\r\n"),
                            post("/x", std::string(1001, 'x'))}) {
    auto Test = connection_fixture();
    Test.send(get("/1") + Fault + get("/2"));
    cr_assert_eq(Test.Requests.size(), 1U);
    cr_assert_str_eq(Test.bodies().c_str(), "");
    Test.answer(0);
    auto Got = Test.bodies();
    cr_assert(Got.starts_with("/1") && Got.ends_with("!"), "%s", Got.c_str());
    cr_assert(Test.ServerClosed);
    cr_assert_eq(Test.Requests.size(), 1U);
  }
}

// Guards against an interim response between the responses to other requests.
Test(http_pipeline, continue_waits_for_earlier_responses) {
  auto Test = connection_fixture();
  auto Head = std::string("POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
                          "Expect: 100-continue\r\n\r\n");
  Test.send(get("/1") + Head);
  cr_assert_eq(Test.Got.find("100 Continue"), std::string::npos);
  Test.answer(0);
  cr_assert_neq(Test.Got.find("/1HTTP/1.1 100 Continue"), std::string::npos);
  Test.send("b");
  cr_assert_eq(Test.Requests.size(), 2U);
}

// Guards against a response to HEAD that is taken for the start of the next.
Test(http_pipeline, responses_without_body_keep_the_order) {
  auto Test = connection_fixture();
  Test.send("HEAD /1 HTTP/1.1\r\nHost: h\r\n\r\n" + get("/2"));
  Test.answer(1);
  Test.answer(0);
  cr_assert_str_eq(Test.bodies().c_str(), "/2");
}

// Guards against unbounded requests and responses of one connection; beyond the
// limits reading pauses, and nothing is lost.
Test(http_pipeline, limits_pause_reading) {
  auto Test = connection_fixture({2, 3});
  Test.send(get("/1") + get("/2") + get("/3") + get("/4"));
  cr_assert_eq(Test.Requests.size(), 2U);
  Test.answer(0);
  cr_assert_eq(Test.Requests.size(), 3U);
  Test.answer(2); // Holds two bytes.
  Test.answer(1);
  cr_assert_eq(Test.Requests.size(), 4U);
  Test.answer(3);
  cr_assert_str_eq(Test.bodies().c_str(), "/1/2/3/4");
}

// Guards against answers on a connection whose caller has left, and against
// bytes on hold that are never returned to the budget.
Test(http_pipeline, caller_that_leaves_ends_all_requests) {
  auto Test = connection_fixture();
  Test.send(get("/1") + get("/2") + get("/3"));
  Test.answer(1);
  cr_assert_eq(Test.Budget->HeldBytes, 2U);
  Test.Client->close();
  Test.settle();
  cr_assert(Test.ServerClosed);
  cr_assert_eq(Test.Budget->HeldBytes, 0U);
  Test.answer(0);
  Test.answer(2);
  cr_assert_not(Test.Server->isBusy());
}

// Guards against a connection that counts as reading since its last response,
// and is closed in the middle of a request that came after a long idle time.
Test(http_pipeline, reading_begins_with_the_first_byte) {
  auto Test = connection_fixture();
  auto Created = Test.Server->stateChangedAt();
  Test.settle();
  Test.send("GET ");
  cr_assert(Test.Server->isReading());
  cr_assert_gt((Test.Server->stateChangedAt() - Created).count(), 0);
}
