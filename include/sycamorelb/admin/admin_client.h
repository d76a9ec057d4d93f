/** @file admin_client.h Client of the admin RPC. */
#pragma once

#include "sycamorelb/admin/admin_type.h"
#include "sycamorelb/core/result_type.h"
#include "sycamorelb/inner/auth_func.h"

#include <memory>

namespace sycamorelb::admin {

/**
 * Blocking client, for use on the thread that created it. Errors are
 * Unreachable if the request was never received, Unauthorized if the handshake
 * failed, and Timeout if the outcome is unknown.
 */
class admin_client {
public:
  /**
   * Connects to the admin port of a node.
   * @param Address "ip:port".
   * @param Timeout limit for each call.
   */
  static auto connect(const std::string &Address, const inner::auth_keys &Keys,
                      millis Timeout) -> result<std::unique_ptr<admin_client>>;
  ~admin_client();
  admin_client(const admin_client &) = delete;
  auto operator=(const admin_client &) -> admin_client & = delete;

  auto apply(const request_id &Request, const std::string &Text,
             const std::string &File) -> result<outcome>;
  auto startMove(const request_id &Request, const move_request &Move)
      -> result<outcome>;
  auto setZone(const request_id &Request, const zone_id &Zone, bool InService)
      -> result<outcome>;
  auto takeBackMove(const request_id &Request, const service_id &Service)
      -> result<outcome>;
  auto findOutcome(const request_id &Request) -> result<outcome>;
  auto readStatus() -> result<status>;
  auto readDeclaration() -> result<declaration_text>;
  auto dump() -> result<std::string>;
  auto drain() -> result<done>;

private:
  struct impl;
  explicit admin_client(std::unique_ptr<impl> Impl);
  std::unique_ptr<impl> Impl;
};

} // namespace sycamorelb::admin
