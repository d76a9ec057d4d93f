/** @file membership_func.h Decisions of the membership protocol (SWIM style).
 *
 * The functions change only the table they are given. They read no clock and
 * send nothing; the caller carries out the returned effects.
 *
 * Cost per node at 880 members, each with one upstream: an idle node sends one
 * ping and one ack of 74 bytes per second, 148 bytes/s. In the 20 s after a
 * death it sends 542 bytes/s on average. Both come from the test
 * membership_protocol/traffic_at_target_size_is_within_bounds (seed 31); RPC
 * exchanges and IP headers are not included.
 */
#pragma once

#include "sycamorelb/membership/table_type.h"

namespace sycamorelb::membership {

/** Limits of the fields of a record; records beyond them are ignored. */
inline constexpr std::size_t MaxIdBytes = 64;
inline constexpr std::size_t MaxAddressBytes = 64;
inline constexpr std::size_t MaxUpstreams = 16;
inline constexpr std::size_t MaxReasonBytes = 160;
/** Size of an encoded record at most, so that it fits into a datagram. */
inline constexpr std::size_t MaxRecordBytes = 800;

/** Both clocks, read at the same moment. */
struct instant {
  steady_time Steady; ///< Drives all timers.
  wall_ms Wall;       ///< Only for the age of brakes.
};

/**
 * Makes the table of a starting node.
 * @param Self its own record; Incarnation is its start time in ms.
 * @param Seeds inner addresses of nodes to join by; its own is ignored.
 * @param Seed seed of the random choices.
 */
auto makeTable(const member &Self, const std::vector<std::string> &Seeds,
               const membership_options &Options, std::uint64_t Seed,
               steady_time Now) -> member_table;

/**
 * Joins two records of the same member. The greater incarnation wins. Within
 * an incarnation the later state, the data of the greater revision and the
 * greater configuration position win independently of each other, so a
 * suspicion that was built on old data does not bring the old data back. The
 * join is commutative, associative and idempotent.
 */
auto joinMembers(const member &Left, const member &Right) -> member;

/**
 * Merges one update into the table. A record of this node that contradicts it
 * is refuted. A claim that an alive member of the same incarnation is dead is
 * verified by a ping first; otherwise the healing of a partition would remove
 * all members of the other side until each of them had refuted the claim.
 * Invalid records are ignored.
 */
void mergeMember(member_table &Table, const member_update &Update, instant Now,
                 effects &Effects);

/**
 * Advances all timers: probes, suspicions, exchanges, tombstones. Due about
 * every 100 ms.
 */
auto onTick(member_table &Table, instant Now) -> effects;

/**
 * Handles an authenticated gossip message.
 * @param FromAddress source address of the datagram; Acks go there.
 */
auto onMessage(member_table &Table, const message &Message,
               const std::string &FromAddress, instant Now) -> effects;

/** Adds a brake raised by this node, and floods it. */
auto raiseBrake(member_table &Table, const brake_notice &Brake, instant Now)
    -> effects;

/** Replaces the upstreams of this node. The revision is raised when the set,
 * a version, an address, a capacity or a load state changed, or when a limit
 * changed by at least a factor of two; smaller changes are not distributed,
 * because 880 nodes that report each change would exceed 5 KB/s per node.
 * @return whether the revision was raised; InvalidArgument when the record
 * would not fit into a datagram.
 */
auto setOwnUpstreams(member_table &Table, std::vector<upstream_info> Upstreams)
    -> result<bool>;

/** Sets the log position that pings and Acks carry. */
void setOwnConfig(member_table &Table, config_mark Config);

/** Announces that this node is leaving; it keeps answering. */
auto beginLeaving(member_table &Table, instant Now) -> effects;

/** Announces that this node stops now. */
auto finishLeaving(member_table &Table, instant Now) -> effects;

/** @return an upper bound of the size of an update within a datagram. */
auto estimateBytes(const member_update &Update) -> std::size_t;
/** @return an upper bound of the size of a brake within a datagram. */
auto estimateBytes(const brake_notice &Brake) -> std::size_t;
/** @return an upper bound of the size of a datagram without its updates and
 * brakes. */
auto estimateBaseBytes(const message &Message) -> std::size_t;

/** @return whether a record respects all limits. */
auto isValidMember(const member &Member) -> bool;
/** @return whether a brake respects all limits. */
auto isValidBrake(const brake_notice &Brake) -> bool;

/** @return the members that are not dead, with this node. */
auto liveMembers(const member_table &Table) -> std::vector<member>;

/** @return the record of a member, or nullptr when it is not known. */
auto findMember(const member_table &Table, const node_id &Id) -> const member *;

} // namespace sycamorelb::membership
