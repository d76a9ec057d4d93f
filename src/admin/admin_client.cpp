/** @file admin_client.cpp Client of the admin RPC. */
#include "sycamorelb/admin/admin_client.h"

#include "admin/admin_wire.h"
#include "inner/handshake.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

namespace sycamorelb::admin {

static auto toBytes(capnp::Data::Reader Data) -> std::string {
  return {reinterpret_cast<const char *>(Data.begin()), Data.size()};
}

static auto asData(const std::string &Bytes) -> capnp::Data::Reader {
  return {reinterpret_cast<const unsigned char *>(Bytes.data()), Bytes.size()};
}

// Members are destroyed in reverse order, so the capabilities are released
// before the RPC connection that they use.
struct admin_client::impl {
  std::string Address;
  millis Timeout;
  kj::AsyncIoContext Io = kj::setupAsyncIo();
  kj::Own<kj::AsyncIoStream> Stream;
  kj::Own<capnp::TwoPartyClient> Rpc;
  kj::Maybe<wire::Admin::Client> Admin;

  impl(std::string NodeAddress, millis CallTimeout)
      : Address(std::move(NodeAddress)), Timeout(CallTimeout) {}

  template <class T> auto withTimeout(kj::Promise<T> Promise) {
    return Io.provider->getTimer()
        .timeoutAfter(Timeout.count() * kj::MILLISECONDS, kj::mv(Promise))
        .wait(Io.waitScope);
  }

  auto makeError(error_code Code, const char *Step,
                 const kj::Exception &Exception) const -> error {
    return {Code, Step, Address, Exception.getDescription().cStr()};
  }

  auto connect() -> result<done> {
    auto Failure = kj::runCatchingExceptions([this] {
      auto Parsed =
          withTimeout(Io.provider->getNetwork().parseAddress(Address.c_str()));
      Stream = withTimeout(Parsed->connect());
      Rpc = kj::heap<capnp::TwoPartyClient>(*Stream);
    });
    KJ_IF_MAYBE (Exception, Failure) {
      return makeError(error_code::Unreachable, "admin.connect", *Exception);
    }
    return done();
  }

  auto authenticate(const inner::auth_keys &Keys) -> result<done> {
    auto Verified = false;
    auto Failure = kj::runCatchingExceptions([&] {
      auto Gate = Rpc->bootstrap().castAs<wire::Gate>();
      auto Handshake = inner::handshake();
      Handshake.ClientNonce = inner::makeNonce();
      Handshake.Client = {"operator"};
      auto Request = Gate.challengeRequest();
      Request.setNonce(asData(Handshake.ClientNonce));
      Request.setClient(Handshake.Client.Value.c_str());
      auto Challenge =
          withTimeout<capnp::Response<wire::Gate::ChallengeResults>>(
              Request.send());
      Handshake.ServerNonce = toBytes(Challenge.getNonce());
      Handshake.Server = {Challenge.getServer().cStr()};
      Verified = inner::verifyMac(
          Keys, Challenge.getKeyId(), inner::auth_purpose::AdminServer,
          inner::handshakeBytes(Handshake), toBytes(Challenge.getProof()));
      if (Verified) {
        sendProof(Gate, Keys.front(), Handshake);
      }
    });
    KJ_IF_MAYBE (Exception, Failure) {
      return makeError(error_code::Unauthorized, "admin.authenticate",
                       *Exception);
    }
    if (!Verified) {
      return error{error_code::Unauthorized, "admin.authenticate", Address,
                   "the node failed to prove that it holds an admin key"};
    }
    return done();
  }

  void sendProof(wire::Gate::Client &Gate, const inner::auth_key &Key,
                 const inner::handshake &Handshake) {
    auto Proof = inner::computeMac(Key, inner::auth_purpose::AdminClient,
                                   inner::handshakeBytes(Handshake));
    auto Request = Gate.authenticateRequest();
    Request.setKeyId(Key.Id);
    Request.setProof(capnp::Data::Reader(Proof.data(), Proof.size()));
    Admin = withTimeout<capnp::Response<wire::Gate::AuthenticateResults>>(
                Request.send())
                .getAdmin();
  }

