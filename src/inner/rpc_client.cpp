/** @file rpc_client.cpp Client for the RPC between nodes. */
#include "sycamorelb/inner/rpc_client.h"

#include "inner/handshake.h"
#include "inner/wire.h"
#include "sycamorelb/membership/membership_func.h"

#include <algorithm>
#include <atomic>
#include <capnp/rpc-twoparty.h>
#include <map>

namespace sycamorelb::inner {

namespace {

using vat_id = capnp::rpc::twoparty::VatId;

/** Largest incoming message, in 8-byte words. */
constexpr std::uint64_t MessageWords = 256U << 10U;

/** A connection to one peer. Members are destroyed in reverse order: the
 * promise and the capability before the connection that they use. */
struct peer_link {
  std::string Address;
  std::uint64_t LastUse = 0;
  std::size_t InFlight = 0;
  handshake Handshake;
  kj::Own<kj::AsyncIoStream> Stream;
  kj::Own<capnp::TwoPartyVatNetwork> Network;
  kj::Own<capnp::RpcSystem<vat_id>> Rpc;
  kj::Maybe<wire::Peer::Client> Peer;
  kj::Maybe<kj::ForkedPromise<void>> Ready;
};
using shared_link = std::shared_ptr<peer_link>;

/** Progress of one call, from which the error code of a failure is derived. */
struct call_progress {
  bool Sent = false; ///< Whether the request may have reached the peer.
};

/** Sends a request to the peer; the promise resolves after Out was set. The
 * promise does not carry the result, because g++ 12 warns about a variant
 * within kj::Maybe. */
template <class T>
using request_function =
    std::function<kj::Promise<void>(wire::Peer::Client, result<T> &Out)>;

auto corrupt(const char *Step, const char *Message) -> error {
  return {.Code = error_code::Corrupt,
          .Step = Step,
          .Peer = {},
          .Message = Message};
}

/** Fetches the rest of a state in chunks. */
auto readChunks(wire::StateSource::Client Source, std::size_t Size,
                result<std::string> &Out) -> kj::Promise<void> {
  auto Offset = valueOf(Out).size();
  if (Offset == Size) {
    return kj::READY_NOW;
  }
  auto Request = Source.readRequest();
  Request.setOffset(Offset);
  return Request.send().then(
      [Source, Size, Offset, &Out](auto Response) mutable -> kj::Promise<void> {
        auto Chunk = asBytes(Response.getBytes());
        if (Chunk.empty() || Chunk.size() > Size - Offset) {
          Out = corrupt("fetch state",
                        "a chunk is empty or exceeds the size of the state");
          return kj::READY_NOW;
        }
        valueOf(Out).append(Chunk);
        return readChunks(Source, Size, Out);
      });
}

auto readFetched(wire::FetchedRecords::Reader In) -> result<fetched_records> {
  auto Fetched = fetched_records{};
  if (In.getOutcome() > static_cast<std::uint16_t>(fetch_outcome::Fork) ||
      !readRecords(In.getRecords(), Fetched.Records)) {
    return corrupt("fetch records", "the response exceeds a limit");
  }
  Fetched.Outcome = static_cast<fetch_outcome>(In.getOutcome());
  Fetched.Config = readMark(In.getConfig());
  return Fetched;
}

auto readAnswer(wire::Exchange::Reader In)
    -> result<membership::member_exchange> {
  auto Response = membership::member_exchange{};
  if (!readExchange(In, Response)) {
    return corrupt("exchange members", "the response exceeds a limit");
  }
  return Response;
}

auto readVerdicts(capnp::List<wire::ClaimVerdict>::Reader In, std::size_t Size)
    -> result<std::vector<claim_verdict>> {
  auto Verdicts = std::vector<claim_verdict>{};
  if (In.size() != Size) {
    return corrupt("claim", "the number of verdicts is wrong");
  }
  for (auto Item : In) {
    if (!readVerdict(Item, Verdicts.emplace_back())) {
      return corrupt("claim", "a verdict exceeds a limit");
    }
  }
  return Verdicts;
}

} // namespace

struct rpc_client::impl : kj::TaskSet::ErrorHandler {
  rpc_loop &Loop;
  rpc_client_options Options;
  std::atomic<std::size_t> OpenCount{0};
  // Used only on the event-loop thread.
  std::map<std::string, shared_link> Links;
  std::uint64_t UseCount = 0;
  kj::Own<kj::TaskSet> Tasks;

