/** @file proxy_fixture.h Two nodes and sockets for the tests of the proxy. */
#pragma once

#include "../standin/upstream_server.h"
#include "sycamorelb/proxy/proxy_handler.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace sycamorelb::proxy_test {

/** A plain blocking client connection. */
class raw_client {
public:
  explicit raw_client(std::uint16_t Port);
  ~raw_client() { close(); }
  raw_client(const raw_client &) = delete;
  auto operator=(const raw_client &) -> raw_client & = delete;

  /** Sends all bytes. @return false when the connection is broken. */
  auto send(std::string_view Bytes) -> bool;
  /** Makes send fail when nothing can be sent for the given time. */
  void limitSendTime(std::chrono::seconds Time);
  /** Reads until Marker appears, or the connection ends or is silent for 20 s.
   * @return what was read, earlier bytes that were not taken included. */
  auto readUntil(std::string_view Marker) -> std::string;
  /** Reads one answer with Content-Length or chunks, raw. */
  auto readAnswer(bool HasBody = true) -> std::string;
  /** Reads until the connection ends. */
  auto readAll() -> std::string;
  /** @return whether the connection ended by a reset, after readAll. */
  auto wasReset() const -> bool { return Reset; }
  /** Closes the connection. */
  void close();

private:
  auto more() -> bool;

  int Fd;
  bool Reset = false;
  std::string Buffer;
};

/** A fake peer that serves each connection by a script on its own thread. */
class raw_server {
public:
  /** One accepted connection. */
  struct peer {
    int Fd;    ///< Descriptor; closed after the script.
    int Index; ///< Number of the connection, from 0.
    /** Reads until Marker. @return what was read. */
    auto readUntil(std::string_view Marker) -> std::string;
    /** Sends all bytes. */
    void send(std::string_view Bytes) const;
    /** Waits until the other side closes. */
    void awaitClose() const;
    std::string Buffer; ///< Bytes read beyond a marker.
  };
  explicit raw_server(std::function<void(peer &)> Script);
  ~raw_server();
  raw_server(const raw_server &) = delete;
  auto operator=(const raw_server &) -> raw_server & = delete;

  /** @return "127.0.0.1:port". */
  auto address() const -> std::string;
  std::uint16_t Port = 0;       ///< Port it listens on.
  std::atomic<int> Accepted{0}; ///< Connections so far.

private:
  std::function<void(peer &)> Script;
  int Fd;
  std::mutex Mutex;
  std::vector<int> Open;
  std::vector<std::thread> Threads;
  std::thread Acceptor;
};

/** What the hooks of a mesh decide; tests change it before they call. */
struct mesh_plan {
  proxy::route_info Route;                 ///< Route of all calls.
  std::vector<proxy::call_target> Targets; ///< Target by attempt; the last one
                                           ///< serves all later attempts.
  std::string Upstream;       ///< Address behind the admission node.
  bool Admit = true;          ///< Whether the admission node admits.
  bool HoldAdmission = false; ///< Admission waits until it is cancelled.
  bool MayRetry = true;       ///< Whether the retry budget has a token.
  millis FirstByteTimeout{0}; ///< Of the upstream.
  proxy::claim_decision Claim{proxy::claim_decision::kind::Granted, false, 0,
                              ""}; ///< Decision about claims.
};

/** A finished attempt as seen by the entry node. */
struct seen_attempt {
  proxy::call_target Target;   ///< Its target.
  proxy::call_outcome Outcome; ///< Its outcome.
};

/** An entry node and an admission node in this process. */
class mesh {
public:
  explicit mesh(std::string Upstream, proxy::proxy_options Options = {},
                const proxy::server_options &Server = {});
  ~mesh();
  mesh(const mesh &) = delete;
  auto operator=(const mesh &) -> mesh & = delete;

  mesh_plan Plan;           ///< Decisions of the hooks.
  std::uint16_t CallerPort; ///< Port for callers.
  std::uint16_t PeerPort;   ///< Peer port of the admission node.
  std::unique_ptr<proxy::proxy_handler> Entry;     ///< Entry node.
  std::unique_ptr<proxy::proxy_handler> Admission; ///< Admission node.
  std::unique_ptr<proxy::http_server> Callers;     ///< Caller port.
  std::unique_ptr<proxy::http_server> Peers;       ///< Peer port.
  std::atomic<int> InAdmission{0}; ///< Calls that wait for admission.
  std::atomic<int> Cancelled{0};   ///< Waits that were cancelled.

  /** Waits until Count attempts are finished, since they are reported after
   * the answer was written. @return the attempts. */
  auto attempts(std::size_t Count) -> std::vector<seen_attempt>;
  /** Waits until Count slots are released. @return their outcomes. */
  auto released(std::size_t Count) -> std::vector<proxy::call_outcome>;
  /** @return a target that is an upstream beside the entry node. */
  auto localTarget() const -> proxy::call_target;
  /** @return the admission node as a target. */
  auto remoteTarget() const -> proxy::call_target;

private:
  auto entryHooks() -> proxy::entry_hooks;
  auto admissionHooks() -> proxy::admission_hooks;
  auto admit(proxy::cancellation &Cancel)
      -> std::variant<proxy::admission_ticket, proxy::admission_refusal>;

  std::mutex Mutex;
  std::vector<seen_attempt> Attempts;
  std::vector<proxy::call_outcome> Released;
};

/** Waits up to 20 s until Condition holds. @return whether it does. */
auto eventually(const std::function<bool()> &Condition) -> bool;

/** @return a request without a body. */
auto plainRequest(const std::string &Path, const std::string &Headers = "",
                  const std::string &Method = "GET") -> std::string;

/** @return a warm upstream with a service time of 0. */
auto quickUpstream() -> standin::upstream_options;

/** @return the status of a raw answer, or 0. */
auto statusOf(const std::string &Answer) -> int;

/** @return the value of a header of a raw answer, or an empty text. */
auto headerOf(const std::string &Answer, const std::string &Name)
    -> std::string;

/** @return the body of a raw answer, with chunks decoded. */
auto bodyOf(const std::string &Answer) -> std::string;

} // namespace sycamorelb::proxy_test
