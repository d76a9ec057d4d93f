/** @file rpc_server.cpp Server for the RPC between nodes. */
#include "sycamorelb/inner/rpc_server.h"

#include "inner/handshake.h"
#include "inner/wire.h"
#include "sycamorelb/core/clock_func.h"
#include "sycamorelb/membership/membership_func.h"

#include <algorithm>
#include <kj/debug.h>

namespace sycamorelb::inner {

namespace {

/** Size of a chunk of a state; well below the message size limit. */
constexpr std::size_t ChunkBytes = 256U << 10U;

/** State that all connections share. */
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

/** Counts one state transfer in StatesServed during its lifetime. */
class state_transfer {
public:
  explicit state_transfer(shared_state Server) : State(std::move(Server)) {
    ++State->StatesServed;
  }
  ~state_transfer() { --State->StatesServed; }
  state_transfer(const state_transfer &) = delete;
  auto operator=(const state_transfer &) -> state_transfer & = delete;

private:
  shared_state State;
};

/** Serves one state in chunks. */
class state_source final : public wire::StateSource::Server {
public:
  state_source(std::shared_ptr<state_transfer> CurrentTransfer,
               std::string State)
      : Transfer(std::move(CurrentTransfer)), Bytes(std::move(State)) {}

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
  std::shared_ptr<state_transfer> Transfer;
  std::string Bytes;
};

/** Serves the requests of an authenticated node. */
class peer_server final : public wire::Peer::Server {
public:
  peer_server(shared_state Server,
              std::shared_ptr<connection_activity> ConnectionActivity,
              node_id Client)
      : State(std::move(Server)), Activity(std::move(ConnectionActivity)),
        From(std::move(Client)) {}

  auto fetchRecords(FetchRecordsContext Context) -> kj::Promise<void> override {
    beginCall(State->Handlers.FetchRecords != nullptr);
    auto Mark = readMark(Context.getParams().getMark());
    auto Fetched = State->Handlers.FetchRecords(Mark);
    auto Total = std::size_t{0};
    auto Cut = std::find_if(Fetched.Records.begin(), Fetched.Records.end(),
                            [&](const auto &Record) {
                              Total += Record.Bytes.size();
                              return Total > MaxRecordsBytes;
                            });
    // The first record is sent even if it exceeds the limit by itself.
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
    beginCall(State->Handlers.FetchState != nullptr);
    if (State->StatesServed >= State->Options.MaxStatesServed) {
      return KJ_EXCEPTION(OVERLOADED, "too many states are being served");
    }
    auto Transfer = std::make_shared<state_transfer>(State);
    auto Outcome = std::make_shared<result<std::string>>();
    auto Job = [Fetch = State->Handlers.FetchState, Outcome]() {
      *Outcome = Fetch();
    };
    return State->Loop.runOnWorker(Job).then(
        [Context, Transfer, Outcome]() mutable {
          if (!isOk(*Outcome)) {
            auto IsBusy = errorOf(*Outcome).Code == error_code::Overloaded;
            kj::throwFatalException(
                IsBusy ? KJ_EXCEPTION(OVERLOADED, "the node is busy")
                       : KJ_EXCEPTION(FAILED, "the node has no state"));
          }
          auto Results = Context.getResults();
          Results.setSize(valueOf(*Outcome).size());
          Results.setSource(
              kj::heap<state_source>(Transfer, std::move(valueOf(*Outcome))));
        });
  }

  auto exchangeMembers(ExchangeMembersContext Context)
      -> kj::Promise<void> override {
    beginCall(State->Handlers.ExchangeMembers != nullptr);
    auto Exchange = membership::member_exchange{};
    if (!readExchange(Context.getParams().getExchange(), Exchange)) {
      fail("the exchange exceeds a limit");
    }
    auto Answer = State->Handlers.ExchangeMembers(std::move(Exchange));
    writeExchange(Context.getResults().initExchange(), Answer);
    return kj::READY_NOW;
  }

