/** @file http_endpoint.cpp Minimal HTTP server for the interfaces of a node. */
#include "sidecar/http_endpoint.h"

#include "sycamorelb/event/stream.h"
#include "sycamorelb/http/server_connection.h"

#include <set>

namespace sycamorelb::sidecar {

/** Maximum size of a request body, in bytes. */
static constexpr auto MaxBodyBytes = std::size_t{256} * 1024;
/** Maximum number of open connections; further ones are closed at once. */
static constexpr auto MaxConnections = std::size_t{256};

struct http_endpoint::implementation {
  handler Handle;
  std::unique_ptr<event::listener> Listener;
  std::set<std::shared_ptr<http::server_connection>> Connections;

  void accept(std::shared_ptr<event::stream> Stream) {
    if (Connections.size() >= MaxConnections) {
      return Stream->close();
    }
    auto Options = http::server_options();
    Options.Limits.MaxBodyBytes = MaxBodyBytes;
    auto Connection = http::server_connection::create(
        std::move(Stream), std::move(Options),
        [this](const std::shared_ptr<http::server_connection> &Caller,
               http::exchange_number Exchange, const http::request &Request) {
          Caller->respond(Exchange, Handle(Request), false);
        });
    auto Weak = std::weak_ptr<http::server_connection>(Connection);
    Connection->OnClosed = [this, Weak] { Connections.erase(Weak.lock()); };
    Connections.insert(std::move(Connection));
  }
};

http_endpoint::http_endpoint(std::unique_ptr<implementation> Impl)
    : Impl(std::move(Impl)) {}

http_endpoint::~http_endpoint() = default;

auto http_endpoint::open(event::loop &Loop, const event::endpoint &Address,
                         handler Handle)
    -> result<std::unique_ptr<http_endpoint>> {
  auto Impl = std::make_unique<implementation>();
  auto *Self = Impl.get();
  Impl->Handle = std::move(Handle);
  auto Opened = event::listener::open(
      Loop, Address, [Self](std::shared_ptr<event::stream> Stream) {
        Self->accept(std::move(Stream));
      });
  if (!isOk(Opened)) {
    return errorOf(Opened);
  }
  Impl->Listener = std::move(valueOf(Opened));
  return std::unique_ptr<http_endpoint>(new http_endpoint(std::move(Impl)));
}

} // namespace sycamorelb::sidecar
