/** @file evidence.cpp Collects the call statistics of a rollout. */
#include "sycamorelb/rollout/evidence_type.h"

namespace sycamorelb::rollout {

void recordEvidence(evidence_ledger &Ledger, const node_id &Node,
                    const node_evidence &Report) {
  auto [Found, IsNew] = Ledger.Current.try_emplace(Node, Report);
  if (IsNew || isEarlier(Report.Start, Found->second.Start)) {
    return;
  }
  auto &Last = Found->second;
  if (isEarlier(Last.Start, Report.Start)) {
    addEvidence(Ledger.Ended[Last.Version], Last.Evidence);
  }
  Last = Report;
}

auto sumEvidence(const evidence_ledger &Ledger, const version_id &NewVersion)
    -> evidence_sums {
  auto Sums = evidence_sums();
  auto Add = [&](const version_id &Version, const version_evidence &Part) {
    addEvidence(Version == NewVersion ? Sums.New : Sums.Old, Part);
  };
  for (const auto &[Node, Report] : Ledger.Current) {
    Add(Report.Version, Report.Evidence);
  }
  for (const auto &[Version, Evidence] : Ledger.Ended) {
    Add(Version, Evidence);
  }
  return Sums;
}

} // namespace sycamorelb::rollout
