/** @file server_connection.cpp Registry of caller connections. */
#include "proxy/server_connection.h"

#include <sys/socket.h>
#include <utility>

namespace sycamorelb::proxy {

auto connection_registry::add(int Fd, std::uint32_t Limit,
                              steady_time FirstDeadline)
    -> server_connection * {
  // Set the deadline before the connection is registered: the sweeper shuts
  // down connections whose deadline has passed.
  auto Added = std::make_unique<server_connection>(Fd, FirstDeadline);
  auto *Connection = Added.get();
  auto Lock = std::lock_guard(Mutex);
  if (Connections.size() >= Limit) {
    return nullptr;
  }
  Connections.emplace(Connection, std::move(Added));
  return Connection;
}

void connection_registry::remove(server_connection &Connection) {
  auto Removed = std::unique_ptr<server_connection>();
  auto Lock = std::lock_guard(Mutex);
  if (auto Found = Connections.find(&Connection); Found != Connections.end()) {
    Removed = std::move(Found->second);
    Connections.erase(Found);
  }
}

void connection_registry::shutdownExpired(steady_time Now) {
  auto NowMicros = Now.time_since_epoch().count();
  auto Lock = std::lock_guard(Mutex);
  for (const auto &[Key, Connection] : Connections) {
    if (Connection->Phase.load() != connection_phase::Busy &&
        Connection->Deadline.load() < NowMicros) {
      ::shutdown(Connection->Socket.fd(), SHUT_RDWR);
    }
  }
}

void connection_registry::shutdownAll() {
  auto Lock = std::lock_guard(Mutex);
  for (const auto &[Key, Connection] : Connections) {
    ::shutdown(Connection->Socket.fd(), SHUT_RDWR);
  }
}

auto connection_registry::size() -> std::uint32_t {
  auto Lock = std::lock_guard(Mutex);
  return static_cast<std::uint32_t>(Connections.size());
}

} // namespace sycamorelb::proxy
