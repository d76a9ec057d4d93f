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

/** Retry delay sent to callers during the last part of a shutdown. */
static constexpr auto StoppingRetryDelay = micros(250'000);

/** Interval of the checks for connections that exceed their timeouts, and thus
 * the most by which a connection can exceed them. */
static constexpr auto ConnectionCheckInterval = micros(2'000'000);

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
             http::request Request) { beginCall(Caller, std::move(Request)); });
  Connections.insert(Connection);
  auto Weak = std::weak_ptr<http::server_connection>(Connection);
  Connection->OnClosed = [this, Weak] { Connections.erase(Weak.lock()); };
}

void entry::implementation::rejectRequest(
    const std::shared_ptr<http::server_connection> &Caller,
    const request_id &Id, int Status, std::optional<micros> RetryDelay,
    const char *Reason) {
  ++State.Counters.Calls[std::string("rejected: ") + Reason];
  State.Log.write(
      log_class::Decision, "call.rejected",
      {{"id", Id.Value}, {"status", std::int64_t{Status}}, {"reason", Reason}});
  Caller->respond(platform::encodeLocalReply(Status, Id, RetryDelay, Reason),
                  State.Stopping);
}

void entry::implementation::beginCall(
    const std::shared_ptr<http::server_connection> &Caller,
    http::request Request) {
  auto Now = State.Loop.now();
  auto Header = platform::decodeCallHeader(Request);
  if (IsRefusingCalls) {
    return rejectRequest(Caller, Header.Id, 503, StoppingRetryDelay,
                         "stopping");
  }
  if (!State.Routes) {
    return rejectRequest(Caller, Header.Id, 503, DefaultRetryDelay,
                         "no configuration");
  }
  const auto *Route = State.Routes->find(Header.Host, Request.Path);
  if (Route == nullptr) {
    logMissingRoute(State, Header.Id);
    return rejectRequest(Caller, Header.Id, 404, std::nullopt, "no route");
  }
  auto TimeLeft = std::min<micros>(Header.TimeLeft.value_or(Route->Timeout),
                                   Route->Timeout);
  auto Call = std::make_shared<open_call>();
  Call->Serial = NextNumber++;
  Call->Caller = Caller;
  Call->Id = Header.Id;
  Call->Request = std::move(Request);
  Call->Route = Route;
  Call->Routes = State.Routes;
  auto Index =
      mesh::chooseWeighted(Route->Services, RoundRobinStates[Route->Name]);
  Call->Service = Route->Services[Index].Service;
  Call->ArrivedAt = Now;
  Call->ObjectiveAt = Now + std::min<micros>(Route->Objective, TimeLeft);
  Call->DeadlineAt = Now + TimeLeft;
  Call->PrefersCanary = takeCanaryTurn(State, Balancer, Call->Service);
  Calls.emplace(Call->Serial, Call);
  auto Weak = std::weak_ptr<open_call>(Call);
  Caller->OnClosed = [this, Weak, Connection = std::weak_ptr(Caller)] {
    Connections.erase(Connection.lock());
    if (auto Self = Weak.lock()) {
      handleCallerDisconnect(Self);
    }
  };
  Call->Timer = State.Loop.addTimer(Call->DeadlineAt, [this, Weak] {
    if (auto Self = Weak.lock()) {
      handleTimeout(Self);
    }
  });
  earnRetryTokens(State, Balancer, Call->Service);
  dispatchCall(Call);
}

void entry::handleReply(const node_id &Node, const reply_message &Reply) {
  auto Found = Impl->Attempts.find(Reply.Call.Value);
  if (Found != Impl->Attempts.end() && Found->second->Host == Node) {
    auto Call = Found->second;
    Impl->handleOutcome(Call, Node, Reply);
  }
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
    recordUnreachableHost(Impl->Balancer, Node, State.Loop.now());
  }
  for (const auto &Call : Affected) {
    if (Established && Call->Resumes < MaxResumes &&
        Impl->Links.send(
            Node,
            resume_message{Call->Attempt, State.Loop.now() - Call->SentAt})) {
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

void entry::implementation::closeExpiredConnections() {
  auto Limits =
      State.Routes ? State.Routes->config().Limits : mesh::caller_limits();
  auto Now = State.Loop.now();
  auto Expired = std::vector<std::shared_ptr<http::server_connection>>();
  for (const auto &Connection : Connections) {
    auto Age = Now - Connection->stateChangedAt();
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
  State.Loop.addTimer(Now + ConnectionCheckInterval,
                      [this] { closeExpiredConnections(); });
}

void entry::closeIdleConnections() {
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

void entry::refuseNewCalls() { Impl->IsRefusingCalls = true; }

auto entry::openCalls() const -> std::size_t { return Impl->Calls.size(); }

} // namespace sycamorelb::sidecar
