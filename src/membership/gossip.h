/** @file gossip.h Queue of updates, and assembly of bounded messages. */
#pragma once

#include "sycamorelb/membership/membership_func.h"

namespace sycamorelb::membership {

/** @return the entry of this node. */
auto ownEntry(member_table &Table) -> member_entry &;

/** @return whether this node takes part; not after it stopped or was
 * superseded. */
auto isParticipating(const member_table &Table) -> bool;

/** @return times that an update is sent at most. */
auto sendLimit(const member_table &Table) -> std::uint32_t;

/** Queues the current record of a member to be sent again from the start. */
void enqueueUpdate(member_table &Table, const node_id &Id);

/**
 * Assembles a message within the size of a datagram. The record of the
 * receiver comes first when it does not agree with what the receiver is; then
 * brakes; then the updates that were sent least often.
 * @param Receiver member that receives it, or empty when not known.
 */
auto buildMessage(member_table &Table, message_kind Kind,
                  std::uint64_t Sequence, const node_id &Receiver, instant Now)
    -> message;

/** @return up to Count different live members, without this node and without
 * Excluded, in random order. */
auto randomPeers(member_table &Table, std::size_t Count,
                 const node_id &Excluded) -> std::vector<node_id>;

/** Sends urgent updates and brakes to random members, as far as the rate of
 * urgent datagrams allows. */
void flushUrgent(member_table &Table, instant Now, effects &Effects);

/** Merges a brake; floods it when it is new. */
void mergeBrake(member_table &Table, const brake_notice &Brake, instant Now,
                effects &Effects);

} // namespace sycamorelb::membership
