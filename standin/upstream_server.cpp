/** @file upstream_server.cpp HTTP server of the upstream stand-in. */
#include "upstream_server.h"

#include "proxy/exchange.h"
#include "sycamorelb/core/clock_func.h"
#include "sycamorelb/proxy/http_server.h"

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <deque>
#include <httplib.h>
#include <map>
#include <mutex>
#include <poll.h>
#include <set>
#include <sys/socket.h>
#include <thread>
#include <utility>
#include <xxhash.h>

namespace sycamorelb::standin {

using proxy::exchange;
using proxy::findHeader;
using proxy::header_list;

/** Load at a past time, for delayed load reports. */
struct load_sample {
  steady_time At;         ///< Time of the sample.
  std::uint32_t InFlight; ///< Calls in progress.
  double Warmth;          ///< Warmth of the host.
};

/** Digest of a received request body. */
struct received_body {
  std::uint64_t Hash = 0; ///< xxHash3 of the body.
  std::uint64_t Size = 0; ///< Size in bytes.
  bool Complete = false;  ///< Whether it arrived in full.
};

struct upstream_server::implementation {
  explicit implementation(upstream_options Options);

  void serveCall(exchange &Exchange);
  void runCall(exchange &Exchange, const received_body &Body,
               const call_plan &Plan);
  auto waitForSlot(exchange &Exchange) -> bool;
  void answer(exchange &Exchange, const received_body &Body);
  void countExecution(const header_list &Headers);
  auto isFrozen(int Fd) -> bool;
  auto reportLoad() -> nlohmann::json;
  auto reportCounters() -> nlohmann::json;
  auto control(const nlohmann::json &Change) -> std::string;
  void announceLoop();
  auto endAnnouncements() -> bool;
  void announce(bool Leaving);
  void registerEndpoints();

  upstream_options Options;
  proxy::http_server Server;
  std::uint16_t Port = 0;
  mutable std::mutex Mutex; ///< Guards the members below up to Stopping.
  std::condition_variable Changed;
  upstream_behaviour Behaviour;
  upstream_state State;
  std::uint32_t RunningCalls = 0;
  upstream_counters Counters;
  std::map<std::string, std::uint64_t> TokenExecutions;
  std::map<std::string, std::uint64_t> KeyExecutions;
  std::set<std::uint64_t> SeenConnections; ///< Connections, by socket cookie.
  std::set<std::uint64_t>
      FrozenConnections; ///< Connections whose calls get no answer.
  std::deque<load_sample> Samples;
  bool Stopping = false;
  std::thread Announcer;
};

auto answerBytes(std::size_t Size, std::uint64_t Seed) -> std::string {
  auto Bytes = std::string(Size, '\0');
  auto Value = Seed * 2862933555777941757ULL + 3037000493ULL;
  for (auto &Byte : Bytes) {
    Value = Value * 6364136223846793005ULL + 1442695040888963407ULL;
    Byte = static_cast<char>(Value >> 56U);
  }
  return Bytes;
}

/** Waits for Duration, or until the caller disconnects. @return whether the
 * caller is still connected. */
static auto waitWhileCallerConnected(int Fd, micros Duration) -> bool {
  auto Polled = pollfd{Fd, POLLRDHUP, 0};
  auto Seconds = std::chrono::duration_cast<std::chrono::seconds>(Duration);
  auto Time = timespec{Seconds.count(), (Duration - Seconds).count() * 1000};
  return ::ppoll(&Polled, 1, &Time, nullptr) == 0;
}

static auto workerCount(const upstream_options &Options) -> std::uint32_t {
  return std::max(16U, Options.Connections);
}

upstream_server::implementation::implementation(upstream_options InitialOptions)
    : Options(std::move(InitialOptions)),
      Server({.Host = Options.Host,
              .Port = Options.Port,
              .Workers = workerCount(Options),
              .MaxConnections = Options.Connections + 16}),
      Behaviour(Options.Behaviour) {
  State.WarmthUpdatedAt = steadyNow();
  State.BehaviourChangedAt = State.WarmthUpdatedAt;
  State.Warmth = Behaviour.WarmMs <= 0 ? 1 : 0;
  registerEndpoints();
}

void upstream_server::implementation::registerEndpoints() {
  auto Json = [](const nlohmann::json &Value, int Status = 200) {
    return proxy::local_response{Status, "application/json", Value.dump(), {}};
  };
  Server.handle("POST", "/control", [=, this](const auto &Request) {
    auto Change = nlohmann::json::parse(Request.Body, nullptr, false);
    auto Error = Change.is_object() ? control(Change) : "not a JSON object";
    return Json({{"error", Error}}, Error.empty() ? 200 : 400);
  });
  Server.handle("GET", "/control/counters",
                [=, this](const auto &) { return Json(reportCounters()); });
  Server.handle("GET", "/load",
                [=, this](const auto &) { return Json(reportLoad()); });
  Server.handle("GET", "/health", [=, this](const auto &) {
    auto Load = reportLoad();
    auto IsHealthy = Load["healthy"].template get<bool>();
    return Json({{"healthy", IsHealthy}}, IsHealthy ? 200 : 503);
  });
  Server.handleCalls([this](exchange &Exchange) { serveCall(Exchange); });
}

static auto receiveBody(exchange &Exchange) -> received_body {
  constexpr auto BodyTimeout = std::chrono::minutes(10);
  auto Body = received_body();
  auto Hasher = std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)>(
      XXH3_createState(), &XXH3_freeState);
  XXH3_64bits_reset(Hasher.get());
  auto Piece = std::string_view();
  auto Status = proxy::body_status::Piece;
  while (Status == proxy::body_status::Piece) {
    Status = Exchange.readBody({.Deadline = steadyNow() + BodyTimeout}, Piece);
    if (Status == proxy::body_status::Piece) {
      XXH3_64bits_update(Hasher.get(), Piece.data(), Piece.size());
      Body.Size += Piece.size();
    }
  }
  Body.Hash = XXH3_64bits_digest(Hasher.get());
  Body.Complete = Status == proxy::body_status::End;
  return Body;
}

