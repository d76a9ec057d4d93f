/** @file entry.cpp Accepts calls from the callers on this host. */
#include "platform/call_header.h"
#include "sidecar/entry_state.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace sycamorelb::sidecar {

using namespace inner;

/** Maximum number of times that a call is resumed after a lost connection. */
static constexpr auto MaxResumes = std::uint32_t{2};

/** Received bytes of a caller that wait in the kernel, at most: what is read at
 * once. Callers are on this host or near it. */
static constexpr auto MaxUnreadBytes = std::size_t{64} * 1024;

/** Retry delay sent to callers whose calls might outlast a shutdown. */
static constexpr auto StoppingRetryDelay = micros(250'000);

entry::entry(node_state &State, admission &Admission, peer_links &Links)
    : Impl(std::make_unique<implementation>(State, Admission, Links)) {}

entry::~entry() = default;

auto entry::listen() -> result<done> {
  auto *Self = Impl.get();
  auto Opened = event::listener::open(
      Impl->State.Loop, Impl->State.Settings.CallerAddress,
      [Self](std::shared_ptr<event::stream> Stream) {
        Self->accept(std::move(Stream));
      });
  if (!isOk(Opened)) {
    return errorOf(Opened);
  }
  Impl->Listener = std::move(valueOf(Opened));
  Impl->closeExpiredConnections();
  Impl->watchMemory();
  return done();
}

void entry::implementation::accept(std::shared_ptr<event::stream> Stream) {
  if (!makeRoomForCaller()) {
    return Stream->close();
  }
  Stream->limitUnread(MaxUnreadBytes);
  auto Options = http::server_options();
  Options.Memory = State.Loop.memory();
  if (State.Routes) {
    Options.Limits.MaxHeadBytes = State.Routes->config().Limits.MaxHeadBytes;
    Options.Limits.MaxBodyBytes = State.Routes->config().Limits.MaxBodyBytes;
  }
  Options.Pipeline = State.Settings.Pipeline;
  Options.Budget = Pipelining;
  Options.MayRunBeside = [this](const http::request &Request) {
    return mayRunBeside(Request);
  };
  Options.CheckHead = [this](const http::request &Request) {
    return checkHead(Request);
  };
  auto Connection = http::server_connection::create(
      std::move(Stream), std::move(Options),
      [this](const std::shared_ptr<http::server_connection> &Caller,
             http::exchange_number Exchange, http::request Request) {
        beginCall(Caller, Exchange, std::move(Request));
      });
  Connections.emplace(Connection, std::set<std::uint64_t>());
  auto Weak = std::weak_ptr<http::server_connection>(Connection);
  Connection->OnClosed = [this, Weak] { handleConnectionClosed(Weak.lock()); };
}

auto entry::implementation::mayRunBeside(const http::request &Request) const
    -> bool {
  const auto *Route =
      State.Routes ? State.Routes->find(
                         platform::decodeCallHeader(Request).Host, Request.Path)
                   : nullptr;
  return Route != nullptr && Route->Kind == mesh::call_kind::Idempotent;
}

auto entry::implementation::decideCaller(const http::request &Request,
                                         const mesh::route_rule &Route) const
    -> mesh::key_decision {
  const auto &Customers = State.Routes->customers();
  if (!Customers.hasCustomers()) {
    return {};
  }
  return mesh::decideByKey(Customers, platform::decodeKey(Request.Headers),
                           Route.AllowAnonymous, areKeysHeld(State));
}

/** @return the reason of a refusal by key, for callers, logs and metrics. */
static auto refusalReason(mesh::key_verdict Verdict) -> const char * {
  switch (Verdict) {
  case mesh::key_verdict::Held:
    return "keys not confirmed";
  case mesh::key_verdict::Missing:
    return "missing key";
  case mesh::key_verdict::Unknown:
    return "unknown key";
  default:
    return "malformed";
  }
}

auto entry::implementation::refuseKey(const request_id &Id,
                                      mesh::key_verdict Verdict)
    -> http::response {
  const auto *Reason = refusalReason(Verdict);
  ++State.Counters.KeyRefusals[Reason];
  return Verdict == mesh::key_verdict::Held
             ? rejection(Id, 503, DefaultRetryDelay, Reason)
             : rejection(Id, 401, std::nullopt, Reason);
}

auto entry::implementation::checkHead(const http::request &Request)
    -> std::optional<http::response> {
  if (!State.Routes || !State.Routes->customers().hasCustomers()) {
    return std::nullopt;
  }
  auto Header = platform::decodeCallHeader(Request);
  const auto *Route = State.Routes->find(Header.Host, Request.Path);
  if (Route == nullptr) {
    return std::nullopt;
  }
  auto Decision = decideCaller(Request, *Route);
  return Decision.Verdict == mesh::key_verdict::Accepted
             ? std::nullopt
             : std::optional(refuseKey(Header.Id, Decision.Verdict));
}

auto entry::implementation::rejection(const request_id &Id, int Status,
                                      std::optional<micros> RetryDelay,
                                      const char *Reason) -> http::response {
  ++State.Counters.Calls[std::string("rejected: ") + Reason];
  State.Log.write(
      log_class::Decision, "call.rejected",
      {{"id", Id.Value}, {"status", std::int64_t{Status}}, {"reason", Reason}});
  return platform::encodeLocalReply(Status, Id, RetryDelay, Reason);
}

void entry::implementation::rejectRequest(
    const std::shared_ptr<http::server_connection> &Caller,
    http::exchange_number Exchange, const request_id &Id, int Status,
    std::optional<micros> RetryDelay, const char *Reason) {
  Caller->respond(Exchange, rejection(Id, Status, RetryDelay, Reason),
                  State.Stopping);
}

void entry::implementation::beginCall(
    const std::shared_ptr<http::server_connection> &Caller,
    http::exchange_number Exchange, http::request Request) {
  auto Now = State.Loop.now();
  auto Header = platform::decodeCallHeader(Request);
  if (!State.Routes) {
    return rejectRequest(Caller, Exchange, Header.Id, 503, DefaultRetryDelay,
                         "no configuration");
  }
  const auto *Route = State.Routes->find(Header.Host, Request.Path);
  if (Route == nullptr) {
    logMissingRoute(State, Header.Id);
    return rejectRequest(Caller, Exchange, Header.Id, 404, std::nullopt,
                         "no route");
  }
  // Decided again: the keys may have changed while the body was read.
  auto Decision = decideCaller(Request, *Route);
  if (Decision.Verdict != mesh::key_verdict::Accepted) {
    return Caller->respond(Exchange, refuseKey(Header.Id, Decision.Verdict),
                           State.Stopping);
  }
  // An attempt needs the memory of the body once more.
  if (!event::hasRoom(*State.Loop.memory(), Request.Body.size())) {
    return rejectRequest(Caller, Exchange, Header.Id, 503, DefaultRetryDelay,
                         "no memory");
  }
  auto TimeLeft = std::min<micros>(Header.TimeLeft.value_or(Route->Timeout),
                                   Route->Timeout);
  if (!endsBeforeStop(State, Now + TimeLeft)) {
    return rejectRequest(Caller, Exchange, Header.Id, 503, StoppingRetryDelay,
                         "stopping");
  }
  auto Index =
      mesh::chooseWeighted(Route->Services, RoundRobinStates[Route->Name]);
  if (Index == Route->Services.size() || Route->Attempts == 0) {
    return rejectRequest(Caller, Exchange, Header.Id, 503, DefaultRetryDelay,
                         "route allows no target");
  }
  auto Call = std::make_shared<open_call>();
  Call->Serial = NextNumber++;
  Call->Caller = Caller;
  Call->Exchange = Exchange;
  Call->Id = Header.Id;
  Call->Request = std::move(Request);
  if (State.Routes->customers().hasCustomers()) {
    platform::removeCustomerHeaders(Call->Request.Headers);
  }
  Call->Priority = Route->Priority;
  if (Decision.Customer != nullptr) {
    Call->Customer = Decision.Customer->Name;
    Call->Priority = Decision.Customer->Priority.value_or(Route->Priority);
  }
  Call->Route = Route;
  Call->Routes = State.Routes;
  Call->Service = Route->Services[Index].Service;
  Call->ArrivedAt = Now;
  Call->ObjectiveAt = Now + std::min<micros>(Route->Objective, TimeLeft);
  Call->DeadlineAt = Now + TimeLeft;
  Call->PrefersCanary = takeCanaryTurn(State, Balancer, Call->Service);
  Calls.emplace(Call->Serial, Call);
  Connections[Caller].insert(Call->Serial);
  auto Weak = std::weak_ptr<open_call>(Call);
  Call->Timer = State.Loop.addTimer(Call->DeadlineAt, [this, Weak] {
    if (auto Self = Weak.lock()) {
      handleTimeout(Self);
    }
  });
  earnRetryTokens(State, Balancer, Call->Service);
  dispatchCall(Call);
}

void entry::handleReply(const node_id &Node, reply_message &Reply) {
  auto Found = Impl->Attempts.find(Reply.Call.Value);
  if (Found != Impl->Attempts.end() && Found->second->Host == Node) {
    auto Call = Found->second;
    Impl->handleOutcome(Call, Node, Reply);
  }
}

void entry::handleLinkLost(const node_id &Node, bool Established,
                           process_id Process) {
  auto &State = Impl->State;
  auto Affected = std::vector<call_ref>();
  for (const auto &[Serial, Call] : Impl->Calls) {
    if (Call->Host == Node) {
      Affected.push_back(Call);
    }
  }
  if (!Established || !Affected.empty()) {
    recordUnreachableHost(Impl->Balancer, Node, State.Loop.now());
  }
  for (const auto &Call : Affected) {
    Call->SentTo = Call->SentTo.value_or(Process);
    auto Age = State.Loop.now() - Call->SentAt;
    if (Established && Call->Resumes < MaxResumes &&
        Impl->Links.send(Node,
                         resume_message{Call->Attempt, Age, *Call->SentTo})) {
      ++Call->Resumes;
      continue;
    }
    auto Reply = reply_message();
    auto Sent = Established || Call->Resumes > 0;
    Reply.Outcome = Sent ? reply_outcome::Unknown : reply_outcome::NotRun;
    Reply.ReachedTarget = Sent;
    Reply.Reason = Sent ? "connection to host lost" : "host can't be reached";
    Impl->handleOutcome(Call, Node, Reply);
  }
}

void entry::closeIdleConnections() {
  auto Idle = std::vector<std::shared_ptr<http::server_connection>>();
  for (const auto &[Connection, Serials] : Impl->Connections) {
    if (!Connection->isBusy() && !Connection->isReading() &&
        !Connection->hasUnsentOutput()) {
      Idle.push_back(Connection);
    }
  }
  for (const auto &Connection : Idle) {
    Connection->close();
    Impl->Connections.erase(Connection);
  }
}

void entry::endCalls() {
  auto Calls = std::vector<call_ref>();
  for (const auto &[Serial, Call] : Impl->Calls) {
    Calls.push_back(Call);
  }
  for (const auto &Call : Calls) {
    Impl->handleTimeout(Call);
  }
}

auto entry::pipelining() const -> const http::pipeline_budget & {
  return *Impl->Pipelining;
}

auto entry::hasUnsentOutput() const -> bool {
  return std::any_of(
      Impl->Connections.begin(), Impl->Connections.end(),
      [](const auto &Entry) { return Entry.first->hasUnsentOutput(); });
}

auto entry::callerConnections() const -> std::size_t {
  return Impl->Connections.size();
}

auto entry::openCalls() const -> std::size_t { return Impl->Calls.size(); }

} // namespace sycamorelb::sidecar
