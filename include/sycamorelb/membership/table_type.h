/** @file table_type.h The member table of one node. */
#pragma once

#include "sycamorelb/core/random_func.h"
#include "sycamorelb/core/result_type.h"
#include "sycamorelb/membership/message_type.h"

namespace sycamorelb::membership {

/** Timing and bounds of failure detection and gossip. */
struct membership_options {
  millis ProbePeriod{1000};        ///< Time between two probes.
  millis DirectTimeout{400};       ///< Wait for an Ack before relays are asked.
  millis SuspicionTime{3000};      ///< Time from suspicion to death.
  millis ExchangePeriod{30'000};   ///< Time between two pairs of exchanges.
  millis ContactPeriod{5000};      ///< Time between two pings of a seed or of a
                                   ///< recently dead member.
  millis VerifyPeriod{250};        ///< Time between two pings that verify
                                   ///< another member's claim of a death.
  millis MaxTickGap{500};          ///< A greater gap between ticks is a pause
                                   ///< of this node; its timers then stop.
  millis JoinGrace{10'000};        ///< Time after the start in which a record
                                   ///< with a greater incarnation and other
                                   ///< addresses is outbid, not obeyed.
  millis TombstoneTime{3'600'000}; ///< How long dead members are kept.
  std::size_t MaxTombstones = 2048; ///< Dead members kept at most.
  std::size_t MaxMembers = 4096;    ///< Members kept at most, with dead ones.
  std::size_t Relays = 3;           ///< Members asked to probe indirectly.
  std::size_t UrgentFanout = 4;     ///< Receivers of urgent gossip.
  double UrgentPerSecond = 1;       ///< Urgent datagrams per second.
  double UrgentBurst = 16;          ///< Urgent datagrams saved up at most.
  std::uint32_t SendFactor = 2;     ///< An update is sent SendFactor times
                                    ///< the binary logarithm of the members.
  std::size_t DatagramBytes = 1200; ///< Size of a datagram at most.
  millis BrakeTime{600'000};        ///< How long brakes are remembered.
  millis MaxBrakeAge{300'000};      ///< Older brakes are not taken; less than
                                    ///< BrakeTime, so none recirculates.
  std::size_t MaxBrakes = 64;       ///< Brakes remembered at most.
};

/** Times that each node floods an urgent update. One flood to four members
 * leaves about 2 % of the members to the slower piggybacking, two leave less
 * than 0.1 %. */
inline constexpr std::uint32_t UrgentFloods = 2;

/** A member as one node knows it. */
struct member_entry {
  member Member{}; ///< Merged record.
  std::optional<steady_time>
      SuspectedAt{};    ///< When the local suspicion began;
                        ///< also set for an alive or leaving
                        ///< member that does not answer.
  bool Doubted = false; ///< Another member claims it is dead; to be verified.
  steady_time DeadAt{}; ///< When it died; set when dead.
};

/** An update waiting to be piggybacked. */
struct queued_update {
  node_id Id{};             ///< Member whose current record is sent.
  std::uint32_t Sent = 0;   ///< Times it was sent.
  std::uint32_t Floods = 0; ///< Times it is still to be flooded.
};

/** A brake known to this node. */
struct brake_entry {
  brake_notice Notice{};               ///< The brake.
  steady_time LearnedAt{};             ///< When this node learned of it.
  std::uint32_t Sent = 0;              ///< Times it was sent.
  std::uint32_t Floods = UrgentFloods; ///< Times it is still to be flooded.
};

/** A probe that has not been answered. */
struct pending_probe {
  node_id Target{};           ///< Member probed.
  incarnation Incarnation{};  ///< Its generation at the time of the probe.
  std::uint64_t Sequence = 0; ///< Sequence of the Ping.
  steady_time SentAt{};       ///< When the Ping was sent.
  bool RelaysAsked = false;   ///< Whether relays were asked.
};

/** A ping sent on behalf of another member. */
struct relayed_ping {
  std::uint64_t Sequence = 0;          ///< Sequence of the Ping sent.
  std::string RequesterAddress{};      ///< Where to report the Ack.
  std::uint64_t RequesterSequence = 0; ///< Sequence of the request.
  node_id Target{};                    ///< Member pinged.
  steady_time SentAt{};                ///< When it was sent.
};

/** All state of the membership protocol on one node. */
struct member_table {
  node_id Self{};                            ///< This node.
  membership_options Options{};              ///< Timing and bounds.
  std::vector<std::string> Seeds{};          ///< Inner addresses to join by.
  std::map<node_id, member_entry> Entries{}; ///< All members, with this node.
  std::vector<queued_update> Queue{};        ///< Updates to piggyback.
  std::vector<brake_entry> Brakes{};         ///< Known brakes.
  config_mark Config{};                      ///< Log position of this node.
  random_source Random{0};                   ///< Source of all choices.
  std::optional<pending_probe> Probe{};      ///< Probe of this period.
  std::vector<relayed_ping> Relayed{};       ///< Pings sent for others.
  std::vector<node_id> OwnZoneRound{};       ///< Rest of the shuffled own zone.
  std::vector<node_id> OtherRound{};         ///< Rest of the shuffled others.
  bool ProbeOwnZone = false;                 ///< Which round is next.
  std::uint64_t NextSequence = 1;            ///< Next sequence number.
  std::optional<steady_time> LastTick{};     ///< Time of the last tick.
  steady_time StartedAt{};                   ///< When the table was made.
  steady_time NextProbe{};                   ///< When the next probe is due.
  steady_time NextExchange{};                ///< When the next exchange is due.
  steady_time NextContact{};                 ///< When the next contact is due.
  steady_time NextHealExchange{}; ///< When the next exchange with a member that
                                  ///< was dead or unknown may start.
  steady_time NextVerify{};       ///< When the next claim may be verified.
  bool ExchangeOtherRegion = false; ///< Which exchange is next.
  double UrgentTokens = 0;          ///< Urgent datagrams available.
  steady_time UrgentRefilled{};     ///< When tokens were last added.
  bool Superseded = false; ///< Whether a newer process owns this node's id;
                           ///< the node must then stop serving.
};

} // namespace sycamorelb::membership
