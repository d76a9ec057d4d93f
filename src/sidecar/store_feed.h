/** @file store_feed.h Reads and writes the platform's store. */
#pragma once

#include "platform/log_store.h"
#include "sidecar/node_state.h"

#include <functional>
#include <memory>

namespace sycamorelb::sidecar {

/** What the feed tells the rest of the node. */
struct store_events {
  /** Records of operators changed; the keys are given, and the end of the
   * topic before the change. */
  std::function<void(const std::vector<std::string> &, log_offset)>
      OnOperatorKeys;
  /** @return whether this node has to follow the operators' topic itself. */
  std::function<bool()> MustRead;
  /** @return whether other nodes give this one what operators wrote, so that
   * it lists that itself only when they do not. */
  std::function<bool()> CanRely;
  /** The mesh topic was listed. */
  std::function<void(const std::vector<mesh::operator_record> &)> OnMeshListed;
  /** The store was lost or regained. */
  std::function<void(bool Lost)> OnStoreLost;
};

/** Client of the store. Follows the operators' topic by a long poll. */
class store_feed {
public:
  using append_handler = std::function<void(result<platform::append_ack>)>;
  using list_handler = std::function<void(result<platform::store_page>)>;

  store_feed(node_state &State, store_events Events);
  ~store_feed();
  store_feed(const store_feed &) = delete;
  auto operator=(const store_feed &) -> store_feed & = delete;

  /** Lists both topics, then follows the operators' topic. */
  void start();
  /** Lists and polls again on new connections, after a pause of the process. */
  void restart();
  /** Lists a whole topic. */
  void list(platform::store_topic Topic, const list_handler &Handle);
  /** Appends one record. An error other than Overloaded leaves open whether it
   * was taken. */
  void append(platform::store_topic Topic, const std::string &Key,
              const std::string &Value, std::optional<log_offset> At,
              append_handler Handle);
  /** Ends all calls. */
  void close();

private:
  struct implementation;
  std::unique_ptr<implementation> Impl;
};

} // namespace sycamorelb::sidecar