auto upstream_server::implementation::isFrozen(int Fd) -> bool {
  auto Cookie = std::uint64_t{0};
  auto Size = socklen_t{sizeof(Cookie)};
  ::getsockopt(Fd, SOL_SOCKET, SO_COOKIE, &Cookie, &Size);
  auto Lock = std::lock_guard(Mutex);
  SeenConnections.insert(Cookie);
  return FrozenConnections.contains(Cookie);
}

void upstream_server::implementation::serveCall(exchange &Exchange) {
  if (isFrozen(Exchange.callerFd())) {
    waitWhileCallerConnected(Exchange.callerFd(), std::chrono::hours(1));
    Exchange.abort();
    return;
  }
  auto Body = receiveBody(Exchange);
  auto Lock = std::unique_lock(Mutex);
  if (!Body.Complete) {
    ++Counters.IncompleteBodies;
    Exchange.abort();
    return;
  }
  ++State.InFlight;
  Counters.MaxInFlight =
      std::max<std::uint64_t>(Counters.MaxInFlight, State.InFlight);
  auto Now = steadyNow();
  auto Plan = planCall(Behaviour, State, Exchange.head().Path, Now);
  Samples.push_back({Now, State.InFlight, State.Warmth});
  if (Samples.size() > 4096) {
    Samples.pop_front();
  }
  Lock.unlock();
  if (Plan.Kind == call_plan::kind::Shed) {
    Exchange.respond(503, {{"x-sycamore-outcome", "not-run"}}, "overloaded\n");
  } else if (waitForSlot(Exchange)) {
    runCall(Exchange, Body, Plan);
  } else {
    Exchange.abort();
  }
  Lock.lock();
  Counters.Shed += Plan.Kind == call_plan::kind::Shed ? 1 : 0;
  --State.InFlight;
}

auto upstream_server::implementation::waitForSlot(exchange &Exchange) -> bool {
  auto Lock = std::unique_lock(Mutex);
  while (RunningCalls >= Behaviour.Slots) {
    // A condition variable cannot wait for the connection too, so it is polled
    // for a disconnect.
    Changed.wait_for(Lock, std::chrono::milliseconds(5));
    if (!waitWhileCallerConnected(Exchange.callerFd(), micros(0))) {
      ++Counters.Cancelled;
      return false;
    }
  }
  ++RunningCalls;
  ++Counters.Started;
  countExecution(Exchange.head().Headers);
  return true;
}

void upstream_server::implementation::countExecution(
    const header_list &Headers) {
  if (auto Token = findHeader(Headers, "x-token")) {
    Counters.RepeatedTokens +=
        ++TokenExecutions[std::string(*Token)] == 2 ? 1 : 0;
  }
  if (auto Key = findHeader(Headers, "idempotency-key")) {
    Counters.RepeatedKeys += ++KeyExecutions[std::string(*Key)] == 2 ? 1 : 0;
  }
}

