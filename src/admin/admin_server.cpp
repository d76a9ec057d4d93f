/** @file admin_server.cpp Server of the admin RPC. */
#include "sycamorelb/admin/admin_server.h"

#include "admin/admin_wire.h"
#include "inner/handshake.h"
#include "sycamorelb/core/clock_func.h"

#include <kj/debug.h>
#include <optional>

namespace sycamorelb::admin {

namespace {

/** Longest ids and declarations accepted, in bytes. */
constexpr std::size_t MaxIdBytes = 128;
constexpr std::size_t MaxTextBytes = 512U << 10U;

auto toText(capnp::Text::Reader Text, std::size_t MaxBytes) -> std::string {
  KJ_REQUIRE(Text.size() <= MaxBytes, "a text exceeds its limit");
  return {Text.cStr(), Text.size()};
}

auto toBytes(capnp::Data::Reader Data) -> std::string {
  return {reinterpret_cast<const char *>(Data.begin()), Data.size()};
}

auto asData(const std::string &Bytes) -> capnp::Data::Reader {
  return {reinterpret_cast<const unsigned char *>(Bytes.data()), Bytes.size()};
}

/** State shared by all connections. */
struct server_state {
  inner::rpc_loop &Loop;
  inner::auth_keys Keys;
  admin_handlers Handlers;
};
using shared_state = std::shared_ptr<server_state>;

/** Serves the requests of an authenticated operator. */
class admin final : public wire::Admin::Server {
public:
  admin(shared_state TheState,
        std::shared_ptr<inner::connection_activity> TheActivity)
      : State(std::move(TheState)), Activity(std::move(TheActivity)) {}

  auto apply(ApplyContext Context) -> kj::Promise<void> override {
    auto Params = Context.getParams();
    auto Request = request_id{toText(Params.getRequestId(), MaxIdBytes)};
    auto Text = toText(Params.getDeclaration(), MaxTextBytes);
    auto File = toText(Params.getFile(), 4096);
    return mutate(Context, [this, Request, Text, File] {
      return State->Handlers.Apply(Request, Text, File);
    });
  }

  auto startMove(StartMoveContext Context) -> kj::Promise<void> override {
    auto Params = Context.getParams();
    auto Request = request_id{toText(Params.getRequestId(), MaxIdBytes)};
    auto Move = readMove(Params.getMove());
    return mutate(Context, [this, Request, Move] {
      return State->Handlers.StartMove(Request, Move);
    });
  }

  auto takeBackMove(TakeBackMoveContext Context) -> kj::Promise<void> override {
    auto Params = Context.getParams();
    auto Request = request_id{toText(Params.getRequestId(), MaxIdBytes)};
    auto Service = service_id{toText(Params.getService(), MaxIdBytes)};
    return mutate(Context, [this, Request, Service] {
      return State->Handlers.TakeBackMove(Request, Service);
    });
  }

  auto setZone(SetZoneContext Context) -> kj::Promise<void> override {
    auto Params = Context.getParams();
    auto Request = request_id{toText(Params.getRequestId(), MaxIdBytes)};
    auto Zone = zone_id{toText(Params.getZone(), MaxIdBytes)};
    auto InService = Params.getInService();
    return mutate(Context, [this, Request, Zone, InService] {
      return State->Handlers.SetZone(Request, Zone, InService);
    });
  }

  auto outcome(OutcomeContext Context) -> kj::Promise<void> override {
    auto Request =
        request_id{toText(Context.getParams().getRequestId(), MaxIdBytes)};
    return mutate(Context,
                  [this, Request] { return State->Handlers.Outcome(Request); });
  }

  auto status(StatusContext Context) -> kj::Promise<void> override {
    Activity->LastUse = steadyNow();
    writeStatus(Context.getResults().initStatus(), State->Handlers.Status());
    return kj::READY_NOW;
  }

  auto declaration(DeclarationContext Context) -> kj::Promise<void> override {
    Activity->LastUse = steadyNow();
    auto Declaration = State->Handlers.Declaration();
    auto Results = Context.getResults();
    Results.setVersion(Declaration.Version.Value);
    Results.setText(Declaration.Text.c_str());
    return kj::READY_NOW;
  }

