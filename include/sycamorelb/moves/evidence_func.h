/** @file evidence_func.h Counts the calls of a move on each node, reports the
 * counts to the driver of the move and merges them there. */
#pragma once

#include "sycamorelb/core/result_type.h"
#include "sycamorelb/moves/move_type.h"

#include <map>
#include <string_view>
#include <vector>

namespace sycamorelb::moves {

/** Length of a window. Windows are aligned to the wall clock, so that all nodes
 * compare both versions over the same period. */
inline constexpr millis WindowLength{1000};
/** Windows that a node keeps, the current one included. Closed windows are
 * repeated in each report until they leave this range. */
inline constexpr std::int64_t WindowsKept = 4;
/** Routes counted separately in one move; further ones share OverflowRoute. */
inline constexpr std::size_t MaxRoutes = 32;
/** Stands for all routes beyond MaxRoutes or with an id that is too long. */
inline constexpr auto OverflowRoute = "*";
/** Longest move, node or route id in a report. */
inline constexpr std::size_t MaxIdBytes = 128;
/** Age, in windows, above which a reported window is ignored. */
inline constexpr std::int64_t MaxWindowAge = 64;
/** Largest encoded report; together with the message authentication code of the
 * transport it fits a datagram of 1,200 bytes. */
inline constexpr std::size_t MaxReportBytes = 1150;
/** Reporting nodes that a driver tracks; further ones are ignored. */
inline constexpr std::size_t MaxReporters = 1024;

/** Counts of one route in one window. */
struct window_tally {
  std::int64_t Window = -1; ///< Number of the window; -1 if unused.
  tally_pair Tally;         ///< By version.
  auto operator==(const window_tally &) const -> bool = default;
};

/** Evidence of one route at one admission node. */
struct route_evidence {
  tally_pair Total; ///< Since the node learnt of the move.
  std::array<window_tally, WindowsKept>
      Windows; ///< Ring buffer, by window number.
};

/** Evidence of one move at one admission node; the caller synchronises access.
 */
struct local_evidence {
  move_id Move;               ///< The move.
  std::uint32_t Sequence = 0; ///< Sequence number of the last report.
  std::map<route_id, route_evidence> Routes; ///< At most MaxRoutes + 1 entries.
};

/** Totals and closed windows of one route in a report. A tally without calls is
 * not encoded and changes nothing when merged, so a route may be split over
 * several reports. */
struct route_report {
  route_id Route;                    ///< The route.
  tally_pair Total;                  ///< Cumulative counters.
  std::vector<window_tally> Windows; ///< Closed windows, which are final.
  auto operator==(const route_report &) const -> bool = default;
};

/** One datagram from an admission node to the driver. */
struct evidence_report {
  move_id Move;                     ///< The move.
  node_id Node;                     ///< Reporting node.
  incarnation Incarnation;          ///< Incarnation of the reporting node.
  std::uint32_t Sequence = 0;       ///< Increases with each report.
  std::vector<route_report> Routes; ///< Routes in this datagram.
  auto operator==(const evidence_report &) const -> bool = default;
};

/** Counts of one route received from one reporting node. */
struct reporter_route {
  tally_pair Total;            ///< Largest cumulative counters received.
  std::int64_t LastWindow = 0; ///< Latest window merged.
  std::array<std::uint64_t, 2>
      MergedMask{}; ///< By version; bit i: window LastWindow - i was merged.
};

/** Counts received from one reporting node. */
struct reporter_state {
  incarnation Incarnation;                   ///< Latest incarnation received.
  std::map<route_id, reporter_route> Routes; ///< By route.
};

/** Evidence of one move at its driver. */
struct merged_evidence {
  move_id Move; ///< The move.
  std::map<node_id, reporter_state>
      Reporters;                         ///< At most MaxReporters entries.
  std::map<route_id, tally_pair> Totals; ///< Sum over all reporters and
                                         ///< incarnations.
  std::map<std::int64_t, std::map<route_id, tally_pair>>
      Windows;                        ///< Sums that the test has not used yet.
  std::int64_t LastTestedWindow = -1; ///< Later reports of windows up to
                                      ///< this one are ignored.
};

/** @return the number of the window that contains Now. */
auto windowAt(wall_ms Now) -> std::int64_t;

/** @return the index of the histogram bucket of a latency. */
auto latencyBucket(micros Latency) -> std::size_t;

/** @return the inclusive upper bound of a bucket; the last bucket has the
 * largest value of the type. */
auto bucketEnd(std::size_t Bucket) -> micros;

/** Adds the counts of More to Sum. */
void addTally(tally &Sum, const tally &More);

/** Counts one call. Runs for each call on the data path. */
void recordCall(local_evidence &Evidence, const route_id &Route, move_side Side,
                const call_sample &Sample, wall_ms Now);

/**
 * Builds the reports to send now. Each report carries the cumulative counters
 * again, so that a lost one needs no retransmission.
 * @return reports of at most MaxReportBytes each; empty without evidence.
 */
auto buildReports(local_evidence &Evidence, const node_id &Node,
                  incarnation Incarnation, wall_ms Now)
    -> std::vector<evidence_report>;

/**
 * Merges a report. Lost, duplicated and reordered reports are tolerated:
 * cumulative counters only grow within an incarnation, so the larger value is
 * the newer one, and each closed window is added once.
 * @return whether the report contained new counts.
 */
auto mergeReport(merged_evidence &Evidence, const evidence_report &Report,
                 wall_ms Now) -> bool;

/** @return the encoded report. */
auto encodeReport(const evidence_report &Report) -> std::string;

/** @return the report; Corrupt if it is malformed or a value is out of range.
 */
auto decodeReport(std::string_view Bytes) -> result<evidence_report>;

} // namespace sycamorelb::moves