  impl(rpc_loop &EventLoop, const rpc_client_options &ClientOptions)
      : Loop(EventLoop), Options(ClientOptions) {
    Loop.executor().executeSync(
        [this]() { Tasks = kj::heap<kj::TaskSet>(*this); });
  }
  ~impl() {
    Loop.executor().executeSync([this]() {
      Links.clear();
      Tasks = nullptr;
    });
  }

  void taskFailed(kj::Exception && /*Exception*/) override {}

  /** Removes a link. It is destroyed in a later iteration of the event loop,
   * because the caller may run within one of its promises. */
  void dropLink(const shared_link &Link) {
    auto Found = Links.find(Link->Address);
    if (Found != Links.end() && Found->second == Link) {
      Links.erase(Found);
      OpenCount = Links.size();
      Tasks->add(kj::evalLater([Link]() {}));
    }
  }

  /** Runs the handshake; the peer proves its key first. */
  auto authenticate(peer_link &Link, wire::Gate::Client Gate)
      -> kj::Promise<void> {
    auto Request = Gate.challengeRequest();
    Request.setNonce(asData(Link.Handshake.ClientNonce));
    Request.setNode(asText(Options.Self.Value));
    return Request.send().then([this, &Link, Gate](auto Response) mutable {
      auto &Handshake = Link.Handshake;
      Handshake.ServerNonce = std::string(asBytes(Response.getNonce()));
      if (Handshake.ServerNonce.size() != NonceBytes ||
          !readText(Response.getNode(), membership::MaxIdBytes,
                    Handshake.Server.Value) ||
          !verifyMac(Options.Keys, Response.getKeyId(), auth_purpose::RpcServer,
                     handshakeBytes(Handshake), asBytes(Response.getProof()))) {
        kj::throwFatalException(
            KJ_EXCEPTION(FAILED, "the peer does not hold the key"));
      }
      const auto &Key = Options.Keys.front();
      auto Proof =
          computeMac(Key, auth_purpose::RpcClient, handshakeBytes(Handshake));
      auto Next = Gate.authenticateRequest();
      Next.setKeyId(Key.Id);
      Next.setProof(capnp::Data::Reader(Proof.data(), Proof.size()));
      return Next.send().then(
          [&Link](auto Granted) { Link.Peer = Granted.getPeer(); });
    });
  }

  /** Connects and authenticates. */
  auto connect(peer_link &Link) -> kj::Promise<void> {
    return Loop.network()
        .parseAddress(Link.Address.c_str())
        .then([](kj::Own<kj::NetworkAddress> &&Address) {
          auto Connected = Address->connect();
          return Connected.attach(kj::mv(Address));
        })
        .then([this, &Link](kj::Own<kj::AsyncIoStream> &&Stream) {
          Link.Stream = kj::mv(Stream);
          Link.Network = kj::heap<capnp::TwoPartyVatNetwork>(
              *Link.Stream, capnp::rpc::twoparty::Side::CLIENT,
              capnp::ReaderOptions{.traversalLimitInWords = MessageWords,
                                   .nestingLimit = 32});
          Link.Rpc = kj::heap<capnp::RpcSystem<vat_id>>(
              capnp::makeRpcClient(*Link.Network));
          auto Message = capnp::MallocMessageBuilder{8};
          auto Vat = Message.initRoot<vat_id>();
          Vat.setSide(capnp::rpc::twoparty::Side::SERVER);
          return authenticate(Link,
                              Link.Rpc->bootstrap(Vat).castAs<wire::Gate>());
        });
  }

  /** Closes the least recently used idle link.
   * @return false when all links are in use. */
  auto evictIdleLink() -> bool {
    auto LeastRecent = shared_link{};
    for (const auto &[Address, Link] : Links) {
      if (Link->InFlight == 0 &&
          (!LeastRecent || Link->LastUse < LeastRecent->LastUse)) {
        LeastRecent = Link;
      }
    }
    if (LeastRecent) {
      dropLink(LeastRecent);
    }
    return LeastRecent != nullptr;
  }

