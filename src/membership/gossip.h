/** @file gossip.h Update queue, flooding, and assembly of messages that
 * fit into one datagram. */
#pragma once

#include "sycamorelb/membership/membership_func.h"

namespace sycamorelb::membership {

/** @return the entry of this node. */
auto ownEntry(member_table &Table) -> member_entry &;

/** @return whether this node takes part in the protocol; false after it
 * stopped or was superseded. */
auto isParticipating(const member_table &Table) -> bool;

/** @return the maximum number of times that an update is sent. */
auto retransmitLimit(const member_table &Table) -> std::uint32_t;

/** Queues the current record of a member and resets its send counters. */
void enqueueUpdate(member_table &Table, const node_id &Id);

/**
 * Assembles a message that fits into a datagram. The record of the receiver
 * comes first if it is suspect or dead in the table; then brakes; then the
 * updates that were sent least often.
 * @param Receiver member that receives the message; empty if unknown.
 */
auto buildMessage(member_table &Table, message_kind Kind,
                  std::uint64_t Sequence, const node_id &Receiver, instant Now)
    -> message;

/** @return up to Count distinct members that are not dead, in random order,
 * without this node and Excluded. */
auto randomPeers(member_table &Table, std::size_t Count,
                 const node_id &Excluded) -> std::vector<node_id>;

/** Sends urgent updates and brakes to random members, as far as the rate limit
 * of urgent datagrams allows. */
void flushUrgent(member_table &Table, instant Now, effects &Effects);

/** Adds a brake that is valid, recent and not yet known; it is flooded by the
 * next flushUrgent(). */
void mergeBrake(member_table &Table, const brake_notice &Brake, instant Now,
                effects &Effects);

} // namespace sycamorelb::membership
