/** @file mesh_message_type.h Messages between the nodes of a mesh. */
#pragma once

#include "sycamorelb/core/result_type.h"
#include "sycamorelb/dispatch/pick.h"
#include "sycamorelb/http/message_type.h"
#include "sycamorelb/mesh/config_type.h"
#include "sycamorelb/mesh/host_table.h"
#include "sycamorelb/mesh/operator_table.h"
#include "sycamorelb/rollout/rollout_type.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace sycamorelb::inner {

/** Number of a call, unique among the calls of one entry process. */
using call_number = strong_id<struct call_number_tag, std::uint64_t>;

/** Asks the node beside a target to run a call. */
struct forward_message {
  call_number Call;         ///< Number of the call.
  service_id Service;       ///< Service that must run it.
  version_id Version;       ///< Version of the target that was chosen.
  route_id Route;           ///< Route that it came by.
  service_id CallerService; ///< Service of the host where it began.
  http::request Request;    ///< The request of the caller.
  mesh::call_kind Kind = mesh::call_kind::NonIdempotent; ///< May it repeat.
  std::uint32_t Priority = 0;                            ///< Rank of the route.
  micros TimeOnTime{0};  ///< Left until the answer is late.
  micros TimeToStart{0}; ///< Left until it must have started.
  micros TimeLeft{0};    ///< Left until the caller gives up.
};

/** What became of a forwarded call. */
enum class reply_outcome : std::uint16_t {
  Answered, ///< The target answered in full.
  NotRun,   ///< The target certainly did not run it and never will.
  Unknown,  ///< It may have run; there is no whole answer.
};

/** Outcome of a forwarded call. */
struct reply_message {
  call_number Call;                              ///< Number of the call.
  reply_outcome Outcome = reply_outcome::NotRun; ///< What is known.
  bool Arrived = false;                          ///< It was sent to the target.
  http::response Response;    ///< The answer, if there is one.
  std::string Reason;         ///< Cause, where there is no answer.
  dispatch::load_report Load; ///< Load of the target now.
  micros Run{0};              ///< Time that the target took.
  micros RouteMean{0};        ///< Mean of that for the route at this target.
};

/** The sender no longer waits for a call. */
struct cancel_message {
  call_number Call; ///< Number of the call.
};

/** Asks for the outcome of a call after its connection was lost. A node that
 * has not got the call answers that it is not run, and never runs it. */
struct resume_message {
  call_number Call; ///< Number of the call.
  micros Age{0};    ///< Time since it was sent.
};

/** Tallies of one version of a service by one node. */
struct evidence_report {
  node_id Node;                       ///< Node that counted.
  service_id Service;                 ///< Service.
  log_offset OrderOffset{0};          ///< Order that it is about.
  version_id Version;                 ///< Version of the node's target.
  rollout::version_evidence Evidence; ///< Tallies since the order.
};

/** How new a node's record of a host is. */
struct host_revision {
  node_id Node;                  ///< Host.
  std::uint64_t Incarnation = 0; ///< Incarnation of the record.
  std::uint64_t Revision = 0;    ///< Revision of the record.
};

/** Exchange of state between two nodes. */
struct gossip_message {
  mesh::host_record Sender;     ///< Record of the sender.
  log_offset OperatorEnd{0};    ///< Sender's end of the operators' topic.
  std::uint64_t HostDigest = 0; ///< Digest of its host table; 0 if not told.
  std::vector<host_revision> Summary;           ///< All its hosts, if told.
  std::vector<mesh::host_record> Hosts;         ///< Records of hosts.
  std::vector<mesh::operator_record> Records;   ///< Records of operators.
  std::vector<rollout::rollout_state> Rollouts; ///< Orders; SeenAt is local.
  log_offset RecordsFrom{0}; ///< Records holds all changes from here on.
  bool Reader = false;       ///< The sender reads the store.
  bool Relay = false;        ///< Asks to tell the receiver's zone as well.
  bool WantHosts = false;    ///< Asks for all hosts.
  bool WantRecords = false;  ///< Asks for records from OperatorEnd.
  std::vector<evidence_report> Evidence; ///< Tallies for those that decide.
};

/** First message of a connection: who opened it. */
struct opened_message {
  mesh::host_record Sender; ///< Record of the sender.
};
/** Asks for a pong, to find silent connections. */
struct ping_message {};
/** Answer to a ping. */
struct pong_message {};

using mesh_message =
    std::variant<forward_message, reply_message, cancel_message, resume_message,
                 gossip_message, opened_message, ping_message, pong_message>;

/** Longest message, in bytes. */
inline constexpr std::size_t MaxMeshMessageBytes =
    std::size_t{72} * 1024 * 1024;

/** @return the message with its length in front.
 * @param Now base of the elapsed times in the message. */
auto encodeMesh(const mesh_message &Message, steady_time Now) -> std::string;

/** A message found at the front of a byte stream. */
struct decoded_mesh {
  mesh_message Message;  ///< The message.
  steady_time SentAt{};  ///< Time since boot at which the sender sent it.
  std::size_t Bytes = 0; ///< Bytes that it took.
};

/** @return the first message of Bytes, nothing if it is incomplete, or a
 * Corrupt error after which the connection can't be used. */
auto decodeMesh(std::string_view Bytes, steady_time Now)
    -> result<std::optional<decoded_mesh>>;

/** @return the gossip that a record of the store holds, or nothing if it holds
 * something else or can't be read. */
auto decodeGossip(std::string_view Bytes, steady_time Now)
    -> std::optional<gossip_message>;

} // namespace sycamorelb::inner
