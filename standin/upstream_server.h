/** @file upstream_server.h Stand-in for an upstream, for tests and demos.
 *
 * Endpoints: POST /control changes the behaviour (see upstream_model.h) and
 * takes {"cold":true} and {"freeze":true}; GET /control/counters, /health and
 * /load report. Every other path is a call. A call may carry x-token, by which
 * its executions are counted and which the answer repeats, x-answer-bytes for
 * the size of the answer, and x-answer-status. The answer carries the hash of
 * the request body in x-body-hash and that of its own body in x-answer-hash.
 */
#pragma once

#include "sycamorelb/core/result_type.h"
#include "upstream_model.h"

#include <cstdint>
#include <memory>
#include <string>

namespace sycamorelb::standin {

/** Identity and size of the stand-in. */
struct upstream_options {
  std::string Host = "127.0.0.1";  ///< Address to listen on.
  std::uint16_t Port = 0;          ///< Port to listen on; 0 for any free one.
  std::string Service = "service"; ///< Announced service.
  std::string Version = "v1";      ///< Announced version.
  std::uint32_t Connections = 120; ///< Connections it accepts.
  std::string Announce;            ///< "http://ip:port" of its node; empty for
                                   ///< none.
  upstream_behaviour Behaviour;    ///< Initial behaviour.
};

/** Counts since the start. */
struct upstream_counters {
  std::uint64_t Started = 0;     ///< Calls whose work began.
  std::uint64_t Completed = 0;   ///< Calls answered in full.
  std::uint64_t Cancelled = 0;   ///< Calls whose caller left.
  std::uint64_t Failed = 0;      ///< Calls that failed as commanded.
  std::uint64_t Shed = 0;        ///< Calls refused as not run.
  std::uint64_t MaxInFlight = 0; ///< Most calls in progress at once.
  std::uint64_t Tokens = 0;      ///< Different tokens seen.
  std::uint64_t Doubled = 0;     ///< Tokens that were executed more than once.
  std::uint64_t DoubledKeys = 0; ///< Idempotency keys executed more than once.
  std::uint64_t BadBodies = 0;   ///< Bodies that were incomplete.
};

/** Answers calls as a real upstream of the deployments would. */
class upstream_server {
public:
  explicit upstream_server(upstream_options Options);
  ~upstream_server();
  upstream_server(const upstream_server &) = delete;
  auto operator=(const upstream_server &) -> upstream_server & = delete;

  /** Listens, and announces itself every second if a node is given.
   * @return the port, or Unreachable. */
  auto start() -> result<std::uint16_t>;

  /** Withdraws the announcement, finishes calls for at most Drain, and stops.
   */
  void stop(millis Drain = millis(2000));

  /** Does what POST /control does. @return an error text, or an empty one. */
  auto control(const nlohmann::json &Change) -> std::string;

  /** @return the counts. */
  auto counters() const -> upstream_counters;

  /** @return the executions of a token. */
  auto executions(const std::string &Token) const -> std::uint64_t;

private:
  struct implementation;
  std::unique_ptr<implementation> Impl;
};

/** @return the bytes of an answer of the given size, as the stand-in sends it.
 */
auto answerBytes(std::size_t Size, std::uint64_t Seed) -> std::string;

} // namespace sycamorelb::standin