void upstream_server::implementation::runCall(exchange &Exchange,
                                              const received_body &Body,
                                              const call_plan &Plan) {
  auto CallerConnected =
      waitWhileCallerConnected(Exchange.callerFd(), Plan.Duration);
  {
    auto Lock = std::lock_guard(Mutex);
    --RunningCalls;
    Changed.notify_one();
    onCallCompleted(Behaviour, State, steadyNow());
    Counters.Cancelled += CallerConnected ? 0 : 1;
  }
  if (!CallerConnected) {
    Exchange.abort();
    return;
  }
  if (Plan.Kind == call_plan::kind::Fail) {
    auto Lock = std::unique_lock(Mutex);
    ++Counters.Failed;
    auto Status = Behaviour.FailStatus;
    Lock.unlock();
    Exchange.respond(Status, {}, "failed as commanded\n");
    return;
  }
  answer(Exchange, Body);
  auto Lock = std::lock_guard(Mutex);
  Counters.Completed += Exchange.end() != proxy::exchange_end::Abort ? 1 : 0;
}

/** @return the value of a numeric header, or Default if it is absent or
 * malformed. */
static auto headerNumber(const header_list &Headers, std::string_view Name,
                         std::uint64_t Default) -> std::uint64_t {
  auto Value = findHeader(Headers, Name);
  return Value ? proxy::parseDecimal(*Value).value_or(Default) : Default;
}

void upstream_server::implementation::answer(exchange &Exchange,
                                             const received_body &Body) {
  const auto &Head = Exchange.head();
  auto Lock = std::unique_lock(Mutex);
  auto Current = Behaviour;
  Lock.unlock();
  auto Token = std::string(findHeader(Head.Headers, "x-token").value_or(""));
  auto Size = headerNumber(Head.Headers, "x-answer-bytes", 2);
  auto Status =
      static_cast<int>(headerNumber(Head.Headers, "x-answer-status", 200));
  auto Content = answerBytes(Size, XXH3_64bits(Token.data(), Token.size()));
  auto Headers = header_list{
      {"x-token", Token},
      {"x-version", Options.Version},
      {"x-body-hash", std::to_string(Body.Hash)},
      {"x-body-bytes", std::to_string(Body.Size)},
      {"x-answer-hash",
       std::to_string(XXH3_64bits(Content.data(), Content.size()))}};
  auto Kind = Current.AnswerChunks > 0 ? proxy::body_kind::Chunked
                                       : proxy::body_kind::Length;
  if (Status == 204 || Status == 304) {
    Kind = proxy::body_kind::None;
  }
  Exchange.beginResponse(Status, proxy::reasonPhrase(Status), Headers,
                         {Kind, Content.size()});
  auto Deadline = steadyNow() + std::chrono::minutes(10);
  auto HasBody = Head.Method != "HEAD" && Kind != proxy::body_kind::None;
  auto Pieces = std::max<std::size_t>(1, Current.AnswerChunks);
  auto Rest = std::string_view(Content);
  for (auto Piece = std::size_t{0}; HasBody && Piece < Pieces; ++Piece) {
    auto Part = Piece + 1 == Pieces ? Rest.size() : Content.size() / Pieces;
    Part -= Current.TruncateAnswer && Piece + 1 == Pieces ? Part / 2 + 1 : 0;
    Exchange.writeResponseBody(Rest.substr(0, Part), Deadline);
    Rest.remove_prefix(Part);
    if (Current.ChunkPauseMs > 0) {
      auto Pause = static_cast<std::int64_t>(Current.ChunkPauseMs * 1000);
      if (!Exchange.flush(Deadline) ||
          !waitWhileCallerConnected(Exchange.callerFd(), micros(Pause))) {
        Exchange.abort();
        return;
      }
    }
  }
  if (Current.TruncateAnswer) {
    Exchange.flush(Deadline);
    Exchange.closeTruncated();
    return;
  }
  Exchange.finishResponse(Deadline);
}

auto upstream_server::implementation::reportLoad() -> nlohmann::json {
  auto Lock = std::lock_guard(Mutex);
  auto Until = steadyNow() - millis(Behaviour.ReportLagMs);
  auto InFlight = Behaviour.ReportLagMs > 0 ? 0 : State.InFlight;
  auto Warmth = State.Warmth;
  for (const auto &Sample : Samples) {
    if (Behaviour.ReportLagMs > 0 && Sample.At <= Until) {
      InFlight = Sample.InFlight;
      Warmth = Sample.Warmth;
    }
  }
  if (Behaviour.ReportMislead) {
    InFlight = 0;
    Warmth = 1;
  }
  return {{"in_flight", InFlight},
          {"slots", Behaviour.Slots},
          {"connections", Options.Connections},
          {"warm", Warmth >= 1},
          {"healthy", Behaviour.ReportMislead || Behaviour.FailRatio < 0.5}};
}

