/** @file http_server.cpp HTTP/1.1 server whose idle connections occupy no
 * thread. */
#include "sycamorelb/proxy/http_server.h"

#include "proxy/local_endpoint.h"
#include "proxy/server_connection.h"

#include "sycamorelb/core/clock_func.h"
#include "sycamorelb/proxy/header_name.h"

#include <array>
#include <atomic>
#include <condition_variable>
#include <mutex>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace sycamorelb::proxy {

// Time for the caller to read the response and close. A close with unread input
// sends a reset, which may discard the response at the caller.
static constexpr auto LingerTimeout = millis{2000};
static constexpr auto SweepPeriod = millis{20};

struct http_server::implementation {
  explicit implementation(server_options Options);

  void addConnection(int Fd);
  void acceptConnections();
  void runWorker();
  void runSweeper();
  void refuseQueuedRequests();
  auto dispatch(const epoll_event &Event, bool Refuse) -> bool;
  void handleReadable(server_connection &Connection, bool Refuse);
  void serveBufferedRequests(server_connection &Connection, bool Refuse);
  auto serveRequest(server_connection &Connection, std::size_t HeadSize,
                    bool Refuse) -> exchange_end;
  void handleRequest(exchange &Exchange, bool Refuse);
  void awaitInput(server_connection &Connection, connection_phase Phase,
                  millis Timeout);
  void beginRequest();
  void endRequest();
  void stop();

  server_options Options;
  local_endpoint_server Listener;
  call_handler OnCall;
  connection_registry Registry;
  int EpollFd;
  int StopEventFd; // Eventfd that stops the workers.
  std::uint16_t Port = 0;
  std::atomic<bool> Draining{false};
  std::atomic<bool> Stopping{false};
  std::atomic<bool> AcceptorDone{false};
  std::atomic<std::uint64_t> Accepted{0};
  std::atomic<std::uint64_t> Requests{0};
  std::atomic<std::uint64_t> BadRequests{0};
  std::atomic<std::uint64_t> Overloaded{0};
  std::atomic<std::uint32_t> Busy{0};
  std::atomic<std::int64_t> AllBusySince{0}; // Steady µs; 0 while one is free.
  std::mutex IdleMutex; // Leaf lock: no other lock is taken while it is held.
  std::condition_variable IdleChanged;
  std::thread Acceptor;
  std::thread Sweeper;
  std::vector<std::thread> Workers;
};

http_server::implementation::implementation(server_options Options)
    : Options(std::move(Options)),
      Listener([this](int Fd) { addConnection(Fd); }),
      EpollFd(::epoll_create1(EPOLL_CLOEXEC)),
      StopEventFd(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
  auto Event = epoll_event{EPOLLIN, {.ptr = nullptr}};
  ::epoll_ctl(EpollFd, EPOLL_CTL_ADD, StopEventFd, &Event);
}

void http_server::implementation::addConnection(int Fd) {
  ++Accepted;
  prepareSocket(Fd);
  // At the limit the registry has closed the connection already.
  auto *Connection = Registry.add(Fd, Options.MaxConnections,
                                  steadyNow() + Options.HeadTimeout);
  if (Connection == nullptr) {
    return;
  }
  auto Event =
      epoll_event{EPOLLIN | EPOLLRDHUP | EPOLLONESHOT, {.ptr = Connection}};
  ::epoll_ctl(EpollFd, EPOLL_CTL_ADD, Fd, &Event);
}

