/** @file pick.cpp Choice of upstream. */
#include "sycamorelb/routing/pick_func.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <vector>

namespace sycamorelb::routing {

namespace {

/// Ids named in a panic reason.
constexpr std::size_t MaxNamedIds = 5;
/// Part of the failure ratio that counts against an upstream in the score; the
/// rest keeps the score finite.
constexpr double FailureWeight = 0.9;

/// Part of its weight that a fully used cold upstream keeps, so that new
/// reports of it arrive.
constexpr double MinHeadroom = 0.05;

enum tier : std::uint8_t { OwnZone, OwnRegion, Elsewhere, TierCount };

/** An eligible candidate with the values the choice needs. */
struct entry {
  std::size_t Index = 0;  ///< Into the candidates.
  tier Tier = OwnZone;    ///< Distance.
  double Limit = 1;       ///< Trusted limit.
  double Weight = 1;      ///< Limit with slow start.
  double InFlight = 0;    ///< Own or reported calls in flight.
  double Utilisation = 0; ///< Measured, 0 to 1.
  bool Learning = false;  ///< Cold, returning, or little observed.
};

/** @return 1 for a new report, falling to 0 over its life. */
auto reportWeight(const upstream_stats &Stats, const pick_config &Config,
                  steady_time Now) -> double {
  if (!Stats.HasReport)
    return 0;
  auto Age = static_cast<double>((Now - Stats.ReportedAt).count());
  return std::clamp(1 - Age / static_cast<double>(Config.ReportLife.count()),
                    0.0, 1.0);
}

/** A cold report holds until the next one: forgetting it would raise the trust
 * without an observation. */
auto isCold(const candidate &Candidate) -> bool {
  return Candidate.State == membership::upstream_state::Cold ||
         (Candidate.Stats != nullptr && Candidate.Stats->Report.Cold);
}

auto tierOf(const candidate &Candidate, const pick_origin &Origin) -> tier {
  if (Candidate.Zone == Origin.Zone)
    return OwnZone;
  return Candidate.Region == Origin.Region ? OwnRegion : Elsewhere;
}

auto makeEntry(std::size_t Index, const candidate &Candidate,
               const pick_request &Request, const pick_config &Config,
               steady_time Now) -> entry {
  auto Entry = entry{};
  Entry.Index = Index;
  Entry.Tier = tierOf(Candidate, Request.Origin);
  Entry.Limit = trustedLimit(Candidate);
  auto SlowStart = slowStartWeight(Candidate, Config, Now);
  Entry.Weight = Entry.Limit * SlowStart;
  Entry.Learning = SlowStart < 1 || isCold(Candidate);
  if (Candidate.Stats == nullptr) {
    Entry.Learning = true;
    return Entry;
  }
  const auto &Stats = *Candidate.Stats;
  auto Fresh = reportWeight(Stats, Config, Now);
  Entry.InFlight = std::max(static_cast<double>(Stats.InFlight),
                            Fresh * Stats.Report.InFlight);
  // Relative to the slow-started capacity, so that traffic also comes back to
  // the own zone gradually.
  auto Utilisation =
      std::max(Stats.InFlight / Entry.Limit, Fresh * Stats.Utilisation);
  Entry.Utilisation = std::min(1.0, Utilisation / SlowStart);
  Entry.Learning = Entry.Learning || Stats.LatencyUs == 0 ||
                   Stats.EarnedLimit < std::min(2U, Candidate.Slots);
  // Many nodes share the few slots of a cold upstream, and each sees only its
  // own calls; the reported utilisation tells how far the others fill them.
  if (Config.ColdAware && Entry.Learning)
    Entry.Weight *= std::max(MinHeadroom, 1 - Entry.Utilisation);
  return Entry;
}

void count(pick_census &Census, ineligible_reason Reason) {
  ++Census.Candidates;
  switch (Reason) {
  case ineligible_reason::None:
    ++Census.Eligible;
    break;
  case ineligible_reason::OtherVersion:
    ++Census.OtherVersion;
    break;
  case ineligible_reason::ZoneOutOfService:
    ++Census.ZoneOutOfService;
    break;
  case ineligible_reason::MemberNotAlive:
    ++Census.MemberNotAlive;
    break;
  case ineligible_reason::Draining:
    ++Census.Draining;
    break;
  case ineligible_reason::Excluded:
    ++Census.Excluded;
    break;
  case ineligible_reason::Ejected:
    ++Census.Ejected;
    break;
  case ineligible_reason::Suspect:
    ++Census.Suspect;
    break;
  }
}

/** @return the entries of all candidates that fail only by a guess. */
auto panicEntries(std::span<const candidate> Candidates,
                  const pick_request &Request, const pick_config &Config,
                  steady_time Now) -> std::vector<entry> {
  auto Entries = std::vector<entry>{};
  for (auto Index = std::size_t{0}; Index < Candidates.size(); ++Index) {
    auto Reason = checkEligible(Candidates[Index], Request);
    if (Reason == ineligible_reason::Ejected ||
        Reason == ineligible_reason::Suspect)
      Entries.push_back(
          makeEntry(Index, Candidates[Index], Request, Config, Now));
  }
  // A refused connection is a fact and not a guess.
  auto IsUnreachable = [&](const entry &Entry) {
    const auto *Stats = Candidates[Entry.Index].Stats;
    return Stats != nullptr && Stats->Outlier.Unreachable;
  };
  if (!std::ranges::all_of(Entries, IsUnreachable))
    std::erase_if(Entries, IsUnreachable);
  return Entries;
}

auto panicReason(std::span<const candidate> Candidates,
                 const std::vector<entry> &Entries, const pick_census &Census)
    -> std::string {
  auto Text = "no healthy candidate (" + describe(Census) + "), picked from ";
  for (auto At = std::size_t{0}; At < Entries.size() && At < MaxNamedIds; ++At)
    Text += (At == 0 ? "" : ", ") + Candidates[Entries[At].Index].Id.Value;
  if (Entries.size() > MaxNamedIds)
    Text += ", ...";
  return Text;
}

/** Removes cold upstreams without a free slot while others remain: each call
 * beyond the cold limit is refused there or slows down the warm-up. */
void dropFullCold(std::vector<entry> &Entries) {
  auto IsFull = [](const entry &Entry) {
    return Entry.Learning && Entry.InFlight >= Entry.Limit;
  };
  if (!std::ranges::all_of(Entries, IsFull))
    std::erase_if(Entries, IsFull);
}

auto pickTier(const std::vector<entry> &Entries, const pick_config &Config,
              random_source &Random) -> tier {
  auto Loads = std::array<tier_load, TierCount>{};
  for (const auto &Entry : Entries) {
    auto &Load = Loads[Entry.Tier];
    Load.Capacity += Entry.Weight;
    Load.Utilisation += Entry.Weight * Entry.Utilisation;
  }
  for (auto &Load : Loads)
    if (Load.Capacity > 0)
      Load.Utilisation /= Load.Capacity;
  auto Shares =
      shareTiers(Loads[OwnZone], Loads[OwnRegion], Loads[Elsewhere], Config);
  auto Draw = randomUnit(Random);
  if (Loads[OwnZone].Capacity > 0 && Draw < Shares.OwnZone)
    return OwnZone;
  if (Loads[OwnRegion].Capacity > 0 && Draw < Shares.OwnZone + Shares.OwnRegion)
    return OwnRegion;
  if (Loads[Elsewhere].Capacity > 0)
    return Elsewhere;
  // Rounding can leave the draw just above the last share.
  return Loads[OwnRegion].Capacity > 0 ? OwnRegion : OwnZone;
}

/** Draws an entry of the tier by weight, other than Skipped.
 * @return index into Entries; Entries.size() if there is none. */
auto drawEntry(const std::vector<entry> &Entries, tier Tier,
               std::size_t Skipped, random_source &Random) -> std::size_t {
  auto Counts = [&](std::size_t At) {
    return Entries[At].Tier == Tier && At != Skipped;
  };
  auto Total = 0.0;
  for (auto At = std::size_t{0}; At < Entries.size(); ++At)
    Total += Counts(At) ? Entries[At].Weight : 0;
  auto Draw = randomUnit(Random) * Total;
  auto Last = Entries.size();
  for (auto At = std::size_t{0}; At < Entries.size(); ++At) {
    if (!Counts(At))
      continue;
    Last = At;
    Draw -= Entries[At].Weight;
    if (Draw < 0)
      break;
  }
  return Last;
}

auto meanLatency(std::span<const candidate> Candidates,
                 const std::vector<entry> &Entries) -> double {
  auto Sum = 0.0;
  auto Known = 0;
  for (const auto &Entry : Entries) {
    const auto *Stats = Candidates[Entry.Index].Stats;
    if (Stats == nullptr || Stats->LatencyUs == 0)
      continue;
    Sum += Stats->LatencyUs;
    ++Known;
  }
  return Known == 0 ? 1 : Sum / Known;
}

/** @return the expected wait: (in flight + 1) * latency / limit. */
auto score(const entry &Entry, const upstream_stats *Stats, double Mean,
           const pick_config &Config, steady_time Now) -> double {
  auto Latency = Mean;
  auto Failures = 0.0;
  if (Stats != nullptr && Stats->LatencyUs > 0) {
    Latency = Stats->LatencyUs;
    Failures = Stats->FailureRatio;
    // Without samples a high latency is forgotten; otherwise the upstream would
    // never be tried again.
    if (Latency > Mean) {
      auto Age = static_cast<double>((Now - Stats->LatencyAt).count());
      auto Memory = static_cast<double>(Config.LatencyMemory.count());
      Latency =
          Mean + (Latency - Mean) * std::exp(-std::max(Age, 0.0) / Memory);
    }
  }
  return (Entry.InFlight + 1) * Latency /
         (Entry.Weight * (1 - FailureWeight * Failures));
}

auto pickEntry(std::span<const candidate> Candidates,
               const std::vector<entry> &Entries, const pick_config &Config,
               random_source &Random, steady_time Now) -> std::size_t {
  auto Tier = pickTier(Entries, Config, Random);
  auto First = drawEntry(Entries, Tier, Entries.size(), Random);
  // A cold, returning or unobserved upstream has a low weight and would lose
  // every comparison of scores. It takes the calls of its weight here; without
  // them it would never warm up.
  if (Entries[First].Learning && Entries[First].InFlight < Entries[First].Limit)
    return First;
  auto Second = drawEntry(Entries, Tier, First, Random);
  if (Second == Entries.size())
    return First;
  auto Mean = meanLatency(Candidates, Entries);
  auto ScoreOf = [&](std::size_t At) {
    return score(Entries[At], Candidates[Entries[At].Index].Stats, Mean, Config,
                 Now);
  };
  return ScoreOf(Second) < ScoreOf(First) ? Second : First;
}

} // namespace

auto makeUpstreamId(const node_id &Node, const std::string &Address)
    -> upstream_id {
  return upstream_id{Node.Value + "/" + Address};
}

auto describe(const pick_census &Census) -> std::string {
  auto Text = std::to_string(Census.Candidates) + " candidates";
  auto Separator = ": ";
  auto Add = [&](std::uint32_t Number, const char *Name) {
    if (Number == 0)
      return;
    Text += Separator + std::to_string(Number) + " " + Name;
    Separator = ", ";
  };
  Add(Census.Eligible, "eligible");
  Add(Census.OtherVersion, "of another version");
  Add(Census.ZoneOutOfService, "in a zone out of service");
  Add(Census.MemberNotAlive, "on a node leaving or dead");
  Add(Census.Draining, "draining");
  Add(Census.Excluded, "already tried");
  Add(Census.Ejected, "ejected");
  Add(Census.Suspect, "on a suspected node");
  return Text;
}

auto checkEligible(const candidate &Candidate, const pick_request &Request)
    -> ineligible_reason {
  using membership::member_state;
  if (Candidate.Version != Request.Version)
    return ineligible_reason::OtherVersion;
  if (!Candidate.ZoneInService)
    return ineligible_reason::ZoneOutOfService;
  if (Candidate.Member == member_state::Leaving ||
      Candidate.Member == member_state::Dead)
    return ineligible_reason::MemberNotAlive;
  if (Candidate.State == membership::upstream_state::Draining)
    return ineligible_reason::Draining;
  if (std::ranges::find(Request.Excluded, Candidate.Id) !=
      Request.Excluded.end())
    return ineligible_reason::Excluded;
  if (Candidate.Stats != nullptr && Candidate.Stats->Outlier.Ejected)
    return ineligible_reason::Ejected;
  if (Candidate.Member == member_state::Suspect)
    return ineligible_reason::Suspect;
  return ineligible_reason::None;
}

auto trustedLimit(const candidate &Candidate) -> double {
  if (Candidate.Stats == nullptr)
    return 1;
  const auto &Stats = *Candidate.Stats;
  auto Limit = std::min(Stats.EarnedLimit,
                        static_cast<double>(std::max(1U, Candidate.Slots)));
  if (Stats.Report.Limit > 0)
    Limit = std::min(Limit, static_cast<double>(Stats.Report.Limit));
  return std::max(1.0, Limit);
}

auto slowStartWeight(const candidate &Candidate, const pick_config &Config,
                     steady_time Now) -> double {
  auto Since = Candidate.ZoneInServiceSince;
  if (Candidate.Stats != nullptr)
    Since = std::max(Since, Candidate.Stats->Outlier.ReturnedAt);
  if (Since == steady_time{})
    return 1;
  auto Elapsed = static_cast<double>((Now - Since).count());
  auto Part = Elapsed / static_cast<double>(Config.SlowStart.count());
  return std::clamp(Part, Config.SlowStartFloor, 1.0);
}

auto eligibleVersions(std::span<const candidate> Candidates)
    -> std::set<version_id> {
  auto Versions = std::set<version_id>{};
  auto Request = pick_request{};
  for (const auto &Candidate : Candidates) {
    if (Versions.contains(Candidate.Version))
      continue;
    Request.Version = Candidate.Version;
    auto Reason = checkEligible(Candidate, Request);
    // Ejected and suspected ones count: a pick falls back to them.
    if (Reason == ineligible_reason::None ||
        Reason == ineligible_reason::Ejected ||
        Reason == ineligible_reason::Suspect)
      Versions.insert(Candidate.Version);
  }
  return Versions;
}

auto shareTiers(const tier_load &OwnZone, const tier_load &OwnRegion,
                const tier_load &Elsewhere, const pick_config &Config)
    -> tier_shares {
  auto Spill = [&Config](const tier_load &Load) {
    auto Range = Config.SpillFull - Config.SpillFrom;
    return std::clamp((Load.Utilisation - Config.SpillFrom) / Range, 0.0, 1.0);
  };
  // The nearer tier keeps everything below SpillFrom and its part of the
  // capacity at SpillFull, with a straight line in between.
  auto Kept = [&Spill](const tier_load &Near, double Farther) {
    if (Near.Capacity <= 0)
      return 0.0;
    return 1 - Spill(Near) * Farther / (Near.Capacity + Farther);
  };
  auto Shares = tier_shares{};
  Shares.OwnZone = Kept(OwnZone, OwnRegion.Capacity + Elsewhere.Capacity);
  auto Left = 1 - Shares.OwnZone;
  Shares.OwnRegion = Left * Kept(OwnRegion, Elsewhere.Capacity);
  Shares.Elsewhere = Elsewhere.Capacity > 0 ? Left - Shares.OwnRegion : 0;
  return Shares;
}

auto pickUpstream(std::span<const candidate> Candidates,
                  const pick_request &Request, const pick_config &Config,
                  random_source &Random, steady_time Now) -> pick_result {
  auto Census = pick_census{};
  auto Entries = std::vector<entry>{};
  Entries.reserve(Candidates.size());
  for (auto Index = std::size_t{0}; Index < Candidates.size(); ++Index) {
    auto Reason = checkEligible(Candidates[Index], Request);
    count(Census, Reason);
    if (Reason == ineligible_reason::None)
      Entries.push_back(
          makeEntry(Index, Candidates[Index], Request, Config, Now));
  }
  auto Result = picked{};
  if (Entries.empty()) {
    Entries = panicEntries(Candidates, Request, Config, Now);
    if (Entries.empty())
      return no_upstream{Census};
    Result.Panic = true;
    Result.PanicReason = panicReason(Candidates, Entries, Census);
  }
  if (Config.ColdAware)
    dropFullCold(Entries);
  auto At = pickEntry(Candidates, Entries, Config, Random, Now);
  Result.Index = Entries[At].Index;
  return Result;
}

} // namespace sycamorelb::routing
