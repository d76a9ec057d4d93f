/** @file evidence_type.h Call statistics that the nodes report for a rollout.
 */
#pragma once

#include "sycamorelb/rollout/rollout_type.h"

#include <cstdint>
#include <map>
#include <tuple>

namespace sycamorelb::rollout {

/** What a node's statistics count from: the start of its process, or of the
 * target beside it. A later start has a greater value. */
struct evidence_start {
  std::uint64_t Incarnation = 0; ///< Orders the processes of a node.
  std::uint64_t TargetStart = 0; ///< Number of the target since then.
  process_id Process{};          ///< The process.
  auto operator==(const evidence_start &) const -> bool = default;
};

/** @return whether Left is the earlier start. The incarnation of a process may
 * increase while it runs, which is not another start. */
inline auto isEarlier(const evidence_start &Left, const evidence_start &Right)
    -> bool {
  if (Left.Process == Right.Process && Left.Process != process_id()) {
    return Left.TargetStart < Right.TargetStart;
  }
  return std::tie(Left.Incarnation, Left.TargetStart) <
         std::tie(Right.Incarnation, Right.TargetStart);
}

/** Statistics of one node for the target beside it. */
struct node_evidence {
  evidence_start Start;      ///< Since when it counts.
  version_id Version;        ///< Version of the target.
  version_evidence Evidence; ///< All calls since Start.
};

/** All statistics that were reported for one rollout order. What a process
 * counted remains when it or its target ends. */
struct evidence_ledger {
  std::map<node_id, node_evidence> Current;     ///< Last report of each node.
  std::map<version_id, version_evidence> Ended; ///< Of earlier starts.
};

/** Adds a report. A report of an earlier start than the last one is ignored. */
void recordEvidence(evidence_ledger &Ledger, const node_id &Node,
                    const node_evidence &Report);

/** Sum of the reports on the new version, and of those on all others. */
struct evidence_sums {
  version_evidence New; ///< Calls to the new version.
  version_evidence Old; ///< Calls to other versions.
};

/** @return the sums over all reports. */
auto sumEvidence(const evidence_ledger &Ledger, const version_id &NewVersion)
    -> evidence_sums;

} // namespace sycamorelb::rollout
