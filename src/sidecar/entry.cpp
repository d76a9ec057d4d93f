/** @file entry.cpp Takes calls from the callers on this host. */
#include "sidecar/entry.h"

#include "platform/call_header.h"
#include "sidecar/target_board.h"
#include "sycamorelb/http/server_connection.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace sycamorelb::sidecar {

using namespace inner;

/** Refusals by other nodes after which a call is offered no further in time. */
static constexpr auto MaxBounces = std::uint32_t{4};
/** Times that the outcome of a call is asked for after a lost connection. */
static constexpr auto MaxResumes = std::uint32_t{2};
/** Share of the time left, less the run time, that a call may wait where an
 * answer on time can't be expected any more. */
static constexpr auto LateWaitShare = 0.5;
/** Least time to start that is given to the node beside the target. */
static constexpr auto LeastTimeToStart = micros(15'000);
/** Wait told to callers where no target of the service is known. */
static constexpr auto NoTargetWait = micros(300'000);
/** Wait told to callers that come when the node is about to end. */
static constexpr auto StoppingWait = micros(250'000);
/** Time that a caller's connection may take for a request beyond the limit of
 * the configuration, and interval of the checks. */
static constexpr auto SweepInterval = micros(2'000'000);

namespace {

/** A call of a caller on this host. */
struct open_call {
  std::uint64_t Serial = 0; // Identifies it at this node.
  call_number Attempt;      // Number under which Host knows it.
  std::weak_ptr<http::server_connection> Caller;
  request_id Id;
  http::request Request;
  const mesh::route_rule *Route = nullptr;
  std::shared_ptr<const mesh::route_table> Routes; // Keeps Route alive.
  service_id Service;
  steady_time ArrivedAt{};
  steady_time OnTimeBy{};
  steady_time GiveUpAt{};
  event::timer_id Timer{0};
  std::set<node_id> Tried;    // Hosts that refused or failed it.
  node_id Host;               // Host that has it; empty for none.
  node_id LastHost;           // Host whose reply came last.
  std::uint32_t Arrivals = 0; // Targets that it reached.
  std::uint32_t Bounces = 0;
  std::uint32_t Resumes = 0;
  bool Late = false;                     // An answer on time is not expected.
  bool MayHaveRun = false;               // Some target may have run it.
  bool Trial = false;                    // It is one for the version on trial.
  std::optional<http::response> Failure; // Answer of a target that failed it.
};

using call_ref = std::shared_ptr<open_call>;

} // namespace

struct entry::implementation {
  implementation(node_state &State, admission &Admission, peer_links &Links)
      : State(State), Admission(Admission), Links(Links) {}

  node_state &State;
  admission &Admission;
  peer_links &Links;
  target_board Board;
  std::unique_ptr<event::listener> Listener;
  std::set<std::shared_ptr<http::server_connection>> Connections;
  std::unordered_map<std::uint64_t, call_ref> Calls;    // By serial.
  std::unordered_map<std::uint64_t, call_ref> Attempts; // By number.
  std::map<route_id, mesh::split_state> Splits;
  std::uint64_t NextNumber = 1;
  bool Refusing = false;

  void accept(std::shared_ptr<event::stream> Stream);
  void begin(const std::shared_ptr<http::server_connection> &Caller,
             http::request Request);
  void reject(const std::shared_ptr<http::server_connection> &Caller,
              const request_id &Id, int Status, std::optional<micros> Return,
              const char *Reason);
  void dispatchCall(const call_ref &Call);
  auto pick(const call_ref &Call) -> const mesh::host_record *;
  void send(const call_ref &Call, const mesh::host_record &Host);
  auto forwardOf(const open_call &Call, const mesh::host_record &Host) const
      -> forward_message;
  void release(open_call &Call);
  void handleOutcome(const call_ref &Call, const node_id &Node,
                     const reply_message &Reply);
  void handleNotRun(const call_ref &Call, const reply_message &Reply);
  void handleFailed(const call_ref &Call, const reply_message &Reply);
  auto mayRepeat(const open_call &Call, repeat_cause Cause) -> bool;
  void refuse(const call_ref &Call, const char *Reason);
  void fail(const call_ref &Call, int Status, const char *Reason);
  void answer(const call_ref &Call, const http::response &Response,
              const char *Outcome);
  void expire(const call_ref &Call);
  void abandon(const call_ref &Call);
  void withdraw(const call_ref &Call);
  auto returnAfter(const open_call &Call) -> micros;
  void sweep();
};

entry::entry(node_state &State, admission &Admission, peer_links &Links)
    : Impl(std::make_unique<implementation>(State, Admission, Links)) {}

entry::~entry() = default;

auto entry::listen() -> result<done> {
  auto *Self = Impl.get();
  auto Opened =
      event::listener::open(Impl->State.Loop, Impl->State.Settings.Callers,
                            [Self](std::shared_ptr<event::stream> Stream) {
                              Self->accept(std::move(Stream));
                            });
  if (!isOk(Opened)) {
    return errorOf(Opened);
  }
  Impl->Listener = std::move(valueOf(Opened));
  Impl->sweep();
  return done();
}

void entry::implementation::accept(std::shared_ptr<event::stream> Stream) {
  auto Limits = http::server_limits();
  if (State.Routes) {
    Limits.MaxHeadBytes = State.Routes->config().Limits.MaxHeadBytes;
    Limits.MaxBodyBytes = State.Routes->config().Limits.MaxBodyBytes;
  }
  auto Connection = http::server_connection::create(
      std::move(Stream), Limits,
      [this](const std::shared_ptr<http::server_connection> &Caller,
             http::request Request) { begin(Caller, std::move(Request)); });
  Connections.insert(Connection);
  auto Weak = std::weak_ptr<http::server_connection>(Connection);
  Connection->OnGone = [this, Weak] { Connections.erase(Weak.lock()); };
}

void entry::implementation::reject(
    const std::shared_ptr<http::server_connection> &Caller,
    const request_id &Id, int Status, std::optional<micros> Return,
    const char *Reason) {
  ++State.Counters.Calls[std::string("rejected: ") + Reason];
  State.Log.write(
      log_class::Decision, "call.rejected",
      {{"id", Id.Value}, {"status", std::int64_t{Status}}, {"reason", Reason}});
  Caller->respond(platform::encodeOwnAnswer(Status, Id, Return, Reason),
                  State.Stopping);
}

void entry::implementation::begin(
    const std::shared_ptr<http::server_connection> &Caller,
    http::request Request) {
  auto Now = State.Loop.now();
  auto Header = platform::decodeCallHeader(Request);
  if (Refusing) {
    return reject(Caller, Header.Id, 503, StoppingWait, "stopping");
  }
  if (!State.Routes) {
    return reject(Caller, Header.Id, 503, NoTargetWait, "no configuration");
  }
  const auto *Route = State.Routes->find(Header.Host, Request.Path);
  if (Route == nullptr) {
    return reject(Caller, Header.Id, 404, std::nullopt, "no route");
  }
  auto Left =
      std::min<micros>(Header.Left.value_or(Route->Timeout), Route->Timeout);
  auto Call = std::make_shared<open_call>();
  Call->Serial = NextNumber++;
  Call->Caller = Caller;
  Call->Id = Header.Id;
  Call->Request = std::move(Request);
  Call->Route = Route;
  Call->Routes = State.Routes;
  auto Part = mesh::chooseWeighted(Route->Services, Splits[Route->Name]);
  Call->Service = Route->Services[Part].Service;
  Call->ArrivedAt = Now;
  Call->OnTimeBy = Now + std::min<micros>(Route->Objective, Left);
  Call->GiveUpAt = Now + Left;
  Call->Trial = takeTrialTurn(State, Board, Call->Service);
  Calls.emplace(Call->Serial, Call);
  auto Weak = std::weak_ptr<open_call>(Call);
  Caller->OnGone = [this, Weak, Connection = std::weak_ptr(Caller)] {
    Connections.erase(Connection.lock());
    if (auto Self = Weak.lock()) {
      abandon(Self);
    }
  };
  Call->Timer = State.Loop.addTimer(Call->GiveUpAt, [this, Weak] {
    if (auto Self = Weak.lock()) {
      expire(Self);
    }
  });
  earnRepeat(State, Board, Call->Service);
  dispatchCall(Call);
}

auto entry::implementation::pick(const call_ref &Call)
    -> const mesh::host_record * {
  auto Now = State.Loop.now();
  auto Request = dispatch::pick_request();
  Request.MeanRun = expectedRun(Board, *Call->Route);
  Request.TimeOnTime = Call->OnTimeBy - Now;
  Request.TimeLeft = Call->Late ? Call->GiveUpAt - Now
                                : std::max(Request.TimeOnTime, Request.MeanRun);
  Request.Bytes = Call->Request.Body.size();
  auto Filter = target_filter{Call->Service, Call->Trial, &Call->Tried};
  auto Choice = chooseTargets(State, Board, Filter);
  if (Choice.Hosts.empty() && Call->Trial) {
    Call->Trial = false;
    return pick(Call);
  }
  auto Picked =
      dispatch::pickTarget(Choice.Candidates, Request, Now, State.Random);
  return Picked ? Choice.Hosts[Picked->Index] : nullptr;
}

void entry::implementation::dispatchCall(const call_ref &Call) {
  if (Call->Bounces < MaxBounces) {
    if (const auto *Host = pick(Call)) {
      return send(Call, *Host);
    }
  }
  if (!Call->Late) {
    // Offers it once more, to where the wait is least.
    Call->Late = true;
    if (Call->Arrivals == 0) {
      Call->Tried.clear();
    }
    if (const auto *Host = pick(Call)) {
      return send(Call, *Host);
    }
  }
  refuse(Call, "no target in time");
}

auto entry::implementation::forwardOf(const open_call &Call,
                                      const mesh::host_record &Host) const
    -> forward_message {
  auto Now = State.Loop.now();
  auto Run = expectedRun(Board, *Call.Route);
  auto Forward = forward_message();
  Forward.Call = Call.Attempt;
  Forward.Service = Call.Service;
  Forward.Version = Host.Target.Version;
  Forward.Route = Call.Route->Name;
  Forward.CallerService = State.Settings.Service;
  Forward.Request = Call.Request;
  Forward.Kind = Call.Route->Kind;
  Forward.Priority = Call.Route->Priority;
  Forward.TimeOnTime = Call.OnTimeBy - Now - Run;
  Forward.TimeLeft = Call.GiveUpAt - Now;
  auto Late = static_cast<double>((Forward.TimeLeft - Run).count());
  Forward.TimeToStart = std::max(
      LeastTimeToStart,
      Call.Late ? micros(static_cast<std::int64_t>(Late * LateWaitShare))
                : Forward.TimeOnTime);
  return Forward;
}

void entry::implementation::send(const call_ref &Call,
                                 const mesh::host_record &Host) {
  auto Node = Host.Node;
  // A new number for each attempt: a node does not run a number again.
  Call->Attempt = {NextNumber++};
  Call->Host = Node;
  Attempts.emplace(Call->Attempt.Value, Call);
  auto Forward = forwardOf(*Call, Host);
  noteSent(Board, Node, Call->Request.Body.size());
  if (Node == State.Own.Node) {
    auto Key = call_key{Node, State.Own.Incarnation, Call->Attempt};
    auto Weak = std::weak_ptr<open_call>(Call);
    Admission.submit(Key, std::move(Forward),
                     [this, Weak, Node](const reply_message &Reply) {
                       if (auto Self = Weak.lock()) {
                         handleOutcome(Self, Node, Reply);
                       }
                     });
    return;
  }
  if (!Links.send(Node, Forward)) {
    auto Reply = reply_message();
    Reply.Reason = "host can't be reached";
    noteSilence(Board, Node, State.Loop.now());
    Links.noteAwaited(Node, 1);
    return handleOutcome(Call, Node, Reply);
  }
  Links.noteAwaited(Node, 1);
}

void entry::handleReply(const node_id &Node, const reply_message &Reply) {
  auto Found = Impl->Attempts.find(Reply.Call.Value);
  if (Found != Impl->Attempts.end() && Found->second->Host == Node) {
    auto Call = Found->second;
    Impl->handleOutcome(Call, Node, Reply);
  }
}

void entry::implementation::release(open_call &Call) {
  if (!Call.Host.Value.empty()) {
    noteLeft(Board, Call.Host, Call.Request.Body.size());
    if (Call.Host != State.Own.Node) {
      Links.noteAwaited(Call.Host, -1);
    }
  }
  Call.Host = node_id();
  Attempts.erase(Call.Attempt.Value);
}

void entry::implementation::handleOutcome(const call_ref &Call,
                                          const node_id &Node,
                                          const reply_message &Reply) {
  if (Call->Host != Node) {
    return;
  }
  release(*Call);
  Call->LastHost = Node;
  noteReply(Board, Node, Call->Route->Name, Reply, State.Loop.now());
  Call->Arrivals += Reply.Arrived ? 1 : 0;
  Call->Tried.insert(Node);
  switch (Reply.Outcome) {
  case reply_outcome::NotRun:
    return handleNotRun(Call, Reply);
  case reply_outcome::Unknown:
    Call->MayHaveRun = true;
    return handleFailed(Call, Reply);
  case reply_outcome::Answered:
    break;
  }
  Call->MayHaveRun = true;
  if (Reply.Response.Status >= 500) {
    Call->Failure = Reply.Response;
    return handleFailed(Call, Reply);
  }
  answer(Call, Reply.Response, "answered");
}

void entry::implementation::handleNotRun(const call_ref &Call,
                                         const reply_message &Reply) {
  State.Log.write(log_class::Decision, "call.bounced",
                  {{"id", Call->Id.Value},
                   {"reason", Reply.Reason},
                   {"running", std::int64_t{Reply.Load.Running}},
                   {"queued", std::int64_t{Reply.Load.Queued}},
                   {"slots", std::int64_t{Reply.Load.Slots}}});
  ++State.Counters.Bounces;
  ++Call->Bounces;
  if (Reply.Arrived && !mayRepeat(*Call, repeat_cause::Refused)) {
    return refuse(Call, "target refused");
  }
  dispatchCall(Call);
}

auto entry::implementation::mayRepeat(const open_call &Call, repeat_cause Cause)
    -> bool {
  auto Run = expectedRun(Board, *Call.Route);
  return Call.Arrivals < Call.Route->Attempts &&
         State.Loop.now() + Run < Call.GiveUpAt &&
         takeRepeat(State, Board, Call.Service, Cause);
}

void entry::implementation::handleFailed(const call_ref &Call,
                                         const reply_message &Reply) {
  auto Repeats = Call->Route->Kind == mesh::call_kind::Idempotent &&
                 mayRepeat(*Call, repeat_cause::Failed);
  State.Log.write(log_class::Decision,
                  Repeats ? "call.repeated" : "call.failed",
                  {{"id", Call->Id.Value},
                   {"reason", Reply.Reason},
                   {"status", std::int64_t{Reply.Response.Status}},
                   {"arrivals", std::int64_t{Call->Arrivals}},
                   {"run_us", Reply.Run.count()}});
  if (Repeats) {
    ++State.Counters.Repeats;
    Call->Trial = false;
    return dispatchCall(Call);
  }
  fail(Call, 502, "target failed");
}

auto entry::implementation::returnAfter(const open_call &Call) -> micros {
  auto Now = State.Loop.now();
  auto Filter = target_filter{Call.Service, false, nullptr};
  auto Choice = chooseTargets(State, Board, Filter);
  auto Wait = NoTargetWait;
  for (const auto &Candidate : Choice.Candidates) {
    Wait = std::min(Wait, dispatch::predictedWait(Candidate.View, Now));
  }
  return dispatch::retryAfter(Wait, Call.GiveUpAt - Now, State.Random);
}

void entry::implementation::refuse(const call_ref &Call, const char *Reason) {
  if (Call->MayHaveRun) {
    return fail(Call, 502, Reason);
  }
  auto Return = returnAfter(*Call);
  State.Log.write(log_class::Decision, "call.refused",
                  {{"id", Call->Id.Value},
                   {"route", Call->Route->Name.Value},
                   {"service", Call->Service.Value},
                   {"reason", Reason},
                   {"bounces", std::int64_t{Call->Bounces}},
                   {"held_us", (State.Loop.now() - Call->ArrivedAt).count()},
                   {"return_us", Return.count()}});
  answer(Call, platform::encodeOwnAnswer(503, Call->Id, Return, Reason),
         "refused");
}

void entry::implementation::fail(const call_ref &Call, int Status,
                                 const char *Reason) {
  if (Call->Failure) {
    auto Response = std::move(*Call->Failure);
    return answer(Call, Response, "failed by target");
  }
  answer(Call,
         platform::encodeOwnAnswer(Status, Call->Id, std::nullopt, Reason),
         "failed");
}

void entry::implementation::answer(const call_ref &Call,
                                   const http::response &Response,
                                   const char *Outcome) {
  State.Loop.cancelTimer(Call->Timer);
  Calls.erase(Call->Serial);
  auto Took = State.Loop.now() - Call->ArrivedAt;
  ++State.Counters.Calls[Outcome];
  observe(State.Counters.Latency[Call->Route->Name], Took);
  State.Log.write(
      Response.Status < 400 ? log_class::Routine : log_class::Decision,
      "call.ended",
      {{"id", Call->Id.Value},
       {"route", Call->Route->Name.Value},
       {"outcome", Outcome},
       {"status", std::int64_t{Response.Status}},
       {"host", Call->LastHost.Value},
       {"arrivals", std::int64_t{Call->Arrivals}},
       {"bounces", std::int64_t{Call->Bounces}},
       {"body", static_cast<std::int64_t>(Call->Request.Body.size())},
       {"took_us", Took.count()}});
  auto Caller = Call->Caller.lock();
  if (!Caller) {
    return;
  }
  Caller->OnGone = [this, Connection = Call->Caller] {
    Connections.erase(Connection.lock());
  };
  Caller->respond(Response, State.Stopping);
}

void entry::implementation::withdraw(const call_ref &Call) {
  if (Call->Host.Value.empty()) {
    return;
  }
  auto Node = Call->Host;
  auto Attempt = Call->Attempt;
  release(*Call);
  if (Node == State.Own.Node) {
    Admission.cancel({Node, State.Own.Incarnation, Attempt});
  } else {
    Links.send(Node, cancel_message{Attempt});
  }
}

void entry::implementation::expire(const call_ref &Call) {
  auto Held = !Call->Host.Value.empty();
  State.Log.write(log_class::Decision, "call.expired",
                  {{"id", Call->Id.Value},
                   {"host", Call->Host.Value},
                   {"arrivals", std::int64_t{Call->Arrivals}}});
  withdraw(Call);
  if (Held || Call->MayHaveRun) {
    return fail(Call, 504, "time is over");
  }
  refuse(Call, "time is over");
}

void entry::implementation::abandon(const call_ref &Call) {
  State.Loop.cancelTimer(Call->Timer);
  Calls.erase(Call->Serial);
  ++State.Counters.Calls["abandoned by caller"];
  State.Log.write(log_class::Decision, "call.abandoned",
                  {{"id", Call->Id.Value},
                   {"host", Call->Host.Value},
                   {"after_us", (State.Loop.now() - Call->ArrivedAt).count()}});
  withdraw(Call);
}

void entry::handleLinkLost(const node_id &Node, bool Established) {
  auto &State = Impl->State;
  auto Affected = std::vector<call_ref>();
  for (const auto &[Serial, Call] : Impl->Calls) {
    if (Call->Host == Node) {
      Affected.push_back(Call);
    }
  }
  if (!Established || !Affected.empty()) {
    noteSilence(Impl->Board, Node, State.Loop.now());
  }
  for (const auto &Call : Affected) {
    if (Established && Call->Resumes < MaxResumes &&
        Impl->Links.send(Node, resume_message{Call->Attempt})) {
      ++Call->Resumes;
      continue;
    }
    auto Reply = reply_message();
    auto Sent = Established || Call->Resumes > 0;
    Reply.Outcome = Sent ? reply_outcome::Unknown : reply_outcome::NotRun;
    Reply.Arrived = Sent;
    Reply.Reason = Sent ? "connection to host lost" : "host can't be reached";
    Impl->handleOutcome(Call, Node, Reply);
  }
}

void entry::implementation::sweep() {
  auto Limits =
      State.Routes ? State.Routes->config().Limits : mesh::caller_limits();
  auto Now = State.Loop.now();
  auto Expired = std::vector<std::shared_ptr<http::server_connection>>();
  for (const auto &Connection : Connections) {
    auto Age = Now - Connection->changedAt();
    auto Limit =
        Connection->isReading() ? Limits.HeadTimeout * 2 : Limits.IdleTimeout;
    if (!Connection->isBusy() && Age > Limit) {
      Expired.push_back(Connection);
    }
  }
  for (const auto &Connection : Expired) {
    Connection->close();
    Connections.erase(Connection);
  }
  State.Loop.addTimer(Now + SweepInterval, [this] { sweep(); });
}

void entry::closeIdle() {
  auto Idle = std::vector<std::shared_ptr<http::server_connection>>();
  for (const auto &Connection : Impl->Connections) {
    if (!Connection->isBusy() && !Connection->isReading()) {
      Idle.push_back(Connection);
    }
  }
  for (const auto &Connection : Idle) {
    Connection->close();
    Impl->Connections.erase(Connection);
  }
}

void entry::refuseNew() { Impl->Refusing = true; }

auto entry::openCalls() const -> std::size_t { return Impl->Calls.size(); }

} // namespace sycamorelb::sidecar
