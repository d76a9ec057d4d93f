/** @file distribution_func.h Decisions on how configuration spreads. */
#pragma once

#include "sycamorelb/config/state_type.h"
#include "sycamorelb/core/random_func.h"
#include "sycamorelb/core/unit_type.h"
#include "sycamorelb/membership/member_type.h"

#include <map>
#include <optional>
#include <vector>

namespace sycamorelb::config {

/** Readers of the log per zone. */
inline constexpr std::size_t ReadersPerZone = 2;
/** Peers notified of an advance. Of n nodes about n * exp(-10) are missed by
 * all notices, 0.04 of 880; they learn of it by the next heartbeat. */
inline constexpr std::size_t NotifiedPeers = 10;
/** Records after which a checkpoint is due. */
inline constexpr std::uint64_t CheckpointRecords = 512;

/** A node as seen by the decisions. */
struct peer {
  node_id Id;       ///< Name.
  zone_id Zone;     ///< Its zone.
  region_id Region; ///< Its region.
  auto operator==(const peer &) const -> bool = default;
};

/** @return the members that are alive or suspect, as peers. */
auto livePeers(const std::map<node_id, membership::member> &Members)
    -> std::vector<peer>;

/**
 * Rank of a node among the live nodes of its zone, from 0.
 * @param Live live nodes; the node itself counts whether listed or not.
 */
auto readerRank(const std::vector<peer> &Live, const peer &Self) -> std::size_t;

/** @return whether the node long-polls the log. */
auto isReader(const std::vector<peer> &Live, const peer &Self) -> bool;

/** @return up to NotifiedPeers nodes to notify: one of another zone, the rest
 * of the own zone, filled up from the other side when one side is short. */
auto chooseNotified(const std::vector<peer> &Live, const peer &Self,
                    random_source &Random) -> std::vector<node_id>;

/** What a peer is known to offer. */
struct peer_offer {
  peer Peer;           ///< The peer.
  chain_point Point;   ///< What it last announced.
  steady_time RetryAt; ///< Not asked before this time.
};

/** Whom to pull from. */
struct pull_choice {
  node_id From;        ///< Peer to ask.
  bool Forked = false; ///< The peer contradicts this node at the same position;
                       ///< to be reported, not pulled.
};

/**
 * Chooses a peer to pull missing records from: ahead of this node and not
 * backing off; own zone first, then own region, then the greatest position,
 * then by chance.
 */
auto choosePull(const chain_point &Own, const peer &Self,
                const std::vector<peer_offer> &Offers, steady_time Now,
                random_source &Random) -> std::optional<pull_choice>;

/** What a node knows when it considers reading the log itself. */
struct direct_read_input {
  bool Reader = false;                    ///< It is a reader of its zone.
  std::size_t LivePeers = 0;              ///< Live nodes other than itself.
  std::optional<steady_time> BehindSince; ///< Since when it knows of a greater
                                          ///< position that it lacks.
  std::optional<steady_time> LastHelp;    ///< Last time a peer served it.
  steady_time NextAllowed; ///< Rate limit: no direct read before this time.
};

/** Time behind after which a node without help reads the log itself. */
inline constexpr millis DirectReadAfter{2000};
/** Shortest mean time between direct reads of a node that is no reader. */
inline constexpr millis DirectReadInterval{4000};

/** @return whether the node reads the log now. */
auto shouldReadLog(const direct_read_input &Input, steady_time Now) -> bool;

/** @return the time of the next allowed direct read: half to one and a half
 * intervals from now. */
auto nextDirectRead(steady_time Now, random_source &Random) -> steady_time;

/**
 * Exponential backoff with full jitter.
 * @param Attempt failures so far, from 0.
 * @return a time in [0, min(Cap, Base * 2^Attempt)].
 */
auto backoffDelay(std::uint32_t Attempt, millis Base, millis Cap,
                  random_source &Random) -> millis;

/** What a node knows when it considers writing a checkpoint. */
struct checkpoint_input {
  std::size_t ReaderRank = 0; ///< Rank in its zone.
  bool FirstZone = false;     ///< Its zone ranks first among the live zones.
  log_offset Position;        ///< Own position.
  log_offset LastCheckpoint;  ///< Position of the newest complete checkpoint.
  millis SinceLast{0};        ///< Time since it was seen.
  millis Retention{0};        ///< Retention period of the log; 0 for none.
};

/** @return whether the node writes a checkpoint now. Other readers take over
 * when the first-ranked one lets the threshold pass by half. */
auto shouldWriteCheckpoint(const checkpoint_input &Input) -> bool;

/** @return whether the node's zone ranks first among the zones of live nodes.
 */
auto isFirstZone(const std::vector<peer> &Live, const peer &Self) -> bool;

} // namespace sycamorelb::config
