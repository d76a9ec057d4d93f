/** @file membership_func.h Membership and failure detection in the style of
 * SWIM.
 *
 * The functions change only the table they are given. They read no clock and
 * do no I/O; the caller executes the returned effects.
 *
 * Cost per node at 880 members, each with one upstream: an idle node sends one
 * ping and one ack of 74 bytes per second, 148 bytes/s. In the 20 s after a
 * death it sends 542 bytes/s on average. RPC exchanges and IP headers are not
 * included. The test is
 * membership_protocol/traffic_at_target_size_is_within_bounds (seed 31).
 */
#pragma once

#include "sycamorelb/membership/table_type.h"

namespace sycamorelb::membership {

/** Limits of the fields of a record; records that exceed them are ignored. */
inline constexpr std::size_t MaxIdBytes = 64;
inline constexpr std::size_t MaxAddressBytes = 64;
inline constexpr std::size_t MaxUpstreams = 16;
inline constexpr std::size_t MaxReasonBytes = 160;
/** Maximum size of an encoded record, so that it fits into a datagram. */
inline constexpr std::size_t MaxRecordBytes = 800;

/** Both clocks, read at the same moment. */
struct instant {
  steady_time Steady; ///< Drives all timers.
  wall_ms Wall;       ///< Only used for the age of brakes.
};

/**
 * Creates the table of a starting node.
 * @param Self its own record; Incarnation is its start time in ms.
 * @param Seeds inner addresses of seed nodes; the node's own is ignored.
 * @param Seed seed of the random number generator.
 */
auto makeTable(const member &Self, const std::vector<std::string> &Seeds,
               const membership_options &Options, std::uint64_t Seed,
               steady_time Now) -> member_table;

/**
 * Merges two records of the same member. The greater incarnation wins. Within
 * an incarnation the later state, the data of the greater revision and the
 * greater configuration position win independently of each other, so a
 * suspicion based on old data does not restore the old data. The merge is
 * commutative, associative and idempotent.
 */
auto mergeRecords(const member &Left, const member &Right) -> member;

/**
 * Merges one update into the table. An update that contradicts this node's own
 * record is refuted with a higher incarnation. A report that an alive member of
 * the same incarnation is dead is verified by a ping first; otherwise, when a
 * partition heals, all members of the other side would be removed until each of
 * them had refuted the report. Invalid records are ignored.
 */
void mergeMember(member_table &Table, const member_update &Update, instant Now,
                 effects &Effects);

/**
 * Advances all timers: probes, suspicions, exchanges, tombstones. Must be
 * called about every 100 ms.
 */
auto onTick(member_table &Table, instant Now) -> effects;

/**
 * Handles an authenticated gossip message.
 * @param FromAddress source address of the datagram; Acks go there.
 */
auto onMessage(member_table &Table, const message &Message,
               const std::string &FromAddress, instant Now) -> effects;

/** Adds a brake raised by this node and floods it to the other members. */
auto raiseBrake(member_table &Table, const brake_notice &Brake, instant Now)
    -> effects;

/** Replaces the upstreams of this node. The revision is incremented when
 * the set, a version, an address, a capacity or a state changed, or when a
 * limit changed by at least a factor of two. Smaller changes are not
 * distributed, because 880 nodes that report each change would exceed 5 KB/s
 * per node.
 * @return whether the revision was incremented; InvalidArgument when the record
 * would not fit into a datagram.
 */
auto setOwnUpstreams(member_table &Table, std::vector<upstream_info> Upstreams)
    -> result<bool>;

/** Sets the log position that pings and Acks carry. */
void setOwnConfig(member_table &Table, config_mark Config);

/** Announces that this node is leaving; it still answers messages. */
auto beginLeaving(member_table &Table, instant Now) -> effects;

/** Announces that this node stops now; it answers no further messages. */
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

/** @return the members that are not dead, including this node. */
auto liveMembers(const member_table &Table) -> std::vector<member>;

/** @return the record of a member, or nullptr when it is not known. */
auto findMember(const member_table &Table, const node_id &Id) -> const member *;

} // namespace sycamorelb::membership
