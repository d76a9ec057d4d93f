/** @file cutting_server.cpp Connection loop with cut answers. */
#include "cutting_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace sycamorelb::standin {

/** Set by a handler whose answer is not to be written. */
static thread_local bool Cut = false;

/** Longest wait of one poll, so that a stop is noticed. */
static constexpr int PollMs = 50;
/** Longest wait within a request. */
static constexpr int RequestMs = 5000;
/** Backlog of the listening socket; the library fixes 5. */
static constexpr int Backlog = 1024;

void cutAnswer() { Cut = true; }

static auto waitFor(int Socket, short Events, int Milliseconds) -> bool {
  auto Descriptor = pollfd{Socket, Events, 0};
  return ::poll(&Descriptor, 1, Milliseconds) > 0;
}

/** Stream over a connected socket whose writes fail once the answer is cut. */
class cutting_stream : public httplib::Stream {
public:
  explicit cutting_stream(int Descriptor) : Descriptor(Descriptor) {}

  auto is_readable() const -> bool override { // NOLINT: library's name.
    return waitFor(Descriptor, POLLIN, RequestMs);
  }
  auto is_writable() const -> bool override { // NOLINT: library's name.
    return !Cut && waitFor(Descriptor, POLLOUT, RequestMs);
  }
  auto read(char *Data, std::size_t Size) -> ssize_t override {
    return is_readable() ? ::recv(Descriptor, Data, Size, 0) : -1;
  }
  auto write(const char *Data, std::size_t Size) -> ssize_t override {
    return is_writable() ? ::send(Descriptor, Data, Size, MSG_NOSIGNAL) : -1;
  }
  void get_remote_ip_and_port(std::string &Ip, // NOLINT: library's name.
                              int &Port) const override {
    Ip = "127.0.0.1";
    Port = 0;
  }
  void get_local_ip_and_port(std::string &Ip, // NOLINT: library's name.
                             int &Port) const override {
    Ip = "127.0.0.1";
    Port = 0;
  }
  auto socket() const -> socket_t override { return Descriptor; }

private:
  int Descriptor;
};

cutting_server::cutting_server() {
  set_tcp_nodelay(true);
  set_socket_options([this](socket_t Socket) {
    Listening = Socket;
    auto Yes = 1;
    ::setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &Yes, sizeof(Yes));
  });
}

auto cutting_server::bindLoopback(std::uint16_t Port) -> std::uint16_t {
  auto Bound = Port == 0 ? bind_to_any_port("127.0.0.1")
                         : (bind_to_port("127.0.0.1", Port) ? Port : -1);
  if (Bound <= 0) {
    return 0;
  }
  ::listen(Listening, Backlog);
  return static_cast<std::uint16_t>(Bound);
}

void cutting_server::stopSoon() {
  Stopping = true;
  stop();
}

auto cutting_server::process_and_close_socket(socket_t Socket) -> bool {
  auto Stream = cutting_stream(Socket);
  auto Closed = false;
  Cut = false;
  while (!Stopping && !Closed && !Cut) {
    if (waitFor(Socket, POLLIN, PollMs) &&
        !process_request(Stream, false, Closed, nullptr)) {
      break;
    }
  }
  ::shutdown(Socket, SHUT_RDWR);
  ::close(Socket);
  return true;
}

} // namespace sycamorelb::standin
