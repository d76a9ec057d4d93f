/** @file claim_service.cpp Idempotency key claims, local or at a peer. */
#include "node/claim_service.h"

#include "sycamorelb/claims/claim_writer.h"
#include "sycamorelb/core/hash_func.h"
#include "sycamorelb/telemetry/log_func.h"

#include <algorithm>

namespace sycamorelb::node {

using proxy::claim_decision;
using telemetry::metric;

/** Timeout of one append to or read of a claim stream. */
static constexpr auto LogTimeout = millis(1000);
/** Timeout of one claim. */
static constexpr auto ClaimTimeout = millis(2000);
/** Maximum number of records requested in one read of a claim stream. */
static constexpr auto MaxReadRecords = std::size_t{512};

static auto appendTo(node_context &Context, std::uint32_t Partition,
                     const std::string &Bytes) -> claims::append_result {
  auto Result =
      Context.Log.append(claims::streamName(Partition), Bytes, LogTimeout);
  if (const auto *Done = std::get_if<platform::append_done>(&Result)) {
    return claims::appended{Done->Offset};
  }
  if (std::holds_alternative<platform::append_refused>(Result)) {
    return claims::append_refused{};
  }
  return claims::append_unknown{};
}

static auto readFrom(node_context &Context, std::uint32_t Partition,
                     log_offset From) -> claims::read_result {
  // The log numbers its records from 1; to the writer, offset 0 means the start
  // of a stream without expired records.
  auto Result = Context.Log.read(claims::streamName(Partition),
                                 std::max(From, log_offset{1}), MaxReadRecords,
                                 millis(0));
  if (auto *Batch = std::get_if<platform::read_batch>(&Result)) {
    auto First = Batch->First.Value <= 1 ? log_offset{0} : Batch->First;
    auto Records = claims::read_records{First, Batch->Next, {}};
    for (auto &Record : Batch->Records) {
      Records.Records.push_back({Record.Offset, std::move(Record.Bytes)});
    }
    return Records;
  }
  if (const auto *Expired = std::get_if<platform::read_expired>(&Result)) {
    return claims::read_trimmed{Expired->First};
  }
  return claims::read_failed{};
}

/** @return the claim key of a hash that already covers the service. */
static auto toKey(std::uint64_t KeyHash) -> claims::claim_key {
  return claims::claimKey({}, std::to_string(KeyHash));
}

static auto toClaimant(const inner::claim_request &Claim) -> claims::claimant {
  return {Claim.Node, Claim.Incarnation,
          std::strtoull(Claim.AttemptId.c_str(), nullptr, 10)};
}

static auto writerOptions(const node_context &Context)
    -> claims::claim_writer_options {
  auto Options = claims::claim_writer_options();
  Options.Retention = Context.Settings.Log.Retention;
  return Options;
}

struct claim_service::implementation {
  node_context &Context;
  claims::claim_writer Writer;

  explicit implementation(node_context &NodeContext)
      : Context(NodeContext),
        Writer({[this](std::uint32_t Partition, const std::string &Bytes) {
                  return appendTo(Context, Partition, Bytes);
                },
                [this](std::uint32_t Partition, log_offset From) {
                  return readFrom(Context, Partition, From);
                }},
               writerOptions(NodeContext)) {}

  auto makeRequest(std::uint64_t KeyHash,
                   const proxy::admission_request &Request,
                   const proxy::admission_ticket &Ticket) const
      -> inner::claim_request {
    auto Claim = inner::claim_request();
    Claim.KeyHash = hash64(Request.Service.Value, KeyHash);
    Claim.Partition = claims::partitionOf(toKey(Claim.KeyHash));
    Claim.Node = Context.Self.Id;
    Claim.Incarnation = Context.Incarnation;
    Claim.AttemptId = std::to_string(Ticket.Id);
    Claim.At = wallNow();
    return Claim;
  }

  /** @return the member that writes a partition. */
  auto writerOf(std::uint32_t Partition) const -> config::peer {
    auto Stream = claims::streamName(Partition);
    auto View = Context.View.load();
    const auto &Live = View->Live;
    auto PartitionWriter = std::max_element(
        Live.begin(), Live.end(),
        [&Stream](const config::peer &Left, const config::peer &Right) {
          return rendezvousScore(Stream, Left.Id.Value) <
                 rendezvousScore(Stream, Right.Id.Value);
        });
    return PartitionWriter == Live.end() ? Context.Self : *PartitionWriter;
  }

  static auto toVerdict(const claims::claim_answer &Answer)
      -> inner::claim_verdict {
    auto Verdict = inner::claim_verdict();
    if (std::holds_alternative<claims::granted>(Answer)) {
      Verdict.Result = inner::claim_result::Granted;
    } else if (const auto *Held = std::get_if<claims::held>(&Answer)) {
      Verdict.Result = inner::claim_result::Held;
      Verdict.HeldStatus = Held->Status;
    } else {
      Verdict.Reason = std::get<claims::refused>(Answer).Reason;
    }
    return Verdict;
  }

