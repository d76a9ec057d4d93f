/** @file mesh_message_type.h Messages between the nodes of the mesh and their
 * binary encoding. */
#pragma once

#include "sycamorelb/core/result_type.h"
#include "sycamorelb/dispatch/pick.h"
#include "sycamorelb/http/message_type.h"
#include "sycamorelb/mesh/config_type.h"
#include "sycamorelb/mesh/host_table.h"
#include "sycamorelb/mesh/operator_table.h"
#include "sycamorelb/rollout/evidence_type.h"
#include "sycamorelb/rollout/rollout_type.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace sycamorelb::inner {

/** Number of a call attempt, unique within the process that forwards it. */
using call_number = strong_id<struct call_number_tag, std::uint64_t>;

/** Asks the node on the host of a target to run a call there. */
struct forward_message {
  call_number Call;         ///< Number of the call.
  service_id Service;       ///< Service that is called.
  version_id Version;       ///< Version of the chosen target.
  route_id Route;           ///< Route that the call matched.
  service_id CallerService; ///< Service that makes the call.
  customer_id Customer;     ///< Customer that makes the call; empty for none.
  http::request Request;    ///< HTTP request of the caller.
  mesh::call_kind Kind = mesh::call_kind::NonIdempotent; ///< Idempotency.
  std::uint32_t Priority = 0;  ///< Of the customer, or else of the route.
  micros TimeToStartOnTime{0}; ///< Time left to start so that the answer is on
                               ///< time; may be negative.
  micros TimeToLatestStart{0}; ///< Time left to start at all.
  micros TimeLeft{0};          ///< Time left until the deadline of the caller.
  /** What the sender knows from answers of the chosen target; tells a node that
   * has restarted meanwhile. */
  mesh::target_notice Notice;
  /** Calls per second of a cold target of Service in the configuration of the
   * sender, 0 for no limit; for a node that has no configuration yet. */
  std::optional<double> ColdCallsPerSecond;
};

/** Result of a forwarded call. */
enum class reply_outcome : std::uint16_t {
  Answered, ///< The target sent a complete response.
  NotRun,   ///< The target did not run the call and never will.
  Unknown,  ///< The call may have run; there is no complete response.
};

/** Answer to forward_message and resume_message. */
struct reply_message {
  call_number Call;                              ///< Number of the call.
  reply_outcome Outcome = reply_outcome::NotRun; ///< Result of the call.
  bool ReachedTarget = false; ///< The target may have received the call.
  http::response Response;    ///< Response of the target, if Answered.
  std::string Reason;         ///< Cause if there is no response.
  dispatch::load_report Load; ///< Current load of the target.
  mesh::target_notice Notice; ///< What the target says of itself.
  micros RunTime{0}; ///< Time from start to response or failure at the target.
  micros MeanRouteRunTime{0}; ///< Mean RunTime of the route at this target.
};

/** Cancels a forwarded call. */
struct cancel_message {
  call_number Call; ///< Number of the call.
};

/** Asks for the outcome of a call after the connection that carried it was
 * lost. A node that did not receive the call answers NotRun and never runs
 * it. */
struct resume_message {
  call_number Call;   ///< Number of the call.
  micros Age{0};      ///< Time since the call was sent.
  process_id Process; ///< Process that the call was sent to, if known.
};

/** Call statistics of one node for one version of a service in a rollout. */
struct rollout_evidence_report {
  node_id Node;                       ///< Node that measured.
  service_id Service;                 ///< Service that is rolled out.
  log_offset OrderOffset{0};          ///< Log offset of the rollout order.
  version_id Version;                 ///< Version of the target on the node.
  rollout::evidence_start Start;      ///< Since when it counts.
  rollout::version_evidence Evidence; ///< Statistics since the order.
  store_era OrderEra; ///< Era of the store to which OrderOffset belongs.
};

/** Calls of each customer that began to run at the target of a node in one
 * usage window. */
struct usage_counts {
  node_id Node;                                ///< Node that counted.
  process_id Process;                          ///< Process that counted.
  std::int64_t Window = 0;                     ///< Number of the window.
  std::map<customer_id, std::uint32_t> Counts; ///< Calls by customer.
  bool Final = false; ///< The window is over for this process.
  auto operator==(const usage_counts &) const -> bool = default;
};

