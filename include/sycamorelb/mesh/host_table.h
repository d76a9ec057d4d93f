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

/** Name of one process of a target; a restarted target has a new one. */
using target_id = strong_id<struct target_tag, std::string>;

/** State that a target reported. */
enum class target_state : std::uint8_t {
  Absent,   ///< Nothing is known since the node started.
  Ready,    ///< It accepts calls.
  Draining, ///< It is leaving and accepts no new calls.
  Gone,     ///< It has left.
};

/** The target beside a node. */
struct target_record {
  target_id Id;                 ///< Name of this process.
  std::int64_t StartedAtMs = 0; ///< Wall-clock time of its start, in Unix ms.
  service_id Service;           ///< Service that it runs.
  version_id Version;           ///< Version of its software.
  std::uint32_t Slots = 0;      ///< Calls that it can run concurrently.
  target_state State = target_state::Absent; ///< Last known state.
  auto operator==(const target_record &) const -> bool = default;
};

/** What a target says of itself in its answers. */
struct target_notice {
  target_id Target;             ///< Name of the process; empty if unknown.
  std::int64_t StartedAtMs = 0; ///< Wall-clock time of its start, in Unix ms.
  /** Calls that it takes from all hosts together; nothing if it has no limit.
   */
  std::optional<double> CallsPerSecond;
  bool Leaving = false; ///< It is about to leave.
  auto operator==(const target_notice &) const -> bool = default;
};

/** @return whether the notice is about the start of a target that the record
 * describes. */
auto isAbout(const target_notice &Notice, const target_record &Target) -> bool;

/** Description of a node, written only by the node itself. */
struct host_record {
  node_id Node;         ///< Name of the host.
  event::endpoint Peer; ///< Address for connections from other nodes.
  zone_id Zone;         ///< Its availability zone.
  /** Orders the records of a host. Increases with each start of the node, and
   * while it runs if a previous process had a greater one; Process tells
   * processes apart. */
  std::uint64_t Incarnation = 0;
  process_id Process;         ///< Process that wrote the record.
  std::uint64_t Revision = 0; ///< Increases with each change of the record.
  bool StoreLost = false;     ///< The node can't read the platform's store.
  bool Leaving = false;       ///< The node is stopping.
  /** The node has the CPU and bandwidth to read the store for its zone. */
  bool ReaderCapable = false;
  /** Dictionary of the compressed messages that the node reads; 0 for none. */
  std::uint32_t Compression = 0;
  target_record Target; ///< The target beside it.
  auto operator==(const host_record &) const -> bool = default;
};

/** @return whether Left is newer than Right; both describe the same host. */
auto isNewer(const host_record &Left, const host_record &Right) -> bool;

/** Newest record of each host. */
class host_table {
public:
  /** Stores a record if it is newer than the one of its host.
   * @return whether it was. */
  auto merge(const host_record &Record) -> bool;
  /** Removes the record of a host. */
  void erase(const node_id &Node);
  /** @return the record, or null. */
  auto find(const node_id &Node) const -> const host_record *;
  /** @return the last record with a known target from a previous process of the
   * host's node, or null. Peers send it to the new process. */
  auto findPrevious(const node_id &Node) const -> const host_record *;
  /** @return all records, ordered by name. */
  auto records() const -> const std::map<node_id, host_record> & {
    return Records;
  }
  /** @return a hash that is equal for equal contents. */
  auto digest() const -> std::uint64_t { return Digest; }

private:
  std::map<node_id, host_record> Records;
  std::map<node_id, host_record> PreviousRecords; ///< Of previous processes.
  std::uint64_t Digest = 0;
};

} // namespace sycamorelb::mesh
