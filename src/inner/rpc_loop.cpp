/** @file rpc_loop.cpp The KJ event-loop thread and its listeners. */
#include "sycamorelb/inner/rpc_loop.h"

#include "inner/worker_pool.h"
#include "sycamorelb/core/clock_func.h"

#include <atomic>
#include <capnp/rpc-twoparty.h>
#include <future>
#include <thread>

namespace sycamorelb::inner {

namespace {

/** An accepted connection with its RPC state. */
struct connection {
  kj::Own<kj::AsyncIoStream> Stream;
  std::shared_ptr<connection_activity> Activity;
  std::atomic<std::size_t> &OpenCount;
  capnp::TwoPartyVatNetwork Network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> Rpc;

  connection(kj::Own<kj::AsyncIoStream> Accepted,
             std::shared_ptr<connection_activity> SharedActivity,
             capnp::Capability::Client Bootstrap, std::uint64_t MaxMessageWords,
             std::atomic<std::size_t> &OpenConnections)
      : Stream(kj::mv(Accepted)), Activity(std::move(SharedActivity)),
        OpenCount(OpenConnections),
        Network(*Stream, capnp::rpc::twoparty::Side::SERVER,
                capnp::ReaderOptions{.traversalLimitInWords = MaxMessageWords,
                                     .nestingLimit = 32}),
        Rpc(capnp::makeRpcServer(Network, kj::mv(Bootstrap))) {
    // Limits the memory for parameters of unfinished calls to two messages.
    Rpc.setFlowLimit(2 * MaxMessageWords);
    ++OpenCount;
  }
  ~connection() { --OpenCount; }
  connection(const connection &) = delete;
  auto operator=(const connection &) -> connection & = delete;
};

} // namespace

struct rpc_loop::impl : kj::TaskSet::ErrorHandler {
  rpc_loop_options Options;
  worker_pool Workers;
  std::atomic<std::size_t> OpenCount{0};
  kj::Own<const kj::Executor> Executor;
  kj::Own<kj::CrossThreadPromiseFulfiller<void>> Stop;
  // Set while the thread runs.
  kj::AsyncIoContext *Io = nullptr;
  kj::Own<kj::TaskSet> Tasks;
  std::thread Thread;

  explicit impl(const rpc_loop_options &LoopOptions)
      : Options(LoopOptions),
        Workers(LoopOptions.Workers, LoopOptions.MaxQueuedJobs) {
    auto Started = std::promise<void>{};
    auto Ready = Started.get_future();
    Thread = std::thread([this, &Started]() { run(Started); });
    Ready.wait();
  }
  ~impl() {
    // Running jobs fulfil promises of the loop, so they must end first.
    Workers.stop();
    Stop->fulfill();
    Thread.join();
  }

  void stopServing() {
    Workers.stop();
    // The old task set owns the listeners and connections; it must be destroyed
    // on the event-loop thread.
    Executor->executeSync([this]() { Tasks = kj::heap<kj::TaskSet>(*this); });
  }

  /** Body of the event-loop thread. */
  void run(std::promise<void> &Started) {
    auto Context = kj::setupAsyncIo();
    auto Stopping = kj::newPromiseAndCrossThreadFulfiller<void>();
    Executor = kj::getCurrentThreadExecutor().addRef();
    Stop = kj::mv(Stopping.fulfiller);
    Io = &Context;
    Tasks = kj::heap<kj::TaskSet>(*this);
    Started.set_value();
    Stopping.promise.wait(Context.waitScope);
    Tasks = nullptr;
  }

  /** Ignores the failure of one connection or listener; the others continue. */
  void taskFailed(kj::Exception && /*Exception*/) override {}

  /** Resolves when the handshake or idle timeout of a connection has passed;
   * the caller then closes it. */
  auto waitUntilExpired(connection_activity &Activity, steady_time AcceptedAt)
      -> kj::Promise<void> {
    return Io->provider->getTimer()
        .afterDelay(1 * kj::SECONDS)
        .then([this, &Activity, AcceptedAt]() -> kj::Promise<void> {
          auto Now = steadyNow();
          auto IsUnauthenticated = !Activity.Authenticated &&
                                   Now - AcceptedAt >= Options.HandshakeTimeout;
          auto IsIdle = Now - Activity.LastUse >= Options.IdleTimeout;
          if (IsUnauthenticated || IsIdle) {
            return kj::READY_NOW;
          }
          return waitUntilExpired(Activity, AcceptedAt);
        });
  }

