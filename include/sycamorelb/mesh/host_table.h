/** @file host_table.h Hosts of the mesh and the target beside each node. */
#pragma once

#include "sycamorelb/core/id_type.h"
#include "sycamorelb/core/unit_type.h"
#include "sycamorelb/event/stream.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace sycamorelb::mesh {

/** Name of one start of a target. */
using target_id = strong_id<struct target_tag, std::string>;

/** What a target said of itself. */
enum class target_state : std::uint8_t {
  Absent,   ///< Nothing is known since the node started.
  Ready,    ///< It takes work.
  Draining, ///< It leaves and takes no new work.
  Gone,     ///< It said goodbye.
};

/** The target beside a node. */
struct target_record {
  target_id Id;            ///< Name of this start.
  std::int64_t BornAt = 0; ///< Wall time of its start, in Unix ms.
  service_id Service;      ///< Service that it runs.
  version_id Version;      ///< Version of its software.
  std::uint32_t Slots = 0; ///< Calls that it runs at once.
  target_state State = target_state::Absent; ///< Last known state.
  auto operator==(const target_record &) const -> bool = default;
};

/** What a node says of itself; only the node itself writes it. */
struct host_record {
  node_id Node;                  ///< Name of the host.
  event::endpoint Peer;          ///< Where other nodes reach it.
  zone_id Zone;                  ///< Its availability zone.
  std::uint64_t Incarnation = 0; ///< Grows with each start of the node.
  std::uint64_t Revision = 0;    ///< Grows with each change of the record.
  bool StoreLost = false;        ///< The node can't read the platform's store.
  bool Leaving = false;          ///< The node stops.
  bool Capable = false; ///< It has the means to read the store for others.
  target_record Target; ///< The target beside it.
  auto operator==(const host_record &) const -> bool = default;
};

/** @return whether Left is newer than Right; both describe the same host. */
auto isNewer(const host_record &Left, const host_record &Right) -> bool;

/** Newest record of each host. */
class host_table {
public:
  /** Takes a record over if it is newer than the one held.
   * @return whether it was. */
  auto merge(const host_record &Record) -> bool;
  /** Forgets a host. */
  void erase(const node_id &Node);
  /** @return the record, or null. */
  auto find(const node_id &Node) const -> const host_record *;
  /** @return the last record of an earlier process of the host that knew its
   * target, or null. Its next process is told of it. */
  auto formerOf(const node_id &Node) const -> const host_record *;
  /** @return all records, ordered by name. */
  auto records() const -> const std::map<node_id, host_record> & {
    return Records;
  }
  /** @return a hash that is equal for equal contents. */
  auto digest() const -> std::uint64_t { return Digest; }

private:
  std::map<node_id, host_record> Records;
  std::map<node_id, host_record> Former; // Of earlier processes.
  std::uint64_t Digest = 0;
};

/**
 * Orders what is known of the target beside a node: a later start replaces an
 * earlier one, and within one start the state only moves towards Gone.
 * @return the target that holds after News, or nothing if News is outdated.
 */
auto advanceTarget(const target_record &Known, const target_record &News)
    -> std::optional<target_record>;

} // namespace sycamorelb::mesh
