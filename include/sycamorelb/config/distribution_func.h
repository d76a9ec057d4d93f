/** @file distribution_func.h Decisions on how configuration is distributed to
 * nodes. */
#pragma once

#include "sycamorelb/config/state_type.h"
#include "sycamorelb/core/random_func.h"
#include "sycamorelb/core/unit_type.h"
#include "sycamorelb/membership/member_type.h"

#include <map>
#include <optional>
#include <vector>

namespace sycamorelb::config {

/** Number of nodes per zone that read the log. */
inline constexpr std::size_t ReadersPerZone = 2;
/** Number of peers that each node notifies of a new position. Of n nodes about
 * n * exp(-10) receive no notification, 0.04 of 880; they learn the position
 * from the next heartbeat. */
inline constexpr std::size_t NotifyFanout = 10;
/** Number of records after which a checkpoint is due. */
inline constexpr std::uint64_t CheckpointRecords = 512;

/** Node id and location, as used by the decisions. */
struct peer {
  node_id Id;       ///< Node id.
  zone_id Zone;     ///< Availability zone of the node.
  region_id Region; ///< Region of the node.
  auto operator==(const peer &) const -> bool = default;
};

/** @return the members that are alive or suspect, as peers. */
auto livePeers(const std::map<node_id, membership::member> &Members)
    -> std::vector<peer>;

/**
 * Rank of a node among the live nodes of its zone, from 0, by rendezvous hash.
 * @param Live live nodes, with or without the node itself.
 */
auto readerRank(const std::vector<peer> &Live, const peer &Self) -> std::size_t;

/** @return whether the node is one of the log readers of its zone. */
auto isReader(const std::vector<peer> &Live, const peer &Self) -> bool;

/** @return up to NotifyFanout random nodes to notify: one in another zone and
 * the rest in the own zone. If the own zone has too few, more nodes in other
 * zones are chosen, and vice versa. */
auto choosePeersToNotify(const std::vector<peer> &Live, const peer &Self,
                         random_source &Random) -> std::vector<node_id>;

/** Position that a peer announced. */
struct peer_offer {
  peer Peer;           ///< The peer.
  chain_point Point;   ///< The last announced position and hash.
  steady_time RetryAt; ///< End of the backoff after a failed pull.
};

/** Peer to pull records from. */
struct pull_choice {
  node_id From;        ///< Id of the peer.
  bool Forked = false; ///< The peer has a different hash at the same position:
                       ///< report it, do not pull.
};

/**
 * Chooses a peer to pull missing records from, among those that are ahead of
 * this node and not in backoff. Prefers the own zone, then the own region, then
 * the greatest position; ties are broken at random.
 */
auto choosePullPeer(const chain_point &Own, const peer &Self,
                    const std::vector<peer_offer> &Offers, steady_time Now,
                    random_source &Random) -> std::optional<pull_choice>;

/** Input of shouldReadLog. */
struct direct_read_input {
  bool IsReader = false;     ///< The node is a log reader of its zone.
  std::size_t LivePeers = 0; ///< Number of other live nodes.
  std::optional<steady_time> BehindSince;  ///< Since when the node knows of a
                                           ///< position greater than its own.
  std::optional<steady_time> LastServedAt; ///< Last time a peer sent records.
  steady_time NextAllowed; ///< Rate limit: earliest time of a direct read.
};

/** A node that has been behind for this time, and got no records from a peer in
 * this time, reads the log directly. */
inline constexpr millis DirectReadAfter{2000};
/** Mean minimum interval between direct reads of a node that is not a log
 * reader. */
inline constexpr millis DirectReadInterval{4000};

/** @return whether the node should read the log now. */
auto shouldReadLog(const direct_read_input &Input, steady_time Now) -> bool;

/** @return the earliest time of the next direct read: 0.5 to 1.5 times
 * DirectReadInterval from now, at random. */
auto nextDirectRead(steady_time Now, random_source &Random) -> steady_time;

/**
 * Exponential backoff with full jitter.
 * @param Attempt number of failures so far, from 0.
 * @return a random delay in [0, min(Cap, Base * 2^Attempt)].
 */
auto backoffDelay(std::uint32_t Attempt, millis Base, millis Cap,
                  random_source &Random) -> millis;

/** Input of shouldWriteCheckpoint. */
struct checkpoint_input {
  std::size_t ReaderRank = 0; ///< Rank of the node, see readerRank.
  bool FirstZone = false;     ///< Result of isFirstZone.
  log_offset Position;        ///< Position of the node.
  log_offset LastCheckpoint;  ///< Position of the newest complete checkpoint.
  millis SinceLast{0};        ///< Time since that checkpoint was observed.
  millis Retention{0};        ///< Retention period of the log; 0 for none.
};

/** @return whether the node should write a checkpoint now. The other readers
 * have a threshold 1.5 times as high, so that they take over if the
 * first-ranked one does not write. */
auto shouldWriteCheckpoint(const checkpoint_input &Input) -> bool;

/** @return whether the node's zone ranks first among the zones of live nodes,
 * by rendezvous hash. */
auto isFirstZone(const std::vector<peer> &Live, const peer &Self) -> bool;

} // namespace sycamorelb::config