  /** Sends a request and reads its response. Any exception is reported as
   * Timeout, because the node may have received the request. */
  template <class T, class R, class F>
  auto call(const char *Step, capnp::Request<T, R> &&Request, F Read)
      -> result<std::invoke_result_t<F, typename R::Reader>> {
    using value = std::invoke_result_t<F, typename R::Reader>;
    auto Value = value();
    auto Failure = kj::runCatchingExceptions([&] {
      auto Response = withTimeout<capnp::Response<R>>(Request.send());
      Value = Read(static_cast<typename R::Reader>(Response));
    });
    KJ_IF_MAYBE (Exception, Failure) {
      return makeError(error_code::Timeout, Step, *Exception);
    }
    return Value;
  }

  auto client() -> wire::Admin::Client & {
    KJ_IF_MAYBE (Client, Admin) {
      return *Client;
    }
    KJ_FAIL_REQUIRE("not connected");
  }
};

admin_client::admin_client(std::unique_ptr<impl> State)
    : Impl(std::move(State)) {}

admin_client::~admin_client() = default;

auto admin_client::connect(const std::string &Address,
                           const inner::auth_keys &Keys, millis Timeout)
    -> result<std::unique_ptr<admin_client>> {
  auto State = std::make_unique<impl>(Address, Timeout);
  if (auto Connected = State->connect(); !isOk(Connected)) {
    return errorOf(Connected);
  }
  if (auto Authenticated = State->authenticate(Keys); !isOk(Authenticated)) {
    return errorOf(Authenticated);
  }
  return std::unique_ptr<admin_client>(new admin_client(std::move(State)));
}

auto admin_client::apply(const request_id &Request, const std::string &Text,
                         const std::string &File) -> result<outcome> {
  auto Call = Impl->client().applyRequest();
  Call.setRequestId(Request.Value.c_str());
  Call.setDeclaration(Text.c_str());
  Call.setFile(File.c_str());
  return Impl->call("admin.apply", std::move(Call), [](auto Results) {
    return readOutcome(Results.getOutcome());
  });
}

auto admin_client::startMove(const request_id &Request,
                             const move_request &Move) -> result<outcome> {
  auto Call = Impl->client().startMoveRequest();
  Call.setRequestId(Request.Value.c_str());
  writeMove(Call.initMove(), Move);
  return Impl->call("admin.move", std::move(Call), [](auto Results) {
    return readOutcome(Results.getOutcome());
  });
}

auto admin_client::takeBackMove(const request_id &Request,
                                const service_id &Service) -> result<outcome> {
  auto Call = Impl->client().takeBackMoveRequest();
  Call.setRequestId(Request.Value.c_str());
  Call.setService(Service.Value.c_str());
  return Impl->call("admin.take_back_move", std::move(Call), [](auto Results) {
    return readOutcome(Results.getOutcome());
  });
}

auto admin_client::setZone(const request_id &Request, const zone_id &Zone,
                           bool InService) -> result<outcome> {
  auto Call = Impl->client().setZoneRequest();
  Call.setRequestId(Request.Value.c_str());
  Call.setZone(Zone.Value.c_str());
  Call.setInService(InService);
  return Impl->call("admin.zone", std::move(Call), [](auto Results) {
    return readOutcome(Results.getOutcome());
  });
}

auto admin_client::findOutcome(const request_id &Request) -> result<outcome> {
  auto Call = Impl->client().outcomeRequest();
  Call.setRequestId(Request.Value.c_str());
  return Impl->call("admin.outcome", std::move(Call), [](auto Results) {
    return readOutcome(Results.getOutcome());
  });
}

auto admin_client::readStatus() -> result<status> {
  return Impl->call("admin.status", Impl->client().statusRequest(),
                    [](auto Results) {
                      return sycamorelb::admin::readStatus(Results.getStatus());
                    });
}

auto admin_client::readDeclaration() -> result<declaration_text> {
  return Impl->call("admin.declaration", Impl->client().declarationRequest(),
                    [](auto Results) {
                      return declaration_text{{Results.getVersion()},
                                              Results.getText().cStr()};
                    });
}

auto admin_client::dump() -> result<std::string> {
  return Impl->call(
      "admin.dump", Impl->client().dumpRequest(),
      [](auto Results) { return std::string(Results.getJson().cStr()); });
}

auto admin_client::drain() -> result<done> {
  return Impl->call("admin.drain", Impl->client().drainRequest(),
                    [](auto) { return done(); });
}

} // namespace sycamorelb::admin
