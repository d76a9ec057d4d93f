/** @file claim_service.h Idempotency key claims, local or at a peer. */
#pragma once

#include "node/node_context.h"
#include "sycamorelb/inner/peer_type.h"
#include "sycamorelb/proxy/proxy_handler.h"

#include <memory>

namespace sycamorelb::node {

/** Sends each claim to the writer of its partition, which may be this node.
 * Thread safe. */
class claim_service {
public:
  explicit claim_service(node_context &Context);
  ~claim_service();
  claim_service(const claim_service &) = delete;
  auto operator=(const claim_service &) -> claim_service & = delete;

  /** Claims a key for an admitted call; see proxy::admission_hooks. */
  auto claim(std::uint64_t KeyHash, const proxy::admission_request &Request,
             const proxy::admission_ticket &Ticket) -> proxy::claim_decision;
  /** Releases or completes a granted claim after its call has finished. */
  void finish(std::uint64_t KeyHash, const proxy::admission_request &Request,
              const proxy::admission_ticket &Ticket,
              const proxy::call_outcome &Outcome);

  /** Decides claims of peers, as the writer of their partitions. */
  auto onPeerClaims(const std::vector<inner::claim_request> &Batch)
      -> std::vector<inner::claim_verdict>;
  /** Releases or completes a claim on behalf of a peer. */
  void onPeerRelease(const inner::claim_request &Claim);

private:
  struct implementation;
  std::unique_ptr<implementation> Impl;
};

} // namespace sycamorelb::node