  auto dump(DumpContext Context) -> kj::Promise<void> override {
    Activity->LastUse = steadyNow();
    Context.getResults().setJson(State->Handlers.Dump().c_str());
    return kj::READY_NOW;
  }

  auto drain(DrainContext /*Context*/) -> kj::Promise<void> override {
    State->Handlers.Drain();
    return kj::READY_NOW;
  }

private:
  /** Runs a mutation on a worker thread, since it may block, and writes its
   * outcome. */
  template <class C, class F>
  auto mutate(C Context, F Mutation) -> kj::Promise<void> {
    Activity->LastUse = steadyNow();
    auto Outcome = std::make_shared<sycamorelb::admin::outcome>();
    auto Task = [Mutation, Outcome] { *Outcome = Mutation(); };
    return State->Loop.runOnWorker(Task).then([Context, Outcome]() mutable {
      writeOutcome(Context.getResults().initOutcome(), *Outcome);
    });
  }

  shared_state State;
  std::shared_ptr<inner::connection_activity> Activity;
};

/** Bootstrap capability of a connection: authenticates the operator. */
class gate final : public wire::Gate::Server {
public:
  gate(shared_state TheState,
       std::shared_ptr<inner::connection_activity> TheActivity)
      : State(std::move(TheState)), Activity(std::move(TheActivity)) {}

  auto challenge(ChallengeContext Context) -> kj::Promise<void> override {
    auto Params = Context.getParams();
    auto Handshake = inner::handshake();
    Handshake.ClientNonce = toBytes(Params.getNonce());
    Handshake.ServerNonce = inner::makeNonce();
    Handshake.Client = {toText(Params.getClient(), MaxIdBytes)};
    Handshake.Server = {"admin"};
    KJ_REQUIRE(Handshake.ClientNonce.size() == inner::NonceBytes &&
                   !Handshake.ServerNonce.empty(),
               "the challenge is malformed");
    const auto &Key = State->Keys.front();
    auto Proof = inner::computeMac(Key, inner::auth_purpose::AdminServer,
                                   inner::handshakeBytes(Handshake));
    auto Results = Context.getResults();
    Results.setNonce(asData(Handshake.ServerNonce));
    Results.setServer(Handshake.Server.Value.c_str());
    Results.setKeyId(Key.Id);
    Results.setProof(capnp::Data::Reader(Proof.data(), Proof.size()));
    PendingHandshake = std::move(Handshake);
    return kj::READY_NOW;
  }

  auto authenticate(AuthenticateContext Context) -> kj::Promise<void> override {
    auto Params = Context.getParams();
    // A nonce is valid for one attempt only.
    auto Handshake = std::exchange(PendingHandshake, std::nullopt);
    KJ_REQUIRE(Handshake.has_value() &&
                   inner::verifyMac(State->Keys, Params.getKeyId(),
                                    inner::auth_purpose::AdminClient,
                                    inner::handshakeBytes(*Handshake),
                                    toBytes(Params.getProof())),
               "unauthorized");
    Activity->Authenticated = true;
    Activity->LastUse = steadyNow();
    Context.getResults().setAdmin(kj::heap<admin>(State, Activity));
    return kj::READY_NOW;
  }

private:
  shared_state State;
  std::shared_ptr<inner::connection_activity> Activity;
  std::optional<inner::handshake> PendingHandshake;
};

} // namespace

auto serveOperators(inner::rpc_loop &Loop, const std::string &Address,
                    const inner::auth_keys &Keys,
                    const admin_handlers &Handlers) -> result<std::uint16_t> {
  if (auto Checked = inner::checkKeys(Keys); !isOk(Checked)) {
    return errorOf(Checked);
  }
  auto State =
      std::make_shared<server_state>(server_state{Loop, Keys, Handlers});
  return Loop.addListenerWithTimeouts(
      Address,
      [State](const std::shared_ptr<inner::connection_activity> &Activity)
          -> capnp::Capability::Client {
        return kj::heap<gate>(State, Activity);
      });
}

} // namespace sycamorelb::admin
