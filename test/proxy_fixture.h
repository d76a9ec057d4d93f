/** @file proxy_fixture.h Two nodes, raw sockets and helpers for the proxy
 * tests. */
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

/** Blocking client connection that sends and receives raw bytes. */
class raw_client {
public:
  explicit raw_client(std::uint16_t Port);
  ~raw_client() { close(); }
  raw_client(const raw_client &) = delete;
  auto operator=(const raw_client &) -> raw_client & = delete;

  /** Sends all bytes. @return false if the connection failed. */
  auto send(std::string_view Bytes) -> bool;
  /** Makes send fail if it blocks for longer than Time. */
  void limitSendTime(std::chrono::seconds Time);
  /** Reads until Marker appears, the connection ends or it is silent for 20 s.
   * @return the bytes read, including earlier ones that were not returned yet.
   */
  auto readUntil(std::string_view Marker) -> std::string;
  /** Reads one response with Content-Length or chunks. @return its raw bytes.
   */
  auto readResponse(bool HasBody = true) -> std::string;
  /** Reads until the connection ends. */
  auto readAll() -> std::string;
  /** @return whether the connection was reset; valid after readAll. */
  auto wasReset() const -> bool { return Reset; }
  /** Closes the connection. */
  void close();

private:
  auto receiveMore() -> bool;

  int Fd;
  bool Reset = false;
  std::string Buffer;
};

/** Fake peer that runs a script for each connection on its own thread. */
class raw_server {
public:
  /** One accepted connection. */
  struct peer {
    int Fd;    ///< File descriptor; shut down after the script.
    int Index; ///< Index of the connection, from 0.
    /** Reads until Marker. @return the bytes read. */
    auto readUntil(std::string_view Marker) -> std::string;
    /** Sends all bytes. */
    void send(std::string_view Bytes) const;
    /** Waits until the other side closes. */
    void awaitClose() const;
    std::string Buffer; ///< Bytes read beyond the last marker.
  };
  explicit raw_server(std::function<void(peer &)> Script);
  ~raw_server();
  raw_server(const raw_server &) = delete;
  auto operator=(const raw_server &) -> raw_server & = delete;

  /** @return "127.0.0.1:port". */
  auto address() const -> std::string;
  std::uint16_t Port = 0;       ///< Port it listens on.
  std::atomic<int> Accepted{0}; ///< Connections accepted so far.

private:
  std::function<void(peer &)> Script;
  int Fd;
  std::mutex Mutex;
  std::vector<int> Open;
  std::vector<std::thread> Threads;
  std::thread Acceptor;
};

/** Scripted decisions of the hooks of a mesh; tests change them between calls.
 */
struct hook_script {
  proxy::route_info Route;                 ///< Route of all calls.
  std::vector<proxy::call_target> Targets; ///< Targets by attempt; the last one
                                           ///< is used for all later attempts.
  std::string Upstream;                    ///< Address of the upstream.
  bool Admit = true;                       ///< Whether calls are admitted.
  bool HoldAdmission = false; ///< Admission blocks until cancelled.
  bool MayRetry = true;       ///< Whether the retry budget has a token.
  millis FirstByteTimeout{0}; ///< Timeout for the first byte from the upstream.
  proxy::claim_decision Claim{proxy::claim_decision::kind::Granted, false, 0,
                              ""}; ///< Decision about claims.
};

/** Finished attempt as reported to the entry node. */
struct reported_attempt {
  proxy::call_target Target;   ///< Its target.
  proxy::call_outcome Outcome; ///< Its outcome.
};

/** Entry node and admission node in this process. */
class mesh {
public:
  explicit mesh(std::string Upstream, proxy::proxy_options Options = {},
                const proxy::server_options &Server = {});
  ~mesh();
  mesh(const mesh &) = delete;
  auto operator=(const mesh &) -> mesh & = delete;

  hook_script Script;       ///< Scripted decisions of the hooks.
  std::uint16_t CallerPort; ///< Port for callers.
  std::uint16_t PeerPort;   ///< Peer port of the admission node.
  std::unique_ptr<proxy::proxy_handler> Entry;     ///< Entry node.
  std::unique_ptr<proxy::proxy_handler> Admission; ///< Admission node.
  std::unique_ptr<proxy::http_server> Callers;     ///< Caller port.
  std::unique_ptr<proxy::http_server> Peers;       ///< Peer port.
  std::atomic<int> InAdmission{0}; ///< Calls that wait for admission.
  std::atomic<int> Cancelled{0};   ///< Waits for admission that were cancelled.

  /** Waits until Count attempts are reported, which happens after the response
   * was written. @return all attempts so far. */
  auto attempts(std::size_t Count) -> std::vector<reported_attempt>;
  /** Waits until Count slots are released. @return the outcomes so far. */
  auto released(std::size_t Count) -> std::vector<proxy::call_outcome>;
  /** @return a target that is an upstream attached to the entry node. */
  auto localTarget() const -> proxy::call_target;
  /** @return the admission node as a target. */
  auto remoteTarget() const -> proxy::call_target;

private:
  auto entryHooks() -> proxy::entry_hooks;
  auto admissionHooks() -> proxy::admission_hooks;
  auto admit(proxy::cancellation &Cancel)
      -> std::variant<proxy::admission_ticket, proxy::admission_refusal>;

  std::mutex Mutex;
  std::vector<reported_attempt> Attempts;
  std::vector<proxy::call_outcome> Released;
};

/** Waits up to 20 s until Condition holds. @return whether it does. */
auto eventually(const std::function<bool()> &Condition) -> bool;

/** @return a request without a body. */
auto plainRequest(const std::string &Path, const std::string &Headers = "",
                  const std::string &Method = "GET") -> std::string;

/** @return options of a warm upstream with a service time of 0. */
auto quickUpstream() -> standin::upstream_options;

/** @return the status of a raw response, or 0. */
auto statusOf(const std::string &Response) -> int;

/** @return the value of a header of a raw response, or an empty string. */
auto headerOf(const std::string &Response, const std::string &Name)
    -> std::string;

/** @return the body of a raw response, with chunks decoded. */
auto bodyOf(const std::string &Response) -> std::string;

} // namespace sycamorelb::proxy_test
