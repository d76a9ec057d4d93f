/** @file rpc_server.cpp Serves other nodes by RPC. */
#include "sycamorelb/inner/rpc_server.h"

#include "inner/handshake.h"
#include "inner/wire.h"
#include "sycamorelb/core/clock_func.h"
#include "sycamorelb/membership/membership_func.h"

#include <algorithm>
#include <kj/debug.h>

namespace sycamorelb::inner {

namespace {

/** Size of a chunk of a state; a message stays far below its limit. */
constexpr std::size_t ChunkBytes = 256U << 10U;

/** What all connections share. */
struct server_state {
  rpc_loop &Loop;
  rpc_server_options Options;
  peer_handlers Handlers;
  std::size_t StatesServed = 0;
};
using shared_state = std::shared_ptr<server_state>;

[[noreturn]] void fail(const char *Message) {
  kj::throwFatalException(KJ_EXCEPTION(FAILED, Message));
}

/** Counts a state that is being served. */
class state_ticket {
public:
  explicit state_ticket(shared_state Server) : State(std::move(Server)) {
    ++State->StatesServed;
  }
  ~state_ticket() { --State->StatesServed; }
  state_ticket(const state_ticket &) = delete;
  auto operator=(const state_ticket &) -> state_ticket & = delete;

private:
  shared_state State;
};

/** Serves the chunks of one state. */
class state_source final : public wire::StateSource::Server {
public:
  state_source(std::shared_ptr<state_ticket> Taken, std::string State)
      : Ticket(std::move(Taken)), Bytes(std::move(State)) {}

  auto read(ReadContext Context) -> kj::Promise<void> override {
    auto Offset = Context.getParams().getOffset();
    if (Offset > Bytes.size()) {
      fail("the offset is beyond the end of the state");
    }
    auto Chunk = std::string_view(Bytes).substr(Offset, ChunkBytes);
    Context.getResults().setBytes(asData(Chunk));
    return kj::READY_NOW;
  }

private:
  std::shared_ptr<state_ticket> Ticket;
  std::string Bytes;
};

/** Serves an authenticated node. */
class peer final : public wire::Peer::Server {
public:
  peer(shared_state Server, std::shared_ptr<connection_watch> Note,
       node_id Client)
      : State(std::move(Server)), Watch(std::move(Note)),
        From(std::move(Client)) {}

  auto fetchRecords(FetchRecordsContext Context) -> kj::Promise<void> override {
    noteUse(State->Handlers.FetchRecords != nullptr);
    auto Mark = readMark(Context.getParams().getMark());
    auto Fetched = State->Handlers.FetchRecords(Mark);
    auto Total = std::size_t{0};
    auto Cut = std::find_if(Fetched.Records.begin(), Fetched.Records.end(),
                            [&](const auto &Record) {
                              Total += Record.Bytes.size();
                              return Total > MaxRecordsBytes;
                            });
    // A single record is sent even when it alone exceeds the limit.
    if (Cut == Fetched.Records.begin() && Cut != Fetched.Records.end()) {
      ++Cut;
    }
    Fetched.Records.erase(Cut, Fetched.Records.end());
    if (Fetched.Records.size() > MaxRecords) {
      Fetched.Records.resize(MaxRecords);
    }
    auto Out = Context.getResults().initFetched();
    Out.setOutcome(static_cast<std::uint16_t>(Fetched.Outcome));
    writeMark(Out.initConfig(), Fetched.Config);
    writeRecords(Out.initRecords(static_cast<unsigned>(Fetched.Records.size())),
                 Fetched.Records);
    return kj::READY_NOW;
  }

  auto fetchState(FetchStateContext Context) -> kj::Promise<void> override {
    noteUse(State->Handlers.FetchState != nullptr);
    if (State->StatesServed >= State->Options.MaxStatesServed) {
      return KJ_EXCEPTION(OVERLOADED, "too many states are being served");
    }
    auto Ticket = std::make_shared<state_ticket>(State);
    auto Outcome = std::make_shared<result<std::string>>();
    auto Job = [Fetch = State->Handlers.FetchState, Outcome]() {
      *Outcome = Fetch();
    };
    return State->Loop.runOnWorker(Job).then(
        [Context, Ticket, Outcome]() mutable {
          if (!isOk(*Outcome)) {
            auto IsBusy = errorOf(*Outcome).Code == error_code::Overloaded;
            kj::throwFatalException(
                IsBusy ? KJ_EXCEPTION(OVERLOADED, "the node is busy")
                       : KJ_EXCEPTION(FAILED, "the node has no state"));
          }
          auto Results = Context.getResults();
          Results.setSize(valueOf(*Outcome).size());
          Results.setSource(
              kj::heap<state_source>(Ticket, std::move(valueOf(*Outcome))));
        });
  }

  auto exchangeMembers(ExchangeMembersContext Context)
      -> kj::Promise<void> override {
    noteUse(State->Handlers.ExchangeMembers != nullptr);
    auto Exchange = membership::member_exchange{};
    if (!readExchange(Context.getParams().getExchange(), Exchange)) {
      fail("the exchange exceeds a limit");
    }
    auto Answer = State->Handlers.ExchangeMembers(std::move(Exchange));
    writeExchange(Context.getResults().initExchange(), Answer);
    return kj::READY_NOW;
  }