/** Holder of the duty to report usage, as recorded in the store. */
struct usage_holder {
  node_id Node;             ///< Node that holds the duty.
  process_id Process;       ///< Its process.
  std::uint64_t Token = 0;  ///< Fencing token of its calls.
  store_era Era;            ///< Era of the store in which it was recorded.
  std::int64_t Window = -1; ///< Last window that it recorded; -1 for none.
  auto operator==(const usage_holder &) const -> bool = default;
};

/** Revision of a host record that a node holds. */
struct host_revision {
  node_id Node;                  ///< Host.
  std::uint64_t Incarnation = 0; ///< Incarnation of the record.
  std::uint64_t Revision = 0;    ///< Revision of the record.
};

/** State and requests that one node sends to another. */
struct gossip_message {
  mesh::host_record Sender;                     ///< Host record of the sender.
  log_offset OperatorEnd{0};                    ///< Sender's operator log end.
  std::uint64_t HostDigest = 0;                 ///< Host table digest, or 0.
  std::vector<host_revision> Summary;           ///< All known hosts, if sent.
  std::vector<mesh::host_record> Hosts;         ///< Host records.
  std::vector<mesh::operator_record> Records;   ///< Whole records or deltas.
  std::vector<rollout::rollout_state> Rollouts; ///< SeenAt is in local time.
  log_offset RecordsFrom{0}; ///< Records has all changes since this offset.
  /** Time since the sender was known to have all operator records of the
   * store; only from nodes that read the store for their zone. */
  std::optional<micros> StoreAge;
  bool RelayToZone = false; ///< Asks to pass Sender on to the receiver's zone.
  bool WantHosts = false;   ///< Requests all host records.
  bool WantRecords = false; ///< Requests the records since OperatorEnd.
  std::vector<rollout_evidence_report> Evidence; ///< For rollout decisions.
  store_era OperatorEra; ///< Era of the store to which OperatorEnd belongs.
  std::vector<usage_counts> Usage; ///< For the holder of the usage duty.
  std::optional<usage_holder> UsageHolder; ///< Holder that the sender knows.
  std::int64_t WallMillis = 0; ///< Time of day of the sender, in Unix ms, or 0.
};

/** First message of a connection in each direction; identifies the process at
 * that end. */
struct opened_message {
  mesh::host_record Sender; ///< Host record of the sender.
};
/** Requests a pong, to detect connections that no longer work. */
struct ping_message {};
/** Answer to a ping. */
struct pong_message {};

using mesh_message =
    std::variant<forward_message, reply_message, cancel_message, resume_message,
                 gossip_message, opened_message, ping_message, pong_message>;

/** Largest encoded message, without its length prefix. */
inline constexpr std::size_t MaxMeshMessageBytes =
    std::size_t{72} * 1024 * 1024;

/** @return the size of the message, with its length prefix, that begins with
 * these bytes, if they tell one within the limit. */
auto messageSize(std::string_view Bytes) -> std::optional<std::size_t>;

/** @return the encoded message with its length prefix.
 * @param Now current time: the send time, and base of elapsed times. */
auto encodeMeshMessage(const mesh_message &Message, steady_time Now)
    -> std::string;

/** A message decoded from the start of a byte stream. */
struct decoded_mesh_message {
  mesh_message Message; ///< The message.
  steady_time SentAt{}; ///< Send time in the monotonic clock of the sender.
  std::size_t EncodedBytes = 0; ///< Size in the stream, with the length prefix.
};

/** @return the first message in Bytes; nothing if it is incomplete; a Corrupt
 * error if it is malformed, after which the stream can't be decoded further.
 * @param Now current time, base of the elapsed times in the message. */
auto decodeMeshMessage(std::string_view Bytes, steady_time Now)
    -> result<std::optional<decoded_mesh_message>>;

/** What the beginning of a large message tells. */
struct mesh_message_outline {
  /** The number of its call if it is a forward_message or reply_message;
   * nothing for other messages. */
  std::optional<call_number> Call;
};

/** @return the outline of the message that begins with Bytes; nothing if too
 * few of them have arrived; a Corrupt error if it is malformed. */
auto outlineMeshMessage(std::string_view Bytes)
    -> result<std::optional<mesh_message_outline>>;

/** @return the gossip message in a record of the store, or nothing if the
 * record holds another message or is malformed. */
auto decodeGossip(std::string_view Bytes, steady_time Now)
    -> std::optional<gossip_message>;

} // namespace sycamorelb::inner