void http_server::implementation::acceptConnections() {
  // cpp-httplib leaves its accept loop on some transient errors; the port is
  // then bound again.
  while (!Stopping) {
    Listener.listen_after_bind();
    if (!Stopping && Listener.bind(Options.Host, Port) == 0) {
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
  }
  AcceptorDone = true;
}

void http_server::implementation::awaitInput(server_connection &Connection,
                                             connection_phase Phase,
                                             millis Timeout) {
  auto Deadline = (steadyNow() + Timeout).time_since_epoch().count();
  Connection.Deadline = Deadline;
  Connection.Phase = Phase;
  auto Event =
      epoll_event{EPOLLIN | EPOLLRDHUP | EPOLLONESHOT, {.ptr = &Connection}};
  // From here on another thread may use or remove the connection.
  ::epoll_ctl(EpollFd, EPOLL_CTL_MOD, Connection.Socket.fd(), &Event);
}

auto http_server::implementation::dispatch(const epoll_event &Event,
                                           bool Refuse) -> bool {
  if (Event.data.ptr == nullptr) {
    return false;
  }
  handleReadable(*static_cast<server_connection *>(Event.data.ptr), Refuse);
  return true;
}

void http_server::implementation::runWorker() {
  auto Event = epoll_event();
  for (;;) {
    auto Count = ::epoll_wait(EpollFd, &Event, 1, -1);
    if (Count == 1 && !dispatch(Event, false)) {
      return;
    }
  }
}

void http_server::implementation::runSweeper() {
  while (!Stopping) {
    auto Lock = std::unique_lock(IdleMutex);
    IdleChanged.wait_for(Lock, SweepPeriod, [this] { return Stopping.load(); });
    Lock.unlock();
    Registry.shutdownExpired(steadyNow());
    refuseQueuedRequests();
  }
}

void http_server::implementation::refuseQueuedRequests() {
  auto Event = epoll_event();
  for (;;) {
    auto Since = AllBusySince.load();
    auto Now = steadyNow().time_since_epoch().count();
    if (Since == 0 || Now - Since < micros(Options.QueueTimeout).count() ||
        ::epoll_wait(EpollFd, &Event, 1, 0) != 1 || !dispatch(Event, true)) {
      return;
    }
  }
}

void http_server::implementation::handleReadable(server_connection &Connection,
                                                 bool Refuse) {
  auto Lingering = Connection.Phase.load() == connection_phase::Linger;
  auto Status = Connection.Socket.receiveAvailable();
  if (Status == io_status::Closed || Status == io_status::Failed || Stopping) {
    Registry.remove(Connection);
    return;
  }
  if (Lingering) {
    Connection.Socket.consume(Connection.Socket.input().size());
    auto TimeLeft =
        Connection.Deadline.load() - steadyNow().time_since_epoch().count();
    awaitInput(Connection, connection_phase::Linger,
               std::chrono::ceil<millis>(micros(TimeLeft)));
    return;
  }
  serveBufferedRequests(Connection, Refuse);
}

void http_server::implementation::serveBufferedRequests(
    server_connection &Connection, bool Refuse) {
  auto HeadStarted = Connection.Phase.load() == connection_phase::Head;
  for (;;) {
    auto Input = Connection.Socket.input();
    auto Head = findHeadEnd(Input);
    if (!Head.Found && Input.size() <= Options.MaxHeadBytes) {
      break;
    }
    Connection.Phase = connection_phase::Busy;
    HeadStarted = false;
    auto Size = Head.Found ? Head.Size : Input.size();
    switch (serveRequest(Connection, Size, Refuse)) {
    case exchange_end::Keep:
      continue;
    case exchange_end::Close:
      ::shutdown(Connection.Socket.fd(), SHUT_WR);
      awaitInput(Connection, connection_phase::Linger, LingerTimeout);
      return;
    case exchange_end::Abort:
      Connection.Socket.resetOnClose();
      Registry.remove(Connection);
      return;
    }
  }
  if (Connection.Socket.input().empty()) {
    Connection.Socket.releaseBuffer();
    awaitInput(Connection, connection_phase::Idle, Options.IdleTimeout);
    return;
  }
  // The timeout for a head counts from its first byte, however slowly the rest
  // arrives.
  auto TimeLeft = Options.HeadTimeout;
  if (HeadStarted) {
    auto Deadline = Connection.Deadline.load();
    TimeLeft = std::chrono::ceil<millis>(
        micros(Deadline - steadyNow().time_since_epoch().count()));
  }
  awaitInput(Connection, connection_phase::Head, TimeLeft);
}

auto http_server::implementation::serveRequest(server_connection &Connection,
                                               std::size_t HeadSize,
                                               bool Refuse) -> exchange_end {
  auto Limits = head_limits{Options.MaxHeadBytes, Options.MaxHeaders,
                            Options.MaxBodyBytes};
  auto Parsed =
      parseRequestHead(Connection.Socket.input().substr(0, HeadSize), Limits);
  auto BodyLimits = exchange_limits{Options.MaxBodyBytes, Options.BodyTimeout};
  if (auto *Error = std::get_if<framing_error>(&Parsed)) {
    ++BadRequests;
    Connection.Socket.consume(Connection.Socket.input().size());
    auto Exchange =
        exchange(Connection.Socket, request_head(), BodyLimits, Draining);
    Exchange.closeAfterResponse();
    Exchange.respond(Error->Status, {{std::string(OutcomeHeader), "not-run"}},
                     Error->Reason + "\n");
    return Exchange.end();
  }
  Connection.Socket.consume(HeadSize);
  auto Exchange =
      exchange(Connection.Socket, std::move(std::get<request_head>(Parsed)),
               BodyLimits, Draining);
  handleRequest(Exchange, Refuse);
  return Exchange.end();
}

void http_server::implementation::handleRequest(exchange &Exchange,
                                                bool Refuse) {
  if (Refuse) {
    ++Overloaded;
    Exchange.respond(503,
                     {{std::string(OutcomeHeader), "not-run"},
                      {std::string(ReasonHeader), "all workers busy"}},
                     "not run: all workers busy\n");
    return;
  }
  beginRequest();
  if (Listener.hasEndpoint(Exchange.head())) {
    Listener.serveEndpoint(Exchange);
  } else if (!OnCall) {
    Exchange.respond(404, {}, "no such endpoint\n");
  } else if (Exchange.isDraining()) {
    Exchange.respond(503,
                     {{std::string(OutcomeHeader), "not-run"},
                      {std::string(ReasonHeader), "node is draining"}},
                     "not run: node is draining\n");
  } else {
    OnCall(Exchange);
  }
  endRequest();
}

void http_server::implementation::beginRequest() {
  ++Requests;
  if (++Busy == Options.Workers) {
    AllBusySince = steadyNow().time_since_epoch().count();
  }
}

void http_server::implementation::endRequest() {
  AllBusySince = 0;
  if (--Busy == 0 && Draining) {
    auto Lock = std::lock_guard(IdleMutex);
    IdleChanged.notify_all();
  }
}

void http_server::implementation::stop() {
  if (Stopping.exchange(true) || !Acceptor.joinable()) {
    return;
  }
  {
    auto Lock = std::lock_guard(IdleMutex);
    IdleChanged.notify_all();
  }
  // cpp-httplib ignores a stop request while it is being bound again.
  while (!AcceptorDone) {
    Listener.requestStop();
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  Acceptor.join();
  Registry.shutdownAll();
  ::eventfd_write(StopEventFd, 1);
  Sweeper.join();
  for (auto &Worker : Workers) {
    Worker.join();
  }
}

http_server::http_server(server_options Options)
    : Impl(std::make_unique<implementation>(std::move(Options))) {}

http_server::~http_server() {
  stop();
  ::close(Impl->StopEventFd);
  ::close(Impl->EpollFd);
}

void http_server::handle(const std::string &Method, const std::string &Path,
                         local_handler Handler) {
  Impl->Listener.addEndpoint(Method, Path, std::move(Handler));
}

void http_server::handleCalls(call_handler Handler) {
  Impl->OnCall = std::move(Handler);
}

auto http_server::start() -> result<std::uint16_t> {
  auto &Server = *Impl;
  Server.Port = Server.Listener.bind(Server.Options.Host, Server.Options.Port);
  if (Server.Port == 0) {
    return error{error_code::Unreachable, "bind",
                 Server.Options.Host + ":" +
                     std::to_string(Server.Options.Port),
                 "the address cannot be bound"};
  }
  Server.Acceptor = std::thread([&Server] { Server.acceptConnections(); });
  Server.Sweeper = std::thread([&Server] { Server.runSweeper(); });
  for (auto Index = 0U; Index < Server.Options.Workers; ++Index) {
    Server.Workers.emplace_back([&Server] { Server.runWorker(); });
  }
  // cpp-httplib ignores a stop request before its loop runs.
  while (!Server.Listener.is_running()) {
    std::this_thread::yield();
  }
  return Server.Port;
}

void http_server::beginDrain() { Impl->Draining = true; }

auto http_server::waitIdle(millis Timeout) -> bool {
  auto Lock = std::unique_lock(Impl->IdleMutex);
  return Impl->IdleChanged.wait_for(Lock, Timeout,
                                    [this] { return Impl->Busy == 0; });
}

void http_server::stop() { Impl->stop(); }

auto http_server::stats() const -> server_stats {
  return {Impl->Accepted,   Impl->Requests,        Impl->BadRequests,
          Impl->Overloaded, Impl->Registry.size(), Impl->Busy};
}

} // namespace sycamorelb::proxy