auto upstream_server::implementation::reportCounters() -> nlohmann::json {
  auto Lock = std::lock_guard(Mutex);
  return {{"started", Counters.Started},
          {"completed", Counters.Completed},
          {"cancelled", Counters.Cancelled},
          {"failed", Counters.Failed},
          {"shed", Counters.Shed},
          {"max_in_flight", Counters.MaxInFlight},
          {"tokens", TokenExecutions.size()},
          {"doubled", Counters.RepeatedTokens},
          {"doubled_keys", Counters.RepeatedKeys},
          {"bad_bodies", Counters.IncompleteBodies}};
}

auto upstream_server::implementation::control(const nlohmann::json &Change)
    -> std::string {
  auto Rest = Change;
  auto Cold = Rest.value("cold", false);
  auto Freeze = Rest.value("freeze", false);
  Rest.erase("cold");
  Rest.erase("freeze");
  auto Lock = std::lock_guard(Mutex);
  auto Error = changeBehaviour(Behaviour, Rest);
  if (!Error.empty()) {
    return Error;
  }
  State.BehaviourChangedAt = steadyNow();
  if (Cold) {
    State.Warmth = 0;
    State.WarmthUpdatedAt = State.BehaviourChangedAt;
  }
  if (Freeze) {
    FrozenConnections = SeenConnections;
  }
  Changed.notify_all();
  return "";
}

void upstream_server::implementation::announce(bool Leaving) {
  auto Client = httplib::Client(Options.Announce);
  Client.set_connection_timeout(0, 500'000);
  Client.set_read_timeout(1, 0);
  Client.set_tcp_nodelay(true);
  auto Lock = std::unique_lock(Mutex);
  auto Text =
      nlohmann::json{{"service", Options.Service},
                     {"version", Options.Version},
                     {"address", Options.Host + ":" + std::to_string(Port)},
                     {"slots", Behaviour.Slots},
                     {"connections", Options.Connections}}
          .dump();
  Lock.unlock();
  if (Leaving) {
    Client.Delete("/announce", Text, "application/json");
  } else {
    Client.Put("/announce", Text, "application/json");
  }
}

void upstream_server::implementation::announceLoop() {
  auto Lock = std::unique_lock(Mutex);
  while (!Stopping) {
    Lock.unlock();
    announce(false);
    Lock.lock();
    Changed.wait_for(Lock, std::chrono::seconds(1),
                     [this] { return Stopping; });
  }
}

auto upstream_server::implementation::endAnnouncements() -> bool {
  {
    auto Lock = std::lock_guard(Mutex);
    Stopping = true;
    Changed.notify_all();
  }
  if (!Announcer.joinable()) {
    return false;
  }
  Announcer.join();
  return true;
}

upstream_server::upstream_server(upstream_options Options)
    : Impl(std::make_unique<implementation>(std::move(Options))) {}

upstream_server::~upstream_server() {
  Impl->endAnnouncements();
  Impl->Server.stop();
}

auto upstream_server::start() -> result<std::uint16_t> {
  auto Started = Impl->Server.start();
  if (isOk(Started)) {
    Impl->Port = valueOf(Started);
    if (!Impl->Options.Announce.empty()) {
      Impl->Announcer = std::thread([this] { Impl->announceLoop(); });
    }
  }
  return Started;
}

void upstream_server::stop(millis Drain) {
  if (Impl->endAnnouncements()) {
    Impl->announce(true);
  }
  if (Drain.count() > 0) {
    Impl->Server.beginDrain();
    Impl->Server.waitIdle(Drain);
  }
  Impl->Server.stop();
}

auto upstream_server::control(const nlohmann::json &Change) -> std::string {
  return Impl->control(Change);
}

auto upstream_server::counters() const -> upstream_counters {
  auto Lock = std::lock_guard(Impl->Mutex);
  auto Counters = Impl->Counters;
  Counters.Tokens = Impl->TokenExecutions.size();
  return Counters;
}

auto upstream_server::executions(const std::string &Token) const
    -> std::uint64_t {
  auto Lock = std::lock_guard(Impl->Mutex);
  auto Found = Impl->TokenExecutions.find(Token);
  return Found == Impl->TokenExecutions.end() ? 0 : Found->second;
}

} // namespace sycamorelb::standin