  /** @return the link to a peer, opened if needed; nullptr when all connections
   * are in use. */
  auto getLink(const std::string &Address) -> shared_link {
    auto Found = Links.find(Address);
    if (Found == Links.end()) {
      if (Links.size() >= Options.MaxConnections && !evictIdleLink()) {
        return nullptr;
      }
      auto Link = std::make_shared<peer_link>();
      Link->Address = Address;
      Link->Handshake = {.ClientNonce = makeNonce(),
                         .ServerNonce = {},
                         .Client = Options.Self,
                         .Server = {}};
      Link->Ready = connect(*Link).fork();
      Found = Links.emplace(Address, Link).first;
      OpenCount = Links.size();
      watchDisconnect(Link);
    }
    Found->second->LastUse = ++UseCount;
    return Found->second;
  }

  /** Removes a link as soon as the peer closes the connection, so that the next
   * call opens a new one. */
  void watchDisconnect(const shared_link &Link) {
    auto Weak = std::weak_ptr<peer_link>(Link);
    auto Watched =
        KJ_ASSERT_NONNULL(Link->Ready)
            .addBranch()
            .then([Weak]() -> kj::Promise<void> {
              auto Strong = Weak.lock();
              return Strong ? Strong->Network->onDisconnect() : kj::READY_NOW;
            });
    // KJ keeps a reference to a continuation that is passed as an lvalue.
    Tasks->add(Watched.catch_([](kj::Exception &&) {}).then([this, Weak]() {
      if (auto Strong = Weak.lock()) {
        dropLink(Strong);
      }
    }));
  }

  /** @return the error of a failed call; removes its link unless the peer is
   * merely overloaded. */
  auto describeFailure(const char *Step, const shared_link &Link, bool Sent,
                       const kj::Exception &Exception) -> error {
    auto Type = Exception.getType();
    auto Code = error_code::Internal;
    if (Type == kj::Exception::Type::OVERLOADED &&
        Exception.getDescription() != "operation timed out"_kj) {
      Code = error_code::Overloaded;
    } else {
      dropLink(Link);
      auto IsLost = Type == kj::Exception::Type::DISCONNECTED ||
                    Type == kj::Exception::Type::OVERLOADED;
      if (IsLost) {
        Code = Sent ? error_code::Timeout : error_code::Unreachable;
      } else if (!Sent) {
        Code = Link->Stream.get() == nullptr ? error_code::Unreachable
                                             : error_code::Unauthorized;
      }
    }
    return {.Code = Code,
            .Step = Step,
            .Peer = Link->Address,
            .Message = Exception.getDescription().cStr()};
  }

  /** Starts a call on the event-loop thread. Out must outlive the promise. */
  template <class T>
  auto startCall(const char *Step, const std::string &Address, millis Timeout,
                 const request_function<T> &SendRequest, result<T> &Out)
      -> kj::Promise<void> {
    auto Link = getLink(Address);
    if (!Link) {
      Out = error{.Code = error_code::Overloaded,
                  .Step = Step,
                  .Peer = Address,
                  .Message = "all connections are in use"};
      return kj::READY_NOW;
    }
    auto Progress = std::make_shared<call_progress>();
    ++Link->InFlight;
    auto Answer = KJ_ASSERT_NONNULL(Link->Ready)
                      .addBranch()
                      .then([Link, Progress, &SendRequest, &Out]() {
                        Progress->Sent = true;
                        return SendRequest(KJ_ASSERT_NONNULL(Link->Peer), Out);
                      });
    return Loop.timer()
        .timeoutAfter(Timeout.count() * kj::MILLISECONDS, kj::mv(Answer))
        .then(
            [this, Link, &Out]() {
              --Link->InFlight;
              if (!isOk(Out)) {
                std::get<1>(Out).Peer = Link->Address;
                dropLink(Link);
              }
            },
            [this, Step, Link, Progress, &Out](kj::Exception &&Exception) {
              --Link->InFlight;
              Out = describeFailure(Step, Link, Progress->Sent, Exception);
            });
  }

