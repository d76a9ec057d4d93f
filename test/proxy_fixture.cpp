/** @file proxy_fixture.cpp Two nodes, raw sockets and helpers for the proxy
 * tests. */
#include "proxy_fixture.h"

#include "proxy/body_decoder.h"
#include "proxy/message_head.h"
#include "sycamorelb/core/clock_func.h"

#include <arpa/inet.h>
#include <cerrno>
#include <condition_variable>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace sycamorelb::proxy_test {

static constexpr auto TestTimeoutMs = 20'000;

static auto loopback(std::uint16_t Port) -> sockaddr_in {
  auto Address = sockaddr_in();
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return Address;
}

/** Appends the result of one read to Buffer. @return false at the end of the
 * connection or after a timeout. */
static auto readMore(int Fd, std::string &Buffer, bool *Reset = nullptr)
    -> bool {
  auto Polled = pollfd{Fd, POLLIN, 0};
  if (::poll(&Polled, 1, TestTimeoutMs) != 1) {
    return false;
  }
  auto Used = Buffer.size();
  Buffer.resize(Used + 65536);
  auto Count = ::recv(Fd, Buffer.data() + Used, 65536, 0);
  if (Count < 0 && Reset != nullptr) {
    *Reset = errno == ECONNRESET;
  }
  Buffer.resize(Used + static_cast<std::size_t>(std::max<ssize_t>(Count, 0)));
  return Count > 0;
}

static auto sendAll(int Fd, std::string_view Bytes) -> bool {
  while (!Bytes.empty()) {
    auto Count = ::send(Fd, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
    if (Count <= 0) {
      return false;
    }
    Bytes.remove_prefix(static_cast<std::size_t>(Count));
  }
  return true;
}

static auto extractUntil(std::string &Buffer, std::string_view Marker,
                         const std::function<bool()> &ReadMore) -> std::string {
  for (;;) {
    auto Found = Buffer.find(Marker);
    if (Found != std::string::npos) {
      auto Taken = Buffer.substr(0, Found + Marker.size());
      Buffer.erase(0, Taken.size());
      return Taken;
    }
    if (!ReadMore()) {
      return std::exchange(Buffer, "");
    }
  }
}

raw_client::raw_client(std::uint16_t Port)
    : Fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  auto Address = loopback(Port);
  auto One = 1;
  ::setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &One, sizeof(One));
  if (::connect(Fd, reinterpret_cast<sockaddr *>(&Address), sizeof(Address)) !=
      0) {
    close();
  }
}

void raw_client::close() {
  if (Fd >= 0) {
    ::close(std::exchange(Fd, -1));
  }
}

auto raw_client::send(std::string_view Bytes) -> bool {
  return sendAll(Fd, Bytes);
}

void raw_client::limitSendTime(std::chrono::seconds Time) {
  auto Limit = timeval{Time.count(), 0};
  ::setsockopt(Fd, SOL_SOCKET, SO_SNDTIMEO, &Limit, sizeof(Limit));
}

auto raw_client::receiveMore() -> bool { return readMore(Fd, Buffer, &Reset); }

auto raw_client::readUntil(std::string_view Marker) -> std::string {
  return extractUntil(Buffer, Marker, [this] { return receiveMore(); });
}

auto raw_client::readAll() -> std::string {
  while (receiveMore()) {
  }
  return std::exchange(Buffer, "");
}

auto raw_client::readResponse(bool HasBody) -> std::string {
  auto Head = readUntil("\r\n\r\n");
  auto Parsed = proxy::parseResponseHead(Head, HasBody ? "GET" : "HEAD");
  auto *Response = std::get_if<proxy::response_head>(&Parsed);
  if (Response == nullptr) {
    return Head;
  }
  auto Decoder = proxy::body_decoder(Response->Body);
  auto Body = std::string();
  while (!Decoder.isComplete()) {
    auto Step = Decoder.decode(Buffer);
    Body += Buffer.substr(0, Step.Consumed);
    Buffer.erase(0, Step.Consumed);
    if (Step.Consumed == 0 && !Decoder.isComplete() &&
        (Decoder.isInvalid() || !receiveMore())) {
      break;
    }
  }
  return Head + Body;
}

auto raw_server::peer::readUntil(std::string_view Marker) -> std::string {
  return extractUntil(Buffer, Marker, [this] { return readMore(Fd, Buffer); });
}