  void startConnection(kj::Own<kj::AsyncIoStream> Stream,
                       const bootstrap_factory &MakeBootstrap,
                       bool HasTimeouts) {
    if (OpenCount >= Options.MaxConnections) {
      return;
    }
    auto Activity = std::make_shared<connection_activity>();
    Activity->LastUse = steadyNow();
    auto Connection =
        kj::heap<connection>(kj::mv(Stream), Activity, MakeBootstrap(Activity),
                             Options.MessageWords, OpenCount);
    auto Ended = Connection->Network.onDisconnect();
    if (HasTimeouts) {
      Ended =
          Ended.exclusiveJoin(waitUntilExpired(*Activity, Activity->LastUse));
    }
    Tasks->add(Ended.attach(kj::mv(Connection)));
  }

  auto acceptConnections(kj::Own<kj::ConnectionReceiver> Receiver,
                         bootstrap_factory MakeBootstrap, bool HasTimeouts)
      -> kj::Promise<void> {
    auto &Accepting = *Receiver;
    return Accepting.accept()
        .catch_([this](kj::Exception &&) {
          // On errors such as too many open files, an immediate retry would
          // keep the loop busy.
          return Io->provider->getTimer()
              .afterDelay(100 * kj::MILLISECONDS)
              .then([]() { return kj::Own<kj::AsyncIoStream>(); });
        })
        .then([this, Receiver = kj::mv(Receiver),
               Make = std::move(MakeBootstrap),
               HasTimeouts](kj::Own<kj::AsyncIoStream> &&Stream) mutable {
          if (Stream.get() != nullptr) {
            startConnection(kj::mv(Stream), Make, HasTimeouts);
          }
          return acceptConnections(kj::mv(Receiver), std::move(Make),
                                   HasTimeouts);
        });
  }

  auto listen(const std::string &Address, bootstrap_factory MakeBootstrap,
              bool HasTimeouts) -> result<std::uint16_t> {
    auto Port = unsigned{0};
    auto Failure = kj::runCatchingExceptions([&]() {
      Port = Executor->executeSync([&]() {
        return Io->provider->getNetwork()
            .parseAddress(Address.c_str())
            .then([&](kj::Own<kj::NetworkAddress> &&Parsed) {
              auto Receiver = Parsed->listen();
              auto Bound = Receiver->getPort();
              Tasks->add(acceptConnections(kj::mv(Receiver), MakeBootstrap,
                                           HasTimeouts));
              return Bound;
            });
      });
    });
    KJ_IF_MAYBE (Exception, Failure) {
      return error{.Code = error_code::Unreachable,
                   .Step = "listen for RPC",
                   .Peer = Address,
                   .Message = Exception->getDescription().cStr()};
    }
    return static_cast<std::uint16_t>(Port);
  }
};

rpc_loop::rpc_loop(const rpc_loop_options &Options)
    : Impl(std::make_unique<impl>(Options)) {}
rpc_loop::~rpc_loop() = default;

void rpc_loop::stopServing() { Impl->stopServing(); }

auto rpc_loop::addListener(
    const std::string &Address,
    std::function<capnp::Capability::Client()> MakeBootstrap)
    -> result<std::uint16_t> {
  return Impl->listen(
      Address,
      [Make = std::move(MakeBootstrap)](const auto &) { return Make(); },
      false);
}

auto rpc_loop::addListenerWithTimeouts(const std::string &Address,
                                       bootstrap_factory MakeBootstrap)
    -> result<std::uint16_t> {
  return Impl->listen(Address, std::move(MakeBootstrap), true);
}

auto rpc_loop::runOnWorker(std::function<void()> Job) -> kj::Promise<void> {
  auto Pair = kj::newPromiseAndCrossThreadFulfiller<void>();
  auto Fulfiller =
      std::make_shared<kj::Own<kj::CrossThreadPromiseFulfiller<void>>>(
          kj::mv(Pair.fulfiller));
  auto Accepted = Impl->Workers.submit([Job = std::move(Job), Fulfiller]() {
    auto Failure = kj::runCatchingExceptions([&]() { Job(); });
    KJ_IF_MAYBE (Exception, Failure) {
      (*Fulfiller)->reject(kj::mv(*Exception));
    } else {
      (*Fulfiller)->fulfill();
    }
  });
  if (!Accepted) {
    return KJ_EXCEPTION(OVERLOADED, "too many requests wait for a worker");
  }
  return kj::mv(Pair.promise);
}

auto rpc_loop::executor() const -> const kj::Executor & {
  return *Impl->Executor;
}
auto rpc_loop::network() -> kj::Network & {
  return Impl->Io->provider->getNetwork();
}
auto rpc_loop::timer() -> kj::Timer & { return Impl->Io->provider->getTimer(); }
auto rpc_loop::openConnections() const -> std::size_t {
  return Impl->OpenCount;
}

} // namespace sycamorelb::inner
