/** @file upstream_server.h Simulated upstream for tests and demos.
 *
 * Endpoints: POST /control changes the behaviour (see upstream_model.h);
 * {"cold":true} makes the host cold, and {"freeze":true} stops answers on all
 * connections that have carried a call so far. GET /control/counters, /health
 * and /load report the state. Any other request is a call.
 *
 * Request headers of a call, all optional: x-token identifies it, so that its
 * executions are counted, and is repeated in the answer; x-answer-bytes and
 * x-answer-status set size and status of the answer. The answer has the hash of
 * the request body in x-body-hash and the hash of its own body in
 * x-answer-hash.
 */
#pragma once

#include "sycamorelb/core/result_type.h"
#include "upstream_model.h"

#include <cstdint>
#include <memory>
#include <string>

namespace sycamorelb::standin {

/** Options of the stand-in. */
struct upstream_options {
  std::string Host = "127.0.0.1";  ///< Address to listen on.
  std::uint16_t Port = 0;          ///< Port to listen on; 0 for any free one.
  std::string Service = "service"; ///< Service that it announces.
  std::string Version = "v1";      ///< Version that it announces.
  std::uint32_t Connections = 120; ///< Limit on connections.
  std::string Announce;            ///< "http://ip:port" of its node; empty for
                                   ///< none.
  upstream_behaviour Behaviour;    ///< Initial behaviour.
};

/** Counts since the start. */
struct upstream_counters {
  std::uint64_t Started = 0;        ///< Calls whose execution started.
  std::uint64_t Completed = 0;      ///< Calls answered in full.
  std::uint64_t Cancelled = 0;      ///< Calls whose caller disconnected.
  std::uint64_t Failed = 0;         ///< Calls that failed by fail_ratio.
  std::uint64_t Shed = 0;           ///< Calls refused without execution.
  std::uint64_t MaxInFlight = 0;    ///< Maximum of calls in progress.
  std::uint64_t Tokens = 0;         ///< Distinct tokens.
  std::uint64_t RepeatedTokens = 0; ///< Tokens executed more than once.
  std::uint64_t RepeatedKeys = 0; ///< Idempotency keys executed more than once.
  std::uint64_t IncompleteBodies = 0; ///< Incomplete request bodies.
};

/** Simulated upstream. */
class upstream_server {
public:
  explicit upstream_server(upstream_options Options);
  ~upstream_server();
  upstream_server(const upstream_server &) = delete;
  auto operator=(const upstream_server &) -> upstream_server & = delete;

  /** Starts to listen, and announces itself every second if Announce is set.
   * @return the port, or Unreachable if it cannot be bound. */
  auto start() -> result<std::uint16_t>;

  /** Withdraws the announcement, waits up to Drain for calls in progress, and
   * stops. */
  void stop(millis Drain = millis(2000));

  /** Same as POST /control. @return an error text, empty on success. */
  auto control(const nlohmann::json &Change) -> std::string;

  /** @return the counts. */
  auto counters() const -> upstream_counters;

  /** @return how often a token was executed. */
  auto executions(const std::string &Token) const -> std::uint64_t;

private:
  struct implementation;
  std::unique_ptr<implementation> Impl;
};

/** @return the body of an answer: pseudo-random bytes for a size and a seed. */
auto answerBytes(std::size_t Size, std::uint64_t Seed) -> std::string;

} // namespace sycamorelb::standin
