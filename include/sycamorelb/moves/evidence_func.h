/** @file evidence_func.h Gathers, reports and merges the evidence of a move. */
#pragma once

#include "sycamorelb/core/result_type.h"
#include "sycamorelb/moves/move_type.h"

#include <map>
#include <string_view>
#include <vector>

namespace sycamorelb::moves {

/** Length of a window. Windows are aligned on the wall clock, so that both
 * versions are compared over the same period on all nodes. */
inline constexpr millis WindowLength{1000};
/** Windows a node keeps; a closed window is reported in this many reports. */
inline constexpr std::int64_t WindowsKept = 4;
/** Routes told apart in one move; further routes share OverflowRoute. */
inline constexpr std::size_t MaxRoutes = 32;
/** Stands for all routes beyond MaxRoutes or with an id that is too long. */
inline constexpr auto OverflowRoute = "*";
/** Longest move, node or route id in a report. */
inline constexpr std::size_t MaxIdBytes = 128;
/** Windows further back than this are not merged any more. */
inline constexpr std::int64_t MaxWindowAge = 64;
/** Largest encoded report; with the authentication code of the transport it
 * fits the 1,200 bytes of a datagram. */
inline constexpr std::size_t MaxReportBytes = 1150;
/** Reporters the driver keeps; further ones are ignored. */
inline constexpr std::size_t MaxReporters = 1024;

/** Counts of one route in one window. */
struct window_tally {
  std::int64_t Window = -1; ///< Number of the window; -1 for unused.
  tally_pair Tally;         ///< Old and new version.
  auto operator==(const window_tally &) const -> bool = default;
};

/** Evidence of one route at one admission node. */
struct route_evidence {
  tally_pair Total;                              ///< Since the move was seen.
  std::array<window_tally, WindowsKept> Windows; ///< Ring by window number.
};

/** Evidence of one move at one admission node; guarded by the caller's lock. */
struct local_evidence {
  move_id Move;                              ///< The move.
  std::uint32_t Sequence = 0;                ///< Number of the last report.
  std::map<route_id, route_evidence> Routes; ///< By route, bounded.
};

/** Part of a report: totals and closed windows of one route. A tally without
 * calls is left out when encoded, and merging it changes nothing, so a route
 * may be split over several reports. */
struct route_report {
  route_id Route;                    ///< The route.
  tally_pair Total;                  ///< Cumulative counters.
  std::vector<window_tally> Windows; ///< Closed windows, never changed again.
  auto operator==(const route_report &) const -> bool = default;
};

/** One datagram from an admission node to the driver. */
struct evidence_report {
  move_id Move;                     ///< The move.
  node_id Node;                     ///< Reporter.
  incarnation Incarnation;          ///< Generation of the reporter.
  std::uint32_t Sequence = 0;       ///< Grows with each report.
  std::vector<route_report> Routes; ///< Routes in this datagram.
  auto operator==(const evidence_report &) const -> bool = default;
};

/** What the driver knows from one reporter about one route. */
struct reporter_route {
  tally_pair Total;            ///< Largest cumulative counters seen.
  std::int64_t LastWindow = 0; ///< Newest window merged.
  std::array<std::uint64_t, 2>
      Merged{}; ///< By side, bit i: window LastWindow-i was merged.
};

/** What the driver knows from one reporter. */
struct reporter_state {
  incarnation Incarnation;                   ///< Newest generation seen.
  std::map<route_id, reporter_route> Routes; ///< By route.
};

/** Evidence of one move at its driver. */
struct merged_evidence {
  move_id Move;                                ///< The move.
  std::map<node_id, reporter_state> Reporters; ///< By reporter, bounded.
  std::map<route_id, tally_pair> Totals;       ///< Sum over all reporters and
                                               ///< generations.
  std::map<std::int64_t, std::map<route_id, tally_pair>>
      Windows;                ///< Sums not yet consumed by the test.
  std::int64_t Consumed = -1; ///< Windows up to this one are closed.
};

/** @return the number of the window that contains Now. */
auto windowAt(wall_ms Now) -> std::int64_t;

/** @return the bucket of a latency. */
auto latencyBucket(micros Latency) -> std::size_t;

/** @return the upper end of a bucket; the last one has the largest value. */
auto bucketEnd(std::size_t Bucket) -> micros;

/** Adds the counts of More to Sum. */
void addTally(tally &Sum, const tally &More);

/** Records one call; cheap, for the data path. */
void recordCall(local_evidence &Evidence, const route_id &Route, move_side Side,
                const call_sample &Sample, wall_ms Now);

/**
 * Takes the reports to send now; repeats what was sent before.
 * @return datagrams that each fit MaxReportBytes; empty without evidence.
 */
auto takeReport(local_evidence &Evidence, const node_id &Node,
                incarnation Incarnation, wall_ms Now)
    -> std::vector<evidence_report>;

/**
 * Merges a report; lost, duplicated and reordered reports are harmless:
 * cumulative counters only grow within a generation, so the larger value is the
 * newer one, and a closed window is added once.
 * @return whether anything new was learnt.
 */
auto mergeReport(merged_evidence &Evidence, const evidence_report &Report,
                 wall_ms Now) -> bool;

/** @return the encoded report. */
auto encodeReport(const evidence_report &Report) -> std::string;

/** @return the report; Corrupt when the bytes break the format or a bound. */
auto decodeReport(std::string_view Bytes) -> result<evidence_report>;

} // namespace sycamorelb::moves
