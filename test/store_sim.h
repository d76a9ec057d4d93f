/** @file store_sim.h Stand-in of the platform's store for simulations. */
#pragma once

#include "sycamorelb/http/server_connection.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace sycamorelb::sim {

/** How the store treats the requests of a node. */
enum class store_access : std::uint8_t {
  Served,     ///< It answers.
  Silent,     ///< It accepts them and never answers, also not later.
  Refused,    ///< It answers 503 at once.
  Unanswered, ///< It does what is asked and never answers writes.
};

/** Stand-in of the platform's store, with one listener for each node. */
class store_stand_in {
public:
  explicit store_stand_in(event::loop &Loop) : Loop(Loop) {}

  /** Serves a node at the given address. */
  void serveNode(int Node, const event::endpoint &Address);
  /** Requests that a node has sent before keep their fate. */
  void setAccess(int Node, store_access Access);
  auto access(int Node) -> store_access { return Clients[Node].Access; }
  /** Makes the open connections of a node silent for good; new ones work. */
  void silenceConnections(int Node);
  /** Appends a record. */
  void append(const std::string &Topic, const std::string &Key,
              const std::string &Value);
  /** @return the nodes that wait for new operator records. */
  auto pollingNodes() const -> std::set<int>;
  /** @return the values of all records of a key, in their order. */
  auto valuesOf(const std::string &Topic, const std::string &Key) const
      -> std::vector<std::string>;
  /** Called with path and topic of each call when it arrives.
   * @return the time after which it is handled. */
  std::function<micros(const std::string &, const std::string &)> OnCall;
  /** Era in all answers; 0 for none. */
  int Era = 0;
  /** Comes back from a copy that is as old as the given time, in a new era.
   * Operators write again what they wrote since, after a delay. */
  void rewind(micros Age, micros RewriteDelay);
  /** Number of calls of all nodes, by path. */
  std::map<std::string, int> Calls;

private:
  using connection = std::shared_ptr<http::server_connection>;
  struct client {
    store_access Access = store_access::Served;
    std::unique_ptr<event::listener> Listener;
    std::set<connection> Connections;
    std::set<connection> SilentConnections;
  };
  struct poll {
    int Node;
    std::weak_ptr<http::server_connection> Connection;
    http::exchange_number Exchange;
    std::string Topic;
    std::size_t From;
    event::timer_id Timer;
  };

  void receive(int Node, const connection &Connection,
               http::exchange_number Exchange, const http::request &Request);
  void handle(int Node, const connection &Connection,
              http::exchange_number Exchange, const http::request &Request);
  auto renderRead(const std::string &Topic, std::size_t From) const
      -> http::response;
  auto renderListing(const std::string &Topic) const -> http::response;
  void answerPoll(std::uint64_t Id);
  /** Sends an answer with the era. */
  void respond(const connection &Connection, http::exchange_number Exchange,
               http::response Response) const;
  /** Forgets the polls of a node; they are never answered. */
  void dropPolls(int Node);

  event::loop &Loop;
  std::map<int, client> Clients;
  std::map<std::string, std::vector<std::pair<std::string, std::string>>>
      Topics;
  std::map<std::string, std::vector<steady_time>> AppendedAt;
  std::map<std::uint64_t, poll> Polls;
  std::uint64_t NextPoll = 1;
};

} // namespace sycamorelb::sim