  auto claim(ClaimContext Context) -> kj::Promise<void> override {
    beginCall(State->Handlers.Claim != nullptr);
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
    beginCall(State->Handlers.ReleaseClaim != nullptr);
    auto Claim = claim_request{};
    if (!readClaim(Context.getParams().getClaim(), Claim)) {
      fail("the claim exceeds a limit");
    }
    return State->Loop.runOnWorker(
        [Release = State->Handlers.ReleaseClaim, Claim]() { Release(Claim); });
  }

  auto evidence(EvidenceContext Context) -> kj::Promise<void> override {
    beginCall(State->Handlers.Evidence != nullptr);
    auto Bytes = asBytes(Context.getParams().getBytes());
    if (Bytes.size() > MaxEvidenceBytes) {
      fail("the evidence exceeds a limit");
    }
    State->Handlers.Evidence(From, std::string(Bytes));
    return kj::READY_NOW;
  }

private:
  /** Restarts the idle timeout; fails when the method has no handler. */
  void beginCall(bool HasHandler) {
    Activity->LastUse = steadyNow();
    if (!HasHandler) {
      kj::throwFatalException(
          KJ_EXCEPTION(UNIMPLEMENTED, "the node does not serve this method"));
    }
  }

  shared_state State;
  std::shared_ptr<connection_activity> Activity;
  node_id From;
};

/** Bootstrap capability of a connection; runs the handshake. */
class gate_server final : public wire::Gate::Server {
public:
  gate_server(shared_state Server,
              std::shared_ptr<connection_activity> ConnectionActivity)
      : State(std::move(Server)), Activity(std::move(ConnectionActivity)) {}

  auto challenge(ChallengeContext Context) -> kj::Promise<void> override {
    auto Params = Context.getParams();
    auto ClientNonce = std::string(asBytes(Params.getNonce()));
    auto Client = node_id{};
    auto ServerNonce = makeNonce();
    if (ClientNonce.size() != NonceBytes || ServerNonce.empty() ||
        !readText(Params.getNode(), membership::MaxIdBytes, Client.Value)) {
      fail("the challenge is malformed");
    }
    PendingHandshake = handshake{.ClientNonce = ClientNonce,
                                 .ServerNonce = ServerNonce,
                                 .Client = Client,
                                 .Server = State->Options.Self};
    const auto &Key = State->Options.Keys.front();
    auto Proof = computeMac(Key, auth_purpose::RpcServer,
                            handshakeBytes(*PendingHandshake));
    auto Results = Context.getResults();
    Results.setNonce(asData(ServerNonce));
    Results.setNode(asText(State->Options.Self.Value));
    Results.setKeyId(Key.Id);
    Results.setProof(capnp::Data::Reader(Proof.data(), Proof.size()));
    return kj::READY_NOW;
  }

  auto authenticate(AuthenticateContext Context) -> kj::Promise<void> override {
    auto Params = Context.getParams();
    // Each nonce is valid for a single attempt.
    auto Handshake = std::exchange(PendingHandshake, std::nullopt);
    if (!Handshake ||
        !verifyMac(State->Options.Keys, Params.getKeyId(),
                   auth_purpose::RpcClient, handshakeBytes(*Handshake),
                   asBytes(Params.getProof()))) {
      fail("unauthorized");
    }
    Activity->Authenticated = true;
    Activity->LastUse = steadyNow();
    Context.getResults().setPeer(
        kj::heap<peer_server>(State, Activity, Handshake->Client));
    return kj::READY_NOW;
  }

private:
  shared_state State;
  std::shared_ptr<connection_activity> Activity;
  std::optional<handshake> PendingHandshake;
};

} // namespace

auto servePeers(rpc_loop &Loop, const rpc_server_options &Options,
                const peer_handlers &Handlers) -> result<std::uint16_t> {
  if (auto Checked = checkKeys(Options.Keys); !isOk(Checked)) {
    return errorOf(Checked);
  }
  auto State = std::make_shared<server_state>(
      server_state{.Loop = Loop, .Options = Options, .Handlers = Handlers});
  return Loop.addListenerWithTimeouts(
      Options.Address,
      [State](const std::shared_ptr<connection_activity> &Activity)
          -> capnp::Capability::Client {
        return kj::heap<gate_server>(State, Activity);
      });
}

} // namespace sycamorelb::inner
