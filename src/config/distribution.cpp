/** @file distribution.cpp Decisions on how configuration is distributed to
 * nodes. */
#include "sycamorelb/config/distribution_func.h"

#include "sycamorelb/core/hash_func.h"

#include <algorithm>
#include <tuple>

namespace sycamorelb::config {

/** Rendezvous hash key for ranking the readers of a zone. */
static constexpr char ReaderKey[] = "config-reader";
/** Rendezvous hash key for ranking zones for writing checkpoints. */
static constexpr char ZoneKey[] = "config-checkpoint";
/** Maximum exponent of the backoff; larger ones would exceed any cap. */
static constexpr std::uint32_t MaxBackoffShift = 20;

auto livePeers(const std::map<node_id, membership::member> &Members)
    -> std::vector<peer> {
  auto Live = std::vector<peer>();
  for (const auto &[Id, Member] : Members) {
    if (Member.State == membership::member_state::Alive ||
        Member.State == membership::member_state::Suspect) {
      Live.push_back({Id, Member.Zone, Member.Region});
    }
  }
  return Live;
}

/** @return whether Left ranks before Right under Key. */
static auto ranksBefore(const char *Key, const std::string &Left,
                        const std::string &Right) -> bool {
  auto LeftScore = rendezvousScore(Key, Left);
  auto RightScore = rendezvousScore(Key, Right);
  return std::tie(LeftScore, Left) > std::tie(RightScore, Right);
}

auto readerRank(const std::vector<peer> &Live, const peer &Self)
    -> std::size_t {
  auto Before =
      std::count_if(Live.begin(), Live.end(), [&Self](const peer &Peer) {
        return Peer.Zone == Self.Zone && Peer.Id != Self.Id &&
               ranksBefore(ReaderKey, Peer.Id.Value, Self.Id.Value);
      });
  return static_cast<std::size_t>(Before);
}

auto isReader(const std::vector<peer> &Live, const peer &Self) -> bool {
  return readerRank(Live, Self) < ReadersPerZone;
}

/** Moves Count random elements of From to the end of To. */
static void moveRandom(std::vector<node_id> &From, std::size_t Count,
                       std::vector<node_id> &To, random_source &Random) {
  for (; Count > 0 && !From.empty(); --Count) {
    auto Index = randomBelow(Random, static_cast<std::uint32_t>(From.size()));
    To.push_back(From[Index]);
    From[Index] = From.back();
    From.pop_back();
  }
}

auto choosePeersToNotify(const std::vector<peer> &Live, const peer &Self,
                         random_source &Random) -> std::vector<node_id> {
  auto SameZone = std::vector<node_id>();
  auto OtherZones = std::vector<node_id>();
  for (const auto &Peer : Live) {
    if (Peer.Id != Self.Id) {
      (Peer.Zone == Self.Zone ? SameZone : OtherZones).push_back(Peer.Id);
    }
  }
  auto Chosen = std::vector<node_id>();
  moveRandom(OtherZones, 1, Chosen, Random);
  moveRandom(SameZone, NotifyFanout - Chosen.size(), Chosen, Random);
  moveRandom(OtherZones, NotifyFanout - Chosen.size(), Chosen, Random);
  return Chosen;
}

auto choosePullPeer(const chain_point &Own, const peer &Self,
                    const std::vector<peer_offer> &Offers, steady_time Now,
                    random_source &Random) -> std::optional<pull_choice> {
  using rank = std::tuple<bool, bool, log_offset, std::uint32_t>;
  auto Best = std::optional<pull_choice>();
  auto BestRank = rank();
  auto Forked = std::optional<pull_choice>();
  for (const auto &Offer : Offers) {
    if (Offer.Peer.Id == Self.Id) {
      continue;
    }
    if (Offer.Point.Position == Own.Position && Offer.Point.Hash != Own.Hash) {
      Forked = pull_choice{Offer.Peer.Id, true};
    }
    if (Offer.Point.Position <= Own.Position || Now < Offer.RetryAt) {
      continue;
    }
    auto Rank =
        rank(Offer.Peer.Zone == Self.Zone, Offer.Peer.Region == Self.Region,
             Offer.Point.Position, Random.Generator());
    if (!Best || Rank > BestRank) {
      Best = pull_choice{Offer.Peer.Id, false};
      BestRank = Rank;
    }
  }
  return Best ? Best : Forked;
}

auto shouldReadLog(const direct_read_input &Input, steady_time Now) -> bool {
  if (Input.IsReader) {
    return true;
  }
  if (Now < Input.NextAllowed) {
    return false;
  }
  if (Input.LivePeers == 0) {
    return true;
  }
  return Input.BehindSince && Now - *Input.BehindSince > DirectReadAfter &&
         (!Input.LastServedAt || Now - *Input.LastServedAt > DirectReadAfter);
}

auto nextDirectRead(steady_time Now, random_source &Random) -> steady_time {
  auto Factor = 0.5 + randomUnit(Random);
  auto Delay = static_cast<double>(micros(DirectReadInterval).count()) * Factor;
  return Now + micros(static_cast<std::int64_t>(Delay));
}

auto backoffDelay(std::uint32_t Attempt, millis Base, millis Cap,
                  random_source &Random) -> millis {
  auto Factor = std::int64_t{1} << std::min(Attempt, MaxBackoffShift);
  auto Limit = Base.count() > Cap.count() / Factor
                   ? Cap
                   : std::min(Cap, millis(Base.count() * Factor));
  auto Delay = static_cast<double>(Limit.count()) * randomUnit(Random);
  return millis(static_cast<std::int64_t>(Delay));
}

auto isFirstZone(const std::vector<peer> &Live, const peer &Self) -> bool {
  return std::none_of(Live.begin(), Live.end(), [&Self](const peer &Peer) {
    return Peer.Zone != Self.Zone &&
           ranksBefore(ZoneKey, Peer.Zone.Value, Self.Zone.Value);
  });
}

auto shouldWriteCheckpoint(const checkpoint_input &Input) -> bool {
  if (Input.Position <= Input.LastCheckpoint ||
      Input.ReaderRank >= ReadersPerZone) {
    return false;
  }
  // The threshold is 1.5 times as high for all but the first-ranked reader.
  auto IsFirstWriter = Input.FirstZone && Input.ReaderRank == 0;
  auto ThresholdHalves = IsFirstWriter ? 2U : 3U;
  auto Records = Input.Position.Value - Input.LastCheckpoint.Value;
  auto IsDueByAge =
      Input.Retention.count() > 0 &&
      Input.SinceLast.count() >= Input.Retention.count() / 4 * ThresholdHalves;
  return Records >= CheckpointRecords / 2 * ThresholdHalves || IsDueByAge;
}

} // namespace sycamorelb::config