  auto claimLocally(const inner::claim_request &Claim, steady_time Deadline)
      -> inner::claim_verdict {
    return toVerdict(
        Writer.claim(toKey(Claim.KeyHash), toClaimant(Claim), Deadline));
  }

  auto claimRemotely(const std::string &Address,
                     const inner::claim_request &Claim, millis Timeout)
      -> inner::claim_verdict {
    auto Answer = Context.Rpc.claim(Address, {Claim}, Timeout);
    if (isOk(Answer) && valueOf(Answer).size() == 1) {
      return valueOf(Answer).front();
    }
    auto Refused = inner::claim_verdict();
    Refused.Reason =
        isOk(Answer) ? "the writer sent no verdict" : describe(errorOf(Answer));
    return Refused;
  }

  /** Releases or completes a claim at the writer of its partition. If the
   * message is lost, the key stays held until its time to live ends, which is
   * safe. */
  void endClaim(const inner::claim_request &Claim) {
    auto Peer = writerOf(Claim.Partition);
    if (Peer.Id == Context.Self.Id) {
      endClaimLocally(Claim);
      return;
    }
    auto Address = innerAddress(*Context.View.load(), Peer.Id);
    auto Sent = Context.Rpc.releaseClaim(Address, Claim, millis(500));
    if (!isOk(Sent)) {
      telemetry::logError(telemetry::log_level::Info, errorOf(Sent));
    }
  }

  void endClaimLocally(const inner::claim_request &Claim) {
    auto Key = toKey(Claim.KeyHash);
    auto Claimant = toClaimant(Claim);
    if (Claim.Status == 0) {
      Writer.release(Key, Claimant);
    } else {
      Writer.complete(Key, Claimant, Claim.Status);
    }
  }
};

claim_service::claim_service(node_context &Context)
    : Impl(std::make_unique<implementation>(Context)) {}

claim_service::~claim_service() = default;

auto claim_service::claim(std::uint64_t KeyHash,
                          const proxy::admission_request &Request,
                          const proxy::admission_ticket &Ticket)
    -> claim_decision {
  auto &Context = Impl->Context;
  auto Claim = Impl->makeRequest(KeyHash, Request, Ticket);
  auto Now = steadyNow();
  auto Deadline = std::min(Request.Deadline, Now + micros(ClaimTimeout));
  auto Peer = Impl->writerOf(Claim.Partition);
  auto Verdict = Peer.Id == Context.Self.Id
                     ? Impl->claimLocally(Claim, Deadline)
                     : Impl->claimRemotely(
                           innerAddress(*Context.View.load(), Peer.Id), Claim,
                           std::chrono::duration_cast<millis>(Deadline - Now));
  auto Decision = claim_decision();
  Decision.Reason = Verdict.Reason;
  switch (Verdict.Result) {
  case inner::claim_result::Granted:
    // The deadline may have passed while this process was paused.
    Decision.Kind = steadyNow() < Request.Deadline
                        ? claim_decision::kind::Granted
                        : claim_decision::kind::Refused;
    break;
  case inner::claim_result::Held:
    Decision.Kind = claim_decision::kind::Held;
    Decision.Completed = Verdict.HeldStatus != 0;
    Decision.Status = Verdict.HeldStatus;
    break;
  case inner::claim_result::Refused:
    break;
  }
  if (Decision.Kind == claim_decision::kind::Refused) {
    // The claim may have been recorded even if its verdict was lost.
    Impl->endClaim(Claim);
  }
  static constexpr const char *Results[] = {"granted", "held", "refused"};
  Context.Metrics.increment(
      metric::Claims, {{"result", Results[static_cast<int>(Decision.Kind)]}});
  return Decision;
}

void claim_service::finish(std::uint64_t KeyHash,
                           const proxy::admission_request &Request,
                           const proxy::admission_ticket &Ticket,
                           const proxy::call_outcome &Outcome) {
  auto Claim = Impl->makeRequest(KeyHash, Request, Ticket);
  if (Outcome.Kind == proxy::outcome_kind::Answered) {
    Claim.Status = static_cast<std::uint16_t>(Outcome.Status);
  } else if (Outcome.Started && Outcome.Kind != proxy::outcome_kind::NotRun) {
    return; // The call may have run, so the key stays held.
  }
  Impl->endClaim(Claim);
}

auto claim_service::onPeerClaims(const std::vector<inner::claim_request> &Batch)
    -> std::vector<inner::claim_verdict> {
  auto Deadline = steadyNow() + ClaimTimeout;
  auto Verdicts = std::vector<inner::claim_verdict>();
  Verdicts.reserve(Batch.size());
  for (const auto &Claim : Batch) {
    Verdicts.push_back(Impl->claimLocally(Claim, Deadline));
  }
  return Verdicts;
}

void claim_service::onPeerRelease(const inner::claim_request &Claim) {
  Impl->endClaimLocally(Claim);
}

} // namespace sycamorelb::node
