/** @file local_endpoint.cpp Listener and local endpoints based on cpp-httplib.
 */
#include "proxy/local_endpoint.h"

#include "sycamorelb/core/clock_func.h"

#include <algorithm>
#include <sys/socket.h>

namespace sycamorelb::proxy {

// The library's backlog of 5 delays bursts of new connections by seconds.
static constexpr auto ListenBacklog = 1024;
static constexpr auto MaxLocalBodyBytes = std::size_t{1024} * 1024;
static constexpr auto LocalBodyTimeout = millis{10'000};

/** Runs tasks on the accepting thread, since they only hand over the socket. */
class inline_queue : public httplib::TaskQueue {
public:
  void enqueue(std::function<void()> Task) override { Task(); }
  void shutdown() override {}
};

/** Stream with which the library reads a request from memory and writes the
 * response to memory. */
class memory_stream : public httplib::Stream {
public:
  explicit memory_stream(std::string Input) : Input(std::move(Input)) {}

  auto is_readable() const -> bool override { return true; }
  auto is_writable() const -> bool override { return true; }
  auto read(char *Data, std::size_t Size) -> ssize_t override {
    auto Count = std::min(Size, Input.size() - Position);
    Input.copy(Data, Count, Position);
    Position += Count;
    return static_cast<ssize_t>(Count);
  }
  auto write(const char *Data, std::size_t Size) -> ssize_t override {
    Output.append(Data, Size);
    return static_cast<ssize_t>(Size);
  }
  void get_remote_ip_and_port(std::string &Address, int &Port) const override {
    Address.clear();
    Port = 0;
  }
  void get_local_ip_and_port(std::string &Address, int &Port) const override {
    get_remote_ip_and_port(Address, Port);
  }
  auto socket() const -> socket_t override { return INVALID_SOCKET; }

  std::string Output; ///< Bytes that the library wrote.

private:
  std::string Input;
  std::size_t Position = 0;
};

local_endpoint_server::local_endpoint_server(
    std::function<void(int)> OnAccepted)
    : OnAccepted(std::move(OnAccepted)) {
  new_task_queue = [] { return new inline_queue(); };
  set_tcp_nodelay(true);
  // The library sets SO_REUSEPORT by default, with which two processes could
  // silently share a port.
  set_socket_options([](socket_t Socket) {
    auto One = 1;
    ::setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &One, sizeof(One));
  });
  set_payload_max_length(MaxLocalBodyBytes);
}

auto local_endpoint_server::bind(const std::string &Host, std::uint16_t Port)
    -> std::uint16_t {
  auto Bound = static_cast<int>(Port);
  if (Port == 0) {
    Bound = bind_to_any_port(Host);
  } else if (!bind_to_port(Host, Port)) {
    Bound = -1;
  }
  if (Bound <= 0 || ::listen(svr_sock_, ListenBacklog) != 0) {
    return 0;
  }
  return static_cast<std::uint16_t>(Bound);
}

void local_endpoint_server::requestStop() {
  // The library fails an assertion if it is stopped twice.
  if (is_running() && svr_sock_ != INVALID_SOCKET) {
    stop();
  }
}

auto local_endpoint_server::process_and_close_socket(socket_t Socket) -> bool {
  OnAccepted(Socket);
  return true;
}

/** Escapes a path, because the library treats paths as regular expressions. */
static auto escapePattern(const std::string &Path) -> std::string {
  auto Pattern = std::string();
  for (auto Byte : Path) {
    if (std::string_view("\\^$.|?*+()[]{}").find(Byte) !=
        std::string_view::npos) {
      Pattern += '\\';
    }
    Pattern += Byte;
  }
  return Pattern;
}

static auto toLocalRequest(const httplib::Request &Request) -> local_request {
  auto Local = local_request{Request.method, Request.path, {}, Request.body};
  for (const auto &[Name, Value] : Request.headers) {
    Local.Headers.push_back({Name, Value});
  }
  return Local;
}

void local_endpoint_server::addEndpoint(const std::string &Method,
                                        const std::string &Path,
                                        local_handler Handler) {
  auto LibraryHandler =
      [Handler = std::move(Handler)](const httplib::Request &Request,
                                     httplib::Response &Response) {
        auto LocalResponse = Handler(toLocalRequest(Request));
        Response.status = LocalResponse.Status;
        for (const auto &[Name, Value] : LocalResponse.Headers) {
          Response.set_header(Name, Value);
        }
        Response.set_content(LocalResponse.Body, LocalResponse.ContentType);
      };
  auto Pattern = escapePattern(Path);
  if (Method == "GET") {
    Get(Pattern, LibraryHandler);
    Endpoints[{"HEAD", Path}] = true;
  } else if (Method == "POST") {
    Post(Pattern, LibraryHandler);
  } else if (Method == "PUT") {
    Put(Pattern, LibraryHandler);
  } else if (Method == "DELETE") {
    Delete(Pattern, LibraryHandler);
  }
  Endpoints[{Method, Path}] = true;
}

auto local_endpoint_server::hasEndpoint(const request_head &Head) const
    -> bool {
  return !Endpoints.empty() && Endpoints.contains({Head.Method, Head.Path});
}

void local_endpoint_server::serveEndpoint(exchange &Exchange) {
  const auto &Head = Exchange.head();
  auto Deadline = steadyNow() + LocalBodyTimeout;
  auto Body = std::string();
  auto Piece = std::string_view();
  auto Status = body_status::Piece;
  while ((Status = Exchange.readBody({.Deadline = Deadline}, Piece)) ==
         body_status::Piece) {
    Body.append(Piece);
    if (Body.size() > MaxLocalBodyBytes) {
      Exchange.respond(413, {}, "body too large\n");
      return;
    }
  }
  if (Status != body_status::End) {
    Exchange.closeAfterResponse();
    Exchange.respond(
        Status == body_status::TimedOut ? 408 : Exchange.invalidBodyStatus(),
        {}, "malformed or incomplete body\n");
    return;
  }
  // The library gets a message with validated framing and a plain
  // Content-Length.
  auto Text = Head.Method + " " + Head.Target + " HTTP/1.1\r\n";
  for (const auto &[Name, Value] : withoutHopHeaders(Head.Headers)) {
    appendHeader(Text, Name, Value);
  }
  appendHeader(Text, "Content-Length", std::to_string(Body.size()));
  auto Stream = memory_stream(Text + "\r\n" + Body);
  auto Close = !Head.KeepAlive || Exchange.isDraining();
  auto Closed = false;
  process_request(Stream, Close, Closed, nullptr);
  Exchange.respondRaw(Stream.Output, Close || Closed);
}

} // namespace sycamorelb::proxy
