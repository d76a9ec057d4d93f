/** @file table_type.h The member table of one node. */
#pragma once

#include "sycamorelb/core/random_func.h"
#include "sycamorelb/core/result_type.h"
#include "sycamorelb/membership/message_type.h"

namespace sycamorelb::membership {

/** Timing and limits of failure detection and gossip. */
struct membership_options {
  millis ProbePeriod{1000};      ///< Time between two probes.
  millis DirectTimeout{400};     ///< Wait for an Ack before indirect probes.
  millis SuspicionTime{3000};    ///< Time from suspect to dead.
  millis ExchangePeriod{30'000}; ///< Period in which one exchange of each
                                 ///< type takes place.
  millis ReconnectPeriod{5000};  ///< Time between two pings of a seed or of a
                                 ///< dead member.
  millis DeathCheckPeriod{250};  ///< Time between two pings that verify a death
                                 ///< reported by another member.
  millis MaxTickGap{500};        ///< A longer gap between two ticks counts as a
                                 ///< pause of this node, which stops its
                                 ///< timers.
  millis StartupGrace{10'000};   ///< Time after the start in which a record of
                                 ///< this node with a greater incarnation and
                                 ///< other addresses is refuted and does not
                                 ///< supersede this process; also the time in
                                 ///< which exchanges are more frequent.
  millis TombstoneTime{3'600'000};    ///< How long dead members are kept.
  std::size_t MaxTombstones = 2048;   ///< Maximum number of dead members.
  std::size_t MaxMembers = 4096;      ///< Maximum number of members, dead ones
                                      ///< included.
  std::size_t IndirectProbes = 3;     ///< Members asked for an indirect probe.
  std::size_t UrgentFanout = 4;       ///< Receivers of urgent gossip.
  double UrgentPerSecond = 1;         ///< Urgent datagrams per second.
  double UrgentBurst = 16;            ///< Maximum burst of urgent datagrams.
  std::uint32_t RetransmitFactor = 2; ///< An update is sent this many times the
                                      ///< binary logarithm of the member count.
  std::size_t DatagramBytes = 1200;   ///< Maximum size of a datagram.
  millis BrakeTime{600'000};          ///< How long brakes are remembered.
  millis MaxBrakeAge{300'000};        ///< Older brakes are ignored; less than
                                      ///< BrakeTime, so that a removed brake is
                                      ///< not accepted again.
  std::size_t MaxBrakes = 64;         ///< Maximum number of remembered brakes.
};

/** Number of times that each node floods an urgent update. One flood to four
 * members misses about 2 % of the members, two miss less than 0.1 %; these
 * learn of the update later from piggybacked gossip. */
inline constexpr std::uint32_t UrgentFloods = 2;

/** A member as one node knows it. */
struct member_entry {
  member Member{}; ///< Merged record.
  std::optional<steady_time>
      SuspectedAt{};          ///< When the local suspicion started;
                              ///< also set for an alive or leaving
                              ///< member that does not answer.
  bool DeathReported = false; ///< Another member reported its death, which
                              ///< is not verified yet.
  steady_time DeadAt{};       ///< When it died; set when dead.
};

/** An update waiting to be piggybacked. */
struct queued_update {
  node_id Id{};                 ///< Member whose current record is sent.
  std::uint32_t SendCount = 0;  ///< Number of times it was sent.
  std::uint32_t FloodsLeft = 0; ///< Floods still to be sent.
};

/** A brake known to this node. */
struct brake_entry {
  brake_notice Notice{};                   ///< The brake.
  steady_time LearnedAt{};                 ///< When this node learned of it.
  std::uint32_t SendCount = 0;             ///< Number of times it was sent.
  std::uint32_t FloodsLeft = UrgentFloods; ///< Floods still to be sent.
};

/** A probe that waits for its Ack. */
struct pending_probe {
  node_id Target{};              ///< Member probed.
  incarnation Incarnation{};     ///< Its incarnation at the time of the probe.
  std::uint64_t Sequence = 0;    ///< Sequence of the Ping.
  steady_time SentAt{};          ///< When the Ping was sent.
  bool PingRequestsSent = false; ///< Whether indirect probes were requested.
};

/** A ping sent on behalf of another member (indirect probe). */
struct relayed_ping {
  std::uint64_t Sequence = 0;          ///< Sequence of the Ping sent.
  std::string RequesterAddress{};      ///< Address to forward the Ack to.
  std::uint64_t RequesterSequence = 0; ///< Sequence of the PingRequest.
  node_id Target{};                    ///< Member pinged.
  steady_time SentAt{};                ///< When it was sent.
};

/** Complete state of the membership protocol on one node. */
struct member_table {
  node_id Self{};                            ///< This node.
  membership_options Options{};              ///< Timing and limits.
  std::vector<std::string> Seeds{};          ///< Inner addresses of seed nodes.
  std::map<node_id, member_entry> Entries{}; ///< All members and this node.
  std::vector<queued_update> Queue{};        ///< Updates to piggyback.
  std::vector<brake_entry> Brakes{};         ///< Known brakes.
  config_mark Config{};                      ///< Log position of this node.
  random_source Random{0};              ///< Generator for all random choices.
  std::optional<pending_probe> Probe{}; ///< Current probe.
  std::vector<relayed_ping> RelayedPings{}; ///< Pings sent for other members.
  /** Members of the own zone still to be probed in this round, shuffled. */
  std::vector<node_id> OwnZoneProbeOrder{};
  /** The same for all other zones. */
  std::vector<node_id> OtherZoneProbeOrder{};
  bool ProbeOwnZone = false;      ///< Whether the last probe was meant for the
                                  ///< own zone; alternates.
  std::uint64_t NextSequence = 1; ///< Next sequence number.
  std::optional<steady_time> LastTick{}; ///< Time of the last tick.
  steady_time StartedAt{};               ///< When the table was created.
  steady_time NextProbe{};               ///< When the next probe is due.
  steady_time NextExchange{};            ///< When the next exchange is due.
  steady_time NextReconnect{}; ///< When a seed or dead member is pinged next.
  steady_time NextHealExchange{}; ///< Earliest time of the next exchange with a
                                  ///< member that was dead or unknown.
  steady_time NextDeathCheck{};   ///< Earliest time of the next verification of
                                  ///< a reported death.
  bool ExchangeOtherRegion = false; ///< Whether the next exchange prefers
                                    ///< another region; alternates.
  double UrgentTokens = 0;          ///< Token bucket of urgent datagrams.
  steady_time UrgentRefilled{};     ///< When the bucket was last refilled.
  bool Superseded = false; ///< Whether a newer process uses this node's id;
                           ///< this process must then stop serving.
};

} // namespace sycamorelb::membership
