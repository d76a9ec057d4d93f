/** @file store_feed.h Client of the platform's store. */
#pragma once

#include "platform/log_store.h"
#include "sidecar/node_state.h"

#include <functional>
#include <memory>

namespace sycamorelb::sidecar {

/** Delay between polls, so that one call returns several changes. */
inline constexpr auto StorePollDelay = micros(400'000);

/** @return the longest time that the store holds a poll for operator records.
 * It bounds how long a node may miss that its connection to the store no longer
 * works, so it leaves time for a poll on another connection before a change has
 * to be in force.
 * @param ConfigApply time for a change to be in force. */
auto storePollWait(millis ConfigApply) -> millis;

/** @return the longest time between two answers of a working store to a reader.
 */
inline auto storeReadInterval(millis ConfigApply) -> micros {
  return storePollWait(ConfigApply) + StorePollDelay;
}

/** Callbacks from the store client to the rest of the node. */
struct store_events {
  /** Operator records changed. Receives their keys and the end of the topic
   * before the change. */
  std::function<void(const std::vector<std::string> &, log_offset)>
      OnOperatorRecords;
  /** The store confirmed that this node has all operator records. */
  std::function<void()> OnOperatorConfirmed;
  /** @return the time from which this node must poll the operator topic itself.
   */
  std::function<steady_time()> StoreReadTime;
  /** @return whether a reader in the zone supplies operator records, so that
   * this node lists the operator topic only if none arrive. */
  std::function<bool()> CanUseZoneReader;
  /** The mesh topic was listed; receives its records. */
  std::function<void(const std::vector<mesh::operator_record> &)> OnMeshListed;
  /** The store came back from an older copy.
   * @param FromStore its answer told so, not another node. */
  std::function<void(bool FromStore)> OnStoreRewound;
  /** The store became unreachable, or reachable again. */
  std::function<void(bool Lost)> OnStoreLostChanged;
};

/** Client of the store. Follows the operator topic with long polling. */
class store_feed {
public:
  using append_handler = std::function<void(result<platform::append_ack>)>;
  using list_handler = std::function<void(result<platform::store_page>)>;

  store_feed(node_state &State, store_events Events);
  ~store_feed();
  store_feed(const store_feed &) = delete;
  auto operator=(const store_feed &) -> store_feed & = delete;

  /** Lists the mesh topic and, unless a reader in the zone supplies it, the
   * operator topic; then follows the operator topic. */
  void start();
  /** Lists the operator topic and polls again on new connections, after the
   * process was suspended. */
  void restart();
  /** Lists a whole topic. */
  void list(platform::store_topic Topic, const list_handler &Handle);
  /** Appends one record. After an error other than Overloaded, the store may or
   * may not have accepted the record. */
  void append(platform::store_topic Topic, const std::string &Key,
              const std::string &Value, std::optional<log_offset> At,
              append_handler Handle);
  /** Appends one record if the topic still ends where a listing found its end.
   * The record counts as appended only if the answer is of the era of the
   * listing; otherwise another listing shows whether it was. */
  void append(platform::store_topic Topic, const std::string &Key,
              const std::string &Value, const platform::store_page &Listing,
              const append_handler &Handle);
  /** @return the newest era of the store that this node has seen; 0 if unknown.
   */
  auto era() const -> store_era;
  /** @return when that era was first seen. */
  auto eraSeenAt() const -> steady_time;
  /** Takes notice of the era that another node has seen. If it is new, the
   * operator topic is listed again. */
  void noteEra(store_era Era);
  /** Aborts all calls. */
  void close();

private:
  struct implementation;
  std::unique_ptr<implementation> Impl;
};

} // namespace sycamorelb::sidecar