void raw_server::peer::send(std::string_view Bytes) const {
  sendAll(Fd, Bytes);
}

void raw_server::peer::awaitClose() const {
  auto Ignored = std::string();
  while (readMore(Fd, Ignored)) {
    Ignored.clear();
  }
}

raw_server::raw_server(std::function<void(peer &)> TheScript)
    : Script(std::move(TheScript)),
      Fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  auto Address = loopback(0);
  auto Size = socklen_t{sizeof(Address)};
  if (::bind(Fd, reinterpret_cast<sockaddr *>(&Address), sizeof(Address)) !=
          0 ||
      ::listen(Fd, 128) != 0) {
    std::perror("raw_server");
  }
  ::getsockname(Fd, reinterpret_cast<sockaddr *>(&Address), &Size);
  Port = ntohs(Address.sin_port);
  Acceptor = std::thread([this] {
    for (;;) {
      auto Peer = ::accept(Fd, nullptr, nullptr);
      if (Peer < 0) {
        return;
      }
      auto Lock = std::lock_guard(Mutex);
      Open.push_back(Peer);
      auto Index = Accepted++;
      Threads.emplace_back([this, Peer, Index] {
        auto Connection = peer{Peer, Index, ""};
        Script(Connection);
        ::shutdown(Peer, SHUT_RDWR);
      });
    }
  });
}

raw_server::~raw_server() {
  ::shutdown(Fd, SHUT_RDWR);
  Acceptor.join();
  for (auto Peer : Open) {
    ::shutdown(Peer, SHUT_RDWR);
  }
  for (auto &Thread : Threads) {
    Thread.join();
  }
  for (auto Peer : Open) {
    ::close(Peer);
  }
  ::close(Fd);
}

auto raw_server::address() const -> std::string {
  return "127.0.0.1:" + std::to_string(Port);
}

