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
  std::shared_ptr<connection_watch> Watch;
  std::atomic<std::size_t> &Open;
  capnp::TwoPartyVatNetwork Network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> Rpc;

  connection(kj::Own<kj::AsyncIoStream> Accepted,
             std::shared_ptr<connection_watch> Note,
             capnp::Capability::Client Bootstrap, std::uint64_t Words,
             std::atomic<std::size_t> &Count)
      : Stream(kj::mv(Accepted)), Watch(std::move(Note)), Open(Count),
        Network(*Stream, capnp::rpc::twoparty::Side::SERVER,
                capnp::ReaderOptions{.traversalLimitInWords = Words,
                                     .nestingLimit = 32}),
        Rpc(capnp::makeRpcServer(Network, kj::mv(Bootstrap))) {
    // Calls whose parameters are not released yet hold at most two messages.
    Rpc.setFlowLimit(2 * Words);
    ++Open;
  }
  ~connection() { --Open; }
  connection(const connection &) = delete;
  auto operator=(const connection &) -> connection & = delete;
};

} // namespace

struct rpc_loop::impl : kj::TaskSet::ErrorHandler {
  rpc_loop_options Options;
  worker_pool Workers;
  std::atomic<std::size_t> Open{0};
  kj::Own<const kj::Executor> Executor;
  kj::Own<kj::CrossThreadPromiseFulfiller<void>> Stop;
  // Set while the thread runs.
  kj::AsyncIoContext *Io = nullptr;
  kj::Own<kj::TaskSet> Tasks;
  std::thread Thread;

  explicit impl(const rpc_loop_options &Given)
      : Options(Given), Workers(Given.Workers, Given.MaxQueuedJobs) {
    auto Started = std::promise<void>{};
    auto Ready = Started.get_future();
    Thread = std::thread([this, &Started]() { run(Started); });
    Ready.wait();
  }
  ~impl() {
    // Running jobs fulfil promises of the loop, so they end before it does.
    Workers.stop();
    Stop->fulfill();
    Thread.join();
  }

  void stopServing() {
    Workers.stop();
    // The old task set holds the listeners and connections; it must be
    // destroyed on the thread of the loop.
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

  /** A connection or a listener failed; the others go on. */
  void taskFailed(kj::Exception && /*Exception*/) override {}

  /** Closes a connection that never authenticated or is not in use. */
  auto watch(connection_watch &Watch, steady_time Accepted)
      -> kj::Promise<void> {
    return Io->provider->getTimer()
        .afterDelay(1 * kj::SECONDS)
        .then([this, &Watch, Accepted]() -> kj::Promise<void> {
          auto Now = steadyNow();
          auto IsLate =
              !Watch.Trusted && Now - Accepted >= Options.HandshakeTime;
          auto IsIdle = Now - Watch.LastUse >= Options.IdleTime;
          if (IsLate || IsIdle) {
            return kj::READY_NOW;
          }
          return watch(Watch, Accepted);
        });
  }

  void startConnection(kj::Own<kj::AsyncIoStream> Stream,
                       const watched_bootstrap &MakeBootstrap, bool Watched) {
    if (Open >= Options.MaxConnections) {
      return;
    }
    auto Watch = std::make_shared<connection_watch>();
    Watch->LastUse = steadyNow();
    auto Connection =
        kj::heap<connection>(kj::mv(Stream), Watch, MakeBootstrap(Watch),
                             Options.MessageWords, Open);
    auto Ended = Connection->Network.onDisconnect();
    if (Watched) {
      Ended = Ended.exclusiveJoin(watch(*Watch, Watch->LastUse));
    }
    Tasks->add(Ended.attach(kj::mv(Connection)));
  }

  auto acceptAll(kj::Own<kj::ConnectionReceiver> Receiver,
                 watched_bootstrap MakeBootstrap, bool Watched)
      -> kj::Promise<void> {
    auto &Accepting = *Receiver;
    return Accepting.accept()
        .catch_([this](kj::Exception &&) {
          // Such as too many open files; accepting again at once would spin.
          return Io->provider->getTimer()
              .afterDelay(100 * kj::MILLISECONDS)
              .then([]() { return kj::Own<kj::AsyncIoStream>(); });
        })
        .then([this, Receiver = kj::mv(Receiver),
               Make = std::move(MakeBootstrap),
               Watched](kj::Own<kj::AsyncIoStream> &&Stream) mutable {
          if (Stream.get() != nullptr) {
            startConnection(kj::mv(Stream), Make, Watched);
          }
          return acceptAll(kj::mv(Receiver), std::move(Make), Watched);
        });
  }

  auto listen(const std::string &Address, watched_bootstrap MakeBootstrap,
              bool Watched) -> result<std::uint16_t> {
    auto Port = unsigned{0};
    auto Failure = kj::runCatchingExceptions([&]() {
      Port = Executor->executeSync([&]() {
        return Io->provider->getNetwork()
            .parseAddress(Address.c_str())
            .then([&](kj::Own<kj::NetworkAddress> &&Parsed) {
              auto Receiver = Parsed->listen();
              auto Bound = Receiver->getPort();
              Tasks->add(acceptAll(kj::mv(Receiver), MakeBootstrap, Watched));
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

auto rpc_loop::addWatchedListener(const std::string &Address,
                                  watched_bootstrap MakeBootstrap)
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
auto rpc_loop::openConnections() const -> std::size_t { return Impl->Open; }

} // namespace sycamorelb::inner
