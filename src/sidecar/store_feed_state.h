/** @file store_feed_state.h State of the client of the store. Private to the
 * sources of store_feed. */
#pragma once

#include "sidecar/store_feed.h"
#include "sycamorelb/http/client_connection.h"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sycamorelb::sidecar {

struct store_feed::implementation {
  using connection = std::shared_ptr<http::client_connection>;
  using response_handler = std::function<void(result<http::response>)>;

  node_state &State;
  store_events Events;
  connection IdleConnection; // Reused by calls other than polls.
  std::set<connection> BusyConnections;
  connection PollConnection;
  std::uint64_t CurrentGeneration = 0; // Incremented by start() and restart();
                                       // outdated callbacks are ignored.
  std::uint32_t ConsecutiveFailures = 0;
  bool Lost = false;
  bool Closed = false;

  auto connect() -> connection;
  /** @return whether a request may be sent on the connection. */
  auto isUsable(const connection &Connection) const -> bool;
  /** @return the idle connection, or a new one. */
  auto takeConnection() -> connection;
  void sendRequest(const http::request &Request, millis Timeout,
                   const char *Name, const connection &Connection,
                   response_handler Handle);
  void listPages(platform::store_topic Topic,
                 const std::shared_ptr<platform::store_page> &Accumulated,
                 const list_handler &Handle);
  void listOperatorTopic(std::uint64_t Generation);
  void listMeshTopic(std::uint64_t Generation);
  void poll(std::uint64_t Generation);
  void handlePoll(result<http::response> Response, log_offset From,
                  steady_time SentAt, std::uint64_t Generation);
  /** Takes notice of an era; see store_feed::noteEra(). */
  void noteEra(store_era Era, bool FromStore);
  /** Lists the operator topic after a rewind, on new connections. */
  void scheduleRewoundListing();
  /** Ends the time in which operators write their records again. */
  void endRewriteTime(store_era Era);
  void stampEra(platform::store_page &Page) const;
  void recordResult(bool Succeeded, const std::string &Reason);
  /** Records an answer to a call, the keys that it changed, and the time at
   * which it made this node's records complete, if it did. */
  void recordAnswer(const char *Call, const std::vector<std::string> &Keys,
                    std::optional<steady_time> CompleteAt);
  /** Calls Action after a delay that depends on the failures in a row. */
  void scheduleRetry(std::uint64_t Generation, const error &Failure,
                     std::function<void()> Action);
};

} // namespace sycamorelb::sidecar
