/** @file http_endpoint.cpp Minimal HTTP server for the interfaces of a node. */
#include "sidecar/http_endpoint.h"

#include "sidecar/caller_relief.h"
#include "sycamorelb/event/stream.h"
#include "sycamorelb/http/server_connection.h"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

namespace sycamorelb::sidecar {

/** Maximum size of a request body, in bytes; heartbeats have less than 1000. */
static constexpr auto MaxBodyBytes = std::size_t{64} * 1024;
/** Silence after which an unfinished request or an unread answer ends its
 * connection. */
static constexpr auto StallTimeout = micros(10'000'000);
/** Interval of the checks for that. */
static constexpr auto StallCheckInterval = micros(2'000'000);

struct http_endpoint::implementation {
  using connection = std::shared_ptr<http::server_connection>;

  implementation(node_state &State, handler Handle)
      : State(State), Handle(std::move(Handle)),
        MaxConnections(maxListenerConnections(State.Settings.FileDescriptors)) {
  }
  ~implementation() { State.Loop.cancelTimer(StallTimer); }
  implementation(const implementation &) = delete;
  auto operator=(const implementation &) -> implementation & = delete;

  node_state &State;
  handler Handle;
  std::size_t MaxConnections;
  std::unique_ptr<event::listener> Listener;
  std::set<connection> Connections;
  event::timer_id StallTimer{0};

  void close(const connection &Connection, const char *Cause) {
    ++State.Counters.CallersClosed[Cause];
    Connection->close();
    Connections.erase(Connection);
  }

  /** Closes the connection that is silent for the longest time if there are as
   * many as allowed. */
  void makeRoom() {
    if (Connections.size() < MaxConnections) {
      return;
    }
    auto Silent =
        *std::min_element(Connections.begin(), Connections.end(),
                          [](const connection &Left, const connection &Right) {
                            return Left->progress().LastActivityAt <
                                   Right->progress().LastActivityAt;
                          });
    close(Silent, "interface: no descriptor");
  }

  void accept(std::shared_ptr<event::stream> Stream) {
    makeRoom();
    Stream->limitUnread(MaxBodyBytes);
    auto Options = http::server_options();
    Options.Limits.MaxBodyBytes = MaxBodyBytes;
    auto Connection = http::server_connection::create(
        std::move(Stream), std::move(Options),
        [this](const connection &Caller, http::exchange_number Exchange,
               const http::request &Request) {
          Caller->respond(Exchange, Handle(Request), false);
        });
    auto Weak = std::weak_ptr<http::server_connection>(Connection);
    Connection->OnClosed = [this, Weak] { Connections.erase(Weak.lock()); };
    Connections.insert(std::move(Connection));
  }

  void closeStalled() {
    auto Now = State.Loop.now();
    auto Stalled = std::vector<connection>();
    for (const auto &Connection : Connections) {
      auto HasWork = Connection->isReading() || Connection->hasUnsentOutput();
      if (HasWork &&
          Now - Connection->progress().LastActivityAt > StallTimeout) {
        Stalled.push_back(Connection);
      }
    }
    for (const auto &Connection : Stalled) {
      close(Connection, "interface: stalled");
    }
    StallTimer = State.Loop.addTimer(Now + StallCheckInterval,
                                     [this] { closeStalled(); });
  }
};

http_endpoint::http_endpoint(std::unique_ptr<implementation> Impl)
    : Impl(std::move(Impl)) {}

http_endpoint::~http_endpoint() = default;

auto http_endpoint::open(node_state &State, const event::endpoint &Address,
                         handler Handle)
    -> result<std::unique_ptr<http_endpoint>> {
  auto Impl = std::make_unique<implementation>(State, std::move(Handle));
  auto *Self = Impl.get();
  auto Opened = event::listener::open(
      State.Loop, Address, [Self](std::shared_ptr<event::stream> Stream) {
        Self->accept(std::move(Stream));
      });
  if (!isOk(Opened)) {
    return errorOf(Opened);
  }
  Impl->Listener = std::move(valueOf(Opened));
  Impl->Listener->AcceptsPerEvent = acceptsPerEvent(Impl->MaxConnections);
  Impl->closeStalled();
  return std::unique_ptr<http_endpoint>(new http_endpoint(std::move(Impl)));
}

} // namespace sycamorelb::sidecar