mesh::mesh(std::string Upstream, proxy::proxy_options Options,
           const proxy::server_options &Server)
    : Entry(std::make_unique<proxy::proxy_handler>(Options, entryHooks(),
                                                   admissionHooks())),
      Admission(std::make_unique<proxy::proxy_handler>(Options, entryHooks(),
                                                       admissionHooks())),
      Callers(std::make_unique<proxy::http_server>(Server)),
      Peers(std::make_unique<proxy::http_server>(Server)) {
  Callers->handleCalls(Entry->entry());
  Peers->handleCalls(Admission->admission());
  CallerPort = valueOf(Callers->start());
  PeerPort = valueOf(Peers->start());
  Script.Upstream = std::move(Upstream);
  Script.Route.Name = {"route"};
  Script.Route.Service = {"service"};
  Script.Route.Timeout = millis(20'000);
  Script.Targets = {remoteTarget()};
}

mesh::~mesh() {
  Callers->stop();
  Peers->stop();
}

auto mesh::localTarget() const -> proxy::call_target {
  auto Target = proxy::call_target();
  Target.Kind = proxy::target_kind::LocalUpstream;
  Target.Address = "local";
  Target.Service = {"service"};
  Target.Version = {"v1"};
  return Target;
}

auto mesh::remoteTarget() const -> proxy::call_target {
  auto Target = localTarget();
  Target.Kind = proxy::target_kind::AdmissionNode;
  Target.Address = "127.0.0.1:" + std::to_string(PeerPort);
  Target.ExtraHeaders = {{"x-sycamore-auth", "key"}};
  return Target;
}

auto mesh::entryHooks() -> proxy::entry_hooks {
  auto Hooks = proxy::entry_hooks();
  Hooks.Resolve = [this](auto, std::string_view Path,
                         const auto &) -> std::optional<proxy::route_info> {
    if (Path.starts_with("/none")) {
      return std::nullopt;
    }
    return Script.Route;
  };
  Hooks.Pick = [this](const auto &, std::uint32_t Attempt,
                      const auto &) -> std::optional<proxy::call_target> {
    if (Script.Targets.empty()) {
      return std::nullopt;
    }
    return Script
        .Targets[std::min<std::size_t>(Attempt, Script.Targets.size()) - 1];
  };
  Hooks.OnAttemptFinished = [this](const auto &, const auto &Target,
                                   const auto &Outcome, const auto &) {
    auto Lock = std::lock_guard(Mutex);
    Attempts.push_back({Target, Outcome});
  };
  Hooks.MayRetry = [this](const auto &) { return Script.MayRetry; };
  Hooks.MayHedge = [](const auto &) { return true; };
  return Hooks;
}

auto mesh::admit(proxy::cancellation &Cancel)
    -> std::variant<proxy::admission_ticket, proxy::admission_refusal> {
  if (Script.HoldAdmission) {
    auto WaitMutex = std::mutex();
    auto Woken = std::condition_variable();
    auto Raised = false;
    auto Id = Cancel.subscribe([&] {
      auto Lock = std::lock_guard(WaitMutex);
      Raised = true;
      Woken.notify_all();
    });
    ++InAdmission;
    auto Lock = std::unique_lock(WaitMutex);
    Woken.wait_for(Lock, std::chrono::seconds(20), [&] { return Raised; });
    Lock.unlock();
    Cancel.unsubscribe(Id);
    Cancelled += Raised ? 1 : 0;
    return proxy::admission_refusal{"cancelled"};
  }
  if (!Script.Admit) {
    return proxy::admission_refusal{"no slot"};
  }
  return proxy::admission_ticket{Script.Upstream, 7, Script.FirstByteTimeout};
}

auto mesh::admissionHooks() -> proxy::admission_hooks {
  auto Hooks = proxy::admission_hooks();
  Hooks.Admit = [this](const auto &, proxy::cancellation &Cancel) {
    return admit(Cancel);
  };
  Hooks.Claim = [this](auto, const auto &, const auto &, auto &) {
    return Script.Claim;
  };
  Hooks.Release = [this](const auto &, const auto &, const auto &Outcome,
                         auto) {
    auto Lock = std::lock_guard(Mutex);
    Released.push_back(Outcome);
  };
  Hooks.Authenticate = [](const auto &Headers) {
    return proxy::findHeader(Headers, "x-sycamore-auth") == "key";
  };
  return Hooks;
}

auto mesh::attempts(std::size_t Count) -> std::vector<reported_attempt> {
  eventually([&] {
    auto Lock = std::lock_guard(Mutex);
    return Attempts.size() >= Count;
  });
  auto Lock = std::lock_guard(Mutex);
  return Attempts;
}

auto mesh::released(std::size_t Count) -> std::vector<proxy::call_outcome> {
  eventually([&] {
    auto Lock = std::lock_guard(Mutex);
    return Released.size() >= Count;
  });
  auto Lock = std::lock_guard(Mutex);
  return Released;
}

auto eventually(const std::function<bool()> &Condition) -> bool {
  auto Until = steadyNow() + std::chrono::milliseconds(TestTimeoutMs);
  while (!Condition()) {
    if (steadyNow() > Until) {
      return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  return true;
}

auto plainRequest(const std::string &Path, const std::string &Headers,
                  const std::string &Method) -> std::string {
  return Method + " " + Path + " HTTP/1.1\r\nHost: test\r\n" + Headers + "\r\n";
}

auto quickUpstream() -> standin::upstream_options {
  auto Options = standin::upstream_options();
  Options.Behaviour.ServiceMs = 0;
  Options.Behaviour.WarmMs = 0;
  return Options;
}

auto statusOf(const std::string &Response) -> int {
  return Response.size() < 12 ? 0 : std::atoi(Response.c_str() + 9);
}

auto headerOf(const std::string &Response, const std::string &Name)
    -> std::string {
  auto Head = Response.substr(0, Response.find("\r\n\r\n") + 4);
  auto Parsed = proxy::parseResponseHead(Head, "GET");
  auto *Found = std::get_if<proxy::response_head>(&Parsed);
  return Found == nullptr
             ? ""
             : std::string(
                   proxy::findHeader(Found->Headers, Name).value_or(""));
}

auto bodyOf(const std::string &Response) -> std::string {
  auto HeadSize = Response.find("\r\n\r\n") + 4;
  auto Parsed = proxy::parseResponseHead(Response.substr(0, HeadSize), "GET");
  auto *Head = std::get_if<proxy::response_head>(&Parsed);
  auto Body = std::string();
  auto Rest = std::string_view(Response).substr(HeadSize);
  auto Decoder =
      proxy::body_decoder(Head != nullptr ? Head->Body : proxy::body_framing());
  for (auto Step = Decoder.decode(Rest); Step.Consumed > 0;
       Step = Decoder.decode(Rest)) {
    Body += Step.Data;
    Rest.remove_prefix(Step.Consumed);
  }
  return Body;
}

} // namespace sycamorelb::proxy_test