  /** Makes a blocking call from a thread other than the event-loop thread. */
  template <class T>
  auto call(const char *Step, const std::string &Address, millis Timeout,
            const request_function<T> &SendRequest) -> result<T> {
    auto Out = result<T>{};
    auto Failure = kj::runCatchingExceptions([&]() {
      Loop.executor().executeSync([&]() {
        return startCall<T>(Step, Address, Timeout, SendRequest, Out);
      });
    });
    KJ_IF_MAYBE (Exception, Failure) {
      return error{.Code = error_code::Internal,
                   .Step = Step,
                   .Peer = Address,
                   .Message = Exception->getDescription().cStr()};
    }
    return Out;
  }
};

rpc_client::rpc_client(rpc_loop &Loop, const rpc_client_options &Options)
    : Impl(std::make_unique<impl>(Loop, Options)) {}
rpc_client::~rpc_client() = default;

auto rpc_client::fetchRecords(const std::string &Address,
                              const membership::config_mark &Mark,
                              millis Timeout) -> result<fetched_records> {
  return Impl->call<fetched_records>(
      "fetch records", Address, Timeout,
      [&Mark](wire::Peer::Client Peer, auto &Out) {
        auto Request = Peer.fetchRecordsRequest();
        writeMark(Request.initMark(), Mark);
        return Request.send().then([&Out](auto Response) {
          Out = readFetched(Response.getFetched());
        });
      });
}

auto rpc_client::fetchState(const std::string &Address, millis Timeout)
    -> result<std::string> {
  auto Limit = Impl->Options.MaxStateBytes;
  return Impl->call<std::string>(
      "fetch state", Address, Timeout,
      [Limit](wire::Peer::Client Peer, auto &Out) {
        return Peer.fetchStateRequest().send().then(
            [Limit, &Out](auto Response) -> kj::Promise<void> {
              if (Response.getSize() > Limit) {
                Out =
                    corrupt("fetch state", "the state exceeds the size limit");
                return kj::READY_NOW;
              }
              return readChunks(Response.getSource(), Response.getSize(), Out);
            });
      });
}

auto rpc_client::exchangeMembers(const std::string &Address,
                                 const membership::member_exchange &Exchange,
                                 millis Timeout)
    -> result<membership::member_exchange> {
  return Impl->call<membership::member_exchange>(
      "exchange members", Address, Timeout,
      [&Exchange](wire::Peer::Client Peer, auto &Out) {
        auto Request = Peer.exchangeMembersRequest();
        writeExchange(Request.initExchange(), Exchange);
        return Request.send().then([&Out](auto Response) {
          Out = readAnswer(Response.getExchange());
        });
      });
}

auto rpc_client::claim(const std::string &Address,
                       const std::vector<claim_request> &Batch, millis Timeout)
    -> result<std::vector<claim_verdict>> {
  if (Batch.size() > MaxClaimBatch) {
    return error{.Code = error_code::InvalidArgument,
                 .Step = "claim",
                 .Peer = Address,
                 .Message = "the batch is too large"};
  }
  return Impl->call<std::vector<claim_verdict>>(
      "claim", Address, Timeout, [&Batch](wire::Peer::Client Peer, auto &Out) {
        auto Request = Peer.claimRequest();
        auto List = Request.initBatch(static_cast<unsigned>(Batch.size()));
        for (auto Index = 0U; Index < Batch.size(); ++Index) {
          writeClaim(List[Index], Batch[Index]);
        }
        return Request.send().then([&Out, Size = Batch.size()](auto Response) {
          Out = readVerdicts(Response.getVerdicts(), Size);
        });
      });
}

auto rpc_client::releaseClaim(const std::string &Address,
                              const claim_request &Claim, millis Timeout)
    -> result<done> {
  return Impl->call<done>("release claim", Address, Timeout,
                          [&Claim](wire::Peer::Client Peer, auto & /*Out*/) {
                            auto Request = Peer.releaseClaimRequest();
                            writeClaim(Request.initClaim(), Claim);
                            return Request.send().ignoreResult();
                          });
}

auto rpc_client::sendEvidence(const std::string &Address,
                              const std::string &Bytes, millis Timeout)
    -> result<done> {
  return Impl->call<done>("send evidence", Address, Timeout,
                          [&Bytes](wire::Peer::Client Peer, auto & /*Out*/) {
                            auto Request = Peer.evidenceRequest();
                            Request.setBytes(asData(Bytes));
                            return Request.send().ignoreResult();
                          });
}

auto rpc_client::openConnections() const -> std::size_t {
  return Impl->OpenCount;
}

} // namespace sycamorelb::inner