  auto claim(ClaimContext Context) -> kj::Promise<void> override {
    noteUse(State->Handlers.Claim != nullptr);
    auto In = Context.getParams().getBatch();
    auto Batch = std::make_shared<std::vector<claim_request>>();
    if (In.size() > MaxClaimBatch) {
      fail("the batch exceeds a limit");
    }
    for (auto Item : In) {
      if (!readClaim(Item, Batch->emplace_back())) {
        fail("a claim exceeds a limit");
      }
    }
    auto Size = Batch->size();
    auto Verdicts = std::make_shared<std::vector<claim_verdict>>();
    auto Job = [Claim = State->Handlers.Claim, Batch, Verdicts]() {
      *Verdicts = Claim(std::move(*Batch));
    };
    return State->Loop.runOnWorker(Job).then([Context, Verdicts,
                                              Size]() mutable {
      if (Verdicts->size() != Size) {
        fail("the node decided another number of claims");
      }
      auto Out = Context.getResults().initVerdicts(static_cast<unsigned>(Size));
      for (auto Index = 0U; Index < Size; ++Index) {
        writeVerdict(Out[Index], Verdicts->at(Index));
      }
    });
  }

  auto releaseClaim(ReleaseClaimContext Context) -> kj::Promise<void> override {
    noteUse(State->Handlers.ReleaseClaim != nullptr);
    auto Claim = claim_request{};
    if (!readClaim(Context.getParams().getClaim(), Claim)) {
      fail("the claim exceeds a limit");
    }
    return State->Loop.runOnWorker(
        [Release = State->Handlers.ReleaseClaim, Claim]() { Release(Claim); });
  }

  auto evidence(EvidenceContext Context) -> kj::Promise<void> override {
    noteUse(State->Handlers.Evidence != nullptr);
    auto Bytes = asBytes(Context.getParams().getBytes());
    if (Bytes.size() > MaxEvidenceBytes) {
      fail("the evidence exceeds a limit");
    }
    State->Handlers.Evidence(From, std::string(Bytes));
    return kj::READY_NOW;
  }

private:
  /** Keeps the connection open; fails when the method has no handler. */
  void noteUse(bool HasHandler) {
    Watch->LastUse = steadyNow();
    if (!HasHandler) {
      kj::throwFatalException(
          KJ_EXCEPTION(UNIMPLEMENTED, "the node does not serve this method"));
    }
  }

  shared_state State;
  std::shared_ptr<connection_watch> Watch;
  node_id From;
};

/** Bootstrap of a connection. */
class gate final : public wire::Gate::Server {
public:
  gate(shared_state Server, std::shared_ptr<connection_watch> Note)
      : State(std::move(Server)), Watch(std::move(Note)) {}

  auto challenge(ChallengeContext Context) -> kj::Promise<void> override {
    auto Params = Context.getParams();
    auto ClientNonce = std::string(asBytes(Params.getNonce()));
    auto Client = node_id{};
    auto ServerNonce = makeNonce();
    if (ClientNonce.size() != NonceBytes || ServerNonce.empty() ||
        !readText(Params.getNode(), membership::MaxIdBytes, Client.Value)) {
      fail("the challenge is malformed");
    }
    Pending = handshake{.ClientNonce = ClientNonce,
                        .ServerNonce = ServerNonce,
                        .Client = Client,
                        .Server = State->Options.Self};
    const auto &Key = State->Options.Keys.front();
    auto Proof =
        computeMac(Key, auth_purpose::RpcServer, handshakeBytes(*Pending));
    auto Results = Context.getResults();
    Results.setNonce(asData(ServerNonce));
    Results.setNode(asText(State->Options.Self.Value));
    Results.setKeyId(Key.Id);
    Results.setProof(capnp::Data::Reader(Proof.data(), Proof.size()));
    return kj::READY_NOW;
  }

  auto authenticate(AuthenticateContext Context) -> kj::Promise<void> override {
    auto Params = Context.getParams();
    // A nonce serves for one attempt.
    auto Handshake = std::exchange(Pending, std::nullopt);
    if (!Handshake ||
        !verifyMac(State->Options.Keys, Params.getKeyId(),
                   auth_purpose::RpcClient, handshakeBytes(*Handshake),
                   asBytes(Params.getProof()))) {
      fail("unauthorized");
    }
    Watch->Trusted = true;
    Watch->LastUse = steadyNow();
    Context.getResults().setPeer(
        kj::heap<peer>(State, Watch, Handshake->Client));
    return kj::READY_NOW;
  }

private:
  shared_state State;
  std::shared_ptr<connection_watch> Watch;
  std::optional<handshake> Pending;
};

} // namespace

auto servePeers(rpc_loop &Loop, const rpc_server_options &Options,
                const peer_handlers &Handlers) -> result<std::uint16_t> {
  if (auto Checked = checkKeys(Options.Keys); !isOk(Checked)) {
    return errorOf(Checked);
  }
  auto State = std::make_shared<server_state>(
      server_state{.Loop = Loop, .Options = Options, .Handlers = Handlers});
  return Loop.addWatchedListener(
      Options.Address,
      [State](const std::shared_ptr<connection_watch> &Watch)
          -> capnp::Capability::Client {
        return kj::heap<gate>(State, Watch);
      });
}

} // namespace sycamorelb::inner
