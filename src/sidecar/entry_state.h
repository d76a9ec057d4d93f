/** @file entry_state.h State of the entry of calls. Private to its sources. */
#pragma once

#include "sidecar/entry.h"
#include "sidecar/target_board.h"
#include "sycamorelb/http/server_connection.h"
#include "sycamorelb/mesh/route_table.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>

namespace sycamorelb::sidecar {

/** Wait told to callers where no target of the service is known. */
inline constexpr auto NoTargetWait = micros(300'000);

/** A call of a caller on this host. */
struct open_call {
  std::uint64_t Serial = 0;   // Identifies it at this node.
  inner::call_number Attempt; // Number under which Host knows it.
  std::weak_ptr<http::server_connection> Caller;
  request_id Id;
  http::request Request;
  const mesh::route_rule *Route = nullptr;
  std::shared_ptr<const mesh::route_table> Routes; // Keeps Route alive.
  service_id Service;
  steady_time ArrivedAt{};
  steady_time OnTimeBy{};
  steady_time GiveUpAt{};
  steady_time SentAt{}; // When Host got it.
  event::timer_id Timer{0};
  std::set<node_id> Tried;    // Hosts that refused or failed it.
  node_id Host;               // Host that has it; empty for none.
  node_id LastHost;           // Host whose reply came last.
  std::uint32_t Arrivals = 0; // Targets that it reached.
  std::uint32_t Bounces = 0;
  std::uint32_t Resumes = 0;
  bool Late = false;                     // An answer on time is not expected.
  bool MayHaveRun = false;               // Some target may have run it.
  bool Trial = false;                    // It is one for the version on trial.
  std::optional<http::response> Failure; // Answer of a target that failed it.
};

using call_ref = std::shared_ptr<open_call>;

struct entry::implementation {
  implementation(node_state &State, admission &Admission, peer_links &Links)
      : State(State), Admission(Admission), Links(Links) {}

  node_state &State;
  admission &Admission;
  peer_links &Links;
  target_board Board;
  std::unique_ptr<event::listener> Listener;
  std::set<std::shared_ptr<http::server_connection>> Connections;
  std::unordered_map<std::uint64_t, call_ref> Calls;    // By serial.
  std::unordered_map<std::uint64_t, call_ref> Attempts; // By number.
  std::map<route_id, mesh::split_state> Splits;
  std::uint64_t NextNumber = 1;
  bool Refusing = false;

  void accept(std::shared_ptr<event::stream> Stream);
  void begin(const std::shared_ptr<http::server_connection> &Caller,
             http::request Request);
  void reject(const std::shared_ptr<http::server_connection> &Caller,
              const request_id &Id, int Status, std::optional<micros> Return,
              const char *Reason);
  void dispatchCall(const call_ref &Call);
  auto pick(const call_ref &Call) -> const mesh::host_record *;
  void send(const call_ref &Call, const mesh::host_record &Host);
  auto forwardOf(const open_call &Call, const mesh::host_record &Host) const
      -> inner::forward_message;
  void release(open_call &Call);
  void handleOutcome(const call_ref &Call, const node_id &Node,
                     const inner::reply_message &Reply);
  void handleNotRun(const call_ref &Call, const inner::reply_message &Reply);
  void handleFailed(const call_ref &Call, const inner::reply_message &Reply);
  auto mayRepeat(const open_call &Call, repeat_cause Cause) -> bool;
  void refuse(const call_ref &Call, const char *Reason);
  void fail(const call_ref &Call, int Status, const char *Reason);
  void answer(const call_ref &Call, const http::response &Response,
              const char *Outcome);
  void expire(const call_ref &Call);
  void abandon(const call_ref &Call);
  void withdraw(const call_ref &Call);
  auto returnAfter(const open_call &Call) -> micros;
  void sweep();
};

} // namespace sycamorelb::sidecar
