/** @file evidence.cpp Recording, reporting and merging of evidence. */
#include "sycamorelb/moves/evidence_func.h"

#include "moves/report_codec.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace sycamorelb::moves {

static auto makeBucketEnds() -> std::array<std::int64_t, LatencyBuckets> {
  auto Ends = std::array<std::int64_t, LatencyBuckets>{};
  for (auto Index = std::size_t{0}; Index + 1 < LatencyBuckets; ++Index) {
    Ends[Index] = std::llround(100 * std::exp2(double(Index) / 4));
  }
  Ends.back() = std::numeric_limits<std::int64_t>::max();
  return Ends;
}

static const auto BucketEnds = makeBucketEnds();

auto windowAt(wall_ms Now) -> std::int64_t {
  return Now.Value / WindowLength.count();
}

auto latencyBucket(micros Latency) -> std::size_t {
  auto Found =
      std::lower_bound(BucketEnds.begin(), BucketEnds.end(), Latency.count());
  return std::size_t(Found - BucketEnds.begin());
}

auto bucketEnd(std::size_t Bucket) -> micros {
  return micros(BucketEnds[std::min(Bucket, LatencyBuckets - 1)]);
}

void addTally(tally &Sum, const tally &More) {
  Sum.Calls += More.Calls;
  Sum.Failures += More.Failures;
  Sum.Cancelled += More.Cancelled;
  for (auto Index = std::size_t{0}; Index < LatencyBuckets; ++Index) {
    Sum.Latency[Index] += More.Latency[Index];
  }
}

static void addSample(tally &Tally, const call_sample &Sample,
                      std::size_t Bucket) {
  ++Tally.Calls;
  if (Sample.Outcome == call_outcome::Failed) {
    ++Tally.Failures;
  } else if (Sample.Outcome == call_outcome::Cancelled) {
    ++Tally.Cancelled;
  } else if (!Sample.Cold) {
    ++Tally.Latency[Bucket];
  }
}

static auto routeSlot(local_evidence &Evidence, const route_id &Route)
    -> route_evidence & {
  auto Found = Evidence.Routes.find(Route);
  if (Found != Evidence.Routes.end()) {
    return Found->second;
  }
  if (Evidence.Routes.size() < MaxRoutes && Route.Value.size() <= MaxIdBytes) {
    return Evidence.Routes[Route];
  }
  return Evidence.Routes[route_id{OverflowRoute}];
}

static auto ringIndex(std::int64_t Window) -> std::size_t {
  return std::size_t(Window % WindowsKept + WindowsKept) % WindowsKept;
}

void recordCall(local_evidence &Evidence, const route_id &Route, move_side Side,
                const call_sample &Sample, wall_ms Now) {
  auto &Slot = routeSlot(Evidence, Route);
  auto Bucket = latencyBucket(Sample.Latency);
  addSample(Slot.Total[std::size_t(Side)], Sample, Bucket);
  auto Window = windowAt(Now);
  auto &Ring = Slot.Windows[ringIndex(Window)];
  if (Ring.Window > Window) {
    return; // The clock went back; the totals still count the call.
  }
  if (Ring.Window < Window) {
    Ring = window_tally{Window, {}};
  }
  addSample(Ring.Tally[std::size_t(Side)], Sample, Bucket);
}

namespace {

/** Fills reports up to their largest size. */
struct report_packer {
  evidence_report Empty;                ///< Header of every report.
  std::vector<evidence_report> Reports; ///< Filled so far.
  std::size_t Used = 0;                 ///< Bytes of the last report.

  /** Adds one tally; Window is negative for the total. */
  void add(const route_id &Route, std::int64_t Window, std::size_t Side,
           const tally &Tally) {
    if (Tally.Calls == 0) {
      return;
    }
    auto Size = tallySize(Tally) + WindowOverhead;
    auto IsNewRoute = Reports.empty() || Reports.back().Routes.empty() ||
                      Reports.back().Routes.back().Route != Route;
    auto Whole = Size + (IsNewRoute ? routeSize(Route) : 0);
    if (Reports.empty() || Used + Whole > MaxReportBytes) {
      Reports.push_back(Empty);
      Used = headerSize(Empty);
      IsNewRoute = true;
      Whole = Size + routeSize(Route);
    }
    if (IsNewRoute) {
      Reports.back().Routes.push_back({Route, {}, {}});
    }
    Used += Whole;
    place(Reports.back().Routes.back(), Window, Side, Tally);
  }

  static void place(route_report &Report, std::int64_t Window, std::size_t Side,
                    const tally &Tally) {
    if (Window < 0) {
      Report.Total[Side] = Tally;
      return;
    }
    if (Report.Windows.empty() || Report.Windows.back().Window != Window) {
      Report.Windows.push_back({Window, {}});
    }
    Report.Windows.back().Tally[Side] = Tally;
  }
};

} // namespace

