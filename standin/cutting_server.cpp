/** @file cutting_server.cpp Connection loop that can close a connection instead
 * of sending the answer. */
#include "cutting_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace sycamorelb::standin {

/** Set by a handler whose answer must not be sent. */
static thread_local bool AnswerSuppressed = false;

/** Longest wait for the next request before the stop flag is checked. */
static constexpr int StopPollMs = 50;
/** Longest wait for the socket within a request. */
static constexpr int RequestTimeoutMs = 5000;
/** Backlog of the listening socket; the library's fixed backlog is
 * only 5. */
static constexpr int ListenBacklog = 1024;

void closeWithoutAnswer() { AnswerSuppressed = true; }

static auto waitForEvents(int Socket, short Events, int Milliseconds) -> bool {
  auto Descriptor = pollfd{Socket, Events, 0};
  return ::poll(&Descriptor, 1, Milliseconds) > 0;
}

/** Stream over a connected socket. Writes fail after closeWithoutAnswer. */
class cutting_stream : public httplib::Stream {
public:
  explicit cutting_stream(int Descriptor) : Descriptor(Descriptor) {}

  auto is_readable() const -> bool override { // NOLINT: library's name.
    return waitForEvents(Descriptor, POLLIN, RequestTimeoutMs);
  }
  auto is_writable() const -> bool override { // NOLINT: library's name.
    return !AnswerSuppressed &&
           waitForEvents(Descriptor, POLLOUT, RequestTimeoutMs);
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
    ListenSocket = Socket;
    auto Enabled = 1;
    ::setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &Enabled, sizeof(Enabled));
  });
}

auto cutting_server::bindLoopback(std::uint16_t Port) -> std::uint16_t {
  auto BoundPort = Port == 0 ? bind_to_any_port("127.0.0.1")
                             : (bind_to_port("127.0.0.1", Port) ? Port : -1);
  if (BoundPort <= 0) {
    return 0;
  }
  ::listen(ListenSocket, ListenBacklog);
  return static_cast<std::uint16_t>(BoundPort);
}

void cutting_server::stopPromptly() {
  Stopping = true;
  stop();
}

auto cutting_server::process_and_close_socket(socket_t Socket) -> bool {
  auto Stream = cutting_stream(Socket);
  auto Closed = false;
  AnswerSuppressed = false;
  while (!Stopping && !Closed && !AnswerSuppressed) {
    if (waitForEvents(Socket, POLLIN, StopPollMs) &&
        !process_request(Stream, false, Closed, nullptr)) {
      break;
    }
  }
  ::shutdown(Socket, SHUT_RDWR);
  ::close(Socket);
  return true;
}

} // namespace sycamorelb::standin