auto takeReport(local_evidence &Evidence, const node_id &Node,
                incarnation Incarnation, wall_ms Now)
    -> std::vector<evidence_report> {
  if (Evidence.Routes.empty() || Evidence.Move.Value.size() > MaxIdBytes ||
      Node.Value.size() > MaxIdBytes) {
    return {};
  }
  auto Packer = report_packer{};
  Packer.Empty = evidence_report{
      Evidence.Move, Node, Incarnation, ++Evidence.Sequence, {}};
  auto Current = windowAt(Now);
  for (const auto &[Route, Slot] : Evidence.Routes) {
    for (auto Side = std::size_t{0}; Side < 2; ++Side) {
      Packer.add(Route, -1, Side, Slot.Total[Side]);
    }
    for (auto Window = Current - WindowsKept + 1; Window < Current; ++Window) {
      const auto &Ring = Slot.Windows[ringIndex(Window)];
      for (auto Side = std::size_t{0}; Side < 2; ++Side) {
        if (Ring.Window == Window) {
          Packer.add(Route, Window, Side, Ring.Tally[Side]);
        }
      }
    }
  }
  return std::move(Packer.Reports);
}

template <class Count> static void raise(Count &Known, Count Seen, Count &Sum) {
  if (Seen > Known) {
    Sum += Seen - Known;
    Known = Seen;
  }
}

/** Raises the counters known from a reporter, and the sum by the same. */
static void raiseTally(tally &Known, const tally &Seen, tally &Sum) {
  raise(Known.Calls, Seen.Calls, Sum.Calls);
  raise(Known.Failures, Seen.Failures, Sum.Failures);
  raise(Known.Cancelled, Seen.Cancelled, Sum.Cancelled);
  for (auto Index = std::size_t{0}; Index < LatencyBuckets; ++Index) {
    raise(Known.Latency[Index], Seen.Latency[Index], Sum.Latency[Index]);
  }
}

/** @return whether this is the first time the window side is merged. */
static auto markMerged(reporter_route &Known, std::int64_t Window,
                       std::size_t Side) -> bool {
  if (Window > Known.LastWindow) {
    auto Shift = Window - Known.LastWindow;
    for (auto &Mask : Known.Merged) {
      Mask = Shift >= 64 ? 0 : Mask << Shift;
    }
    Known.LastWindow = Window;
  }
  auto Age = Known.LastWindow - Window;
  if (Age >= 64) {
    return false;
  }
  auto Bit = std::uint64_t{1} << Age;
  auto IsNew = (Known.Merged[Side] & Bit) == 0;
  Known.Merged[Side] |= Bit;
  return IsNew;
}

static auto mergeWindow(merged_evidence &Evidence, reporter_route &Known,
                        const route_id &Route, const window_tally &Window,
                        std::int64_t Current) -> bool {
  if (Window.Window <= Evidence.Consumed || Window.Window > Current + 2 ||
      Window.Window < Current - MaxWindowAge) {
    return false;
  }
  auto IsNew = false;
  for (auto Side = std::size_t{0}; Side < 2; ++Side) {
    const auto &Tally = Window.Tally[Side];
    if (Tally.Calls > 0 && markMerged(Known, Window.Window, Side)) {
      addTally(Evidence.Windows[Window.Window][Route][Side], Tally);
      IsNew = true;
    }
  }
  return IsNew;
}

static auto mergeRoute(merged_evidence &Evidence, reporter_state &Reporter,
                       const route_report &Report, std::int64_t Current)
    -> bool {
  if (!Reporter.Routes.contains(Report.Route) &&
      Reporter.Routes.size() > MaxRoutes) {
    return false;
  }
  auto &Known = Reporter.Routes[Report.Route];
  auto &Sum = Evidence.Totals[Report.Route];
  auto IsNew = false;
  for (auto Side = std::size_t{0}; Side < 2; ++Side) {
    auto Before = Known.Total[Side].Calls;
    raiseTally(Known.Total[Side], Report.Total[Side], Sum[Side]);
    IsNew = IsNew || Known.Total[Side].Calls != Before;
  }
  for (const auto &Window : Report.Windows) {
    IsNew =
        mergeWindow(Evidence, Known, Report.Route, Window, Current) || IsNew;
  }
  return IsNew;
}

auto mergeReport(merged_evidence &Evidence, const evidence_report &Report,
                 wall_ms Now) -> bool {
  if (Report.Move != Evidence.Move) {
    return false;
  }
  auto Found = Evidence.Reporters.find(Report.Node);
  if (Found == Evidence.Reporters.end()) {
    if (Evidence.Reporters.size() >= MaxReporters) {
      return false;
    }
    Found = Evidence.Reporters.emplace(Report.Node, reporter_state{}).first;
    Found->second.Incarnation = Report.Incarnation;
  }
  auto &Reporter = Found->second;
  if (Report.Incarnation < Reporter.Incarnation) {
    return false;
  }
  if (Report.Incarnation > Reporter.Incarnation) {
    // Counters of the earlier generation stay in the sums.
    Reporter = reporter_state{Report.Incarnation, {}};
  }
  auto IsNew = false;
  for (const auto &Route : Report.Routes) {
    IsNew = mergeRoute(Evidence, Reporter, Route, windowAt(Now)) || IsNew;
  }
  while (Evidence.Windows.size() > std::size_t(2 * MaxWindowAge)) {
    Evidence.Windows.erase(Evidence.Windows.begin());
  }
  return IsNew;
}

} // namespace sycamorelb::moves
