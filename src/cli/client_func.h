/** @file client_func.h Functions shared by the client verbs. */
#pragma once

#include "cli/cli_type.h"
#include "sycamorelb/admin/admin_client.h"

#include <functional>
#include <nlohmann/json.hpp>

namespace sycamorelb::cli {

/** Address and keys with which a client connects. */
struct client_access {
  std::string Address;   ///< Admin address of a node.
  inner::auth_keys Keys; ///< Admin keys.
};

/** @return address and keys from --node and --settings, or from the settings
 * file named by the environment variable SYCAMORELB_SETTINGS. */
auto readClientAccess() -> result<client_access>;

/** Connects to the node that the command line names. */
auto connectClient() -> result<std::unique_ptr<admin::admin_client>>;

/** @return the request id of --request-id, or a new random one. */
auto chooseRequestId() -> request_id;

/** Prints an error to standard error. @return the exit code for it. */
auto reportError(const error &Error) -> exit_code;

/** Sends a mutation. */
using send_function =
    std::function<result<admin::outcome>(admin::admin_client &)>;

/**
 * Sends a mutation and prints its outcome. Queries the outcome if the response
 * is lost, and waits for all nodes if --wait is set.
 * @param Outcome receives the outcome if it is known.
 */
auto runMutation(const request_id &Request, const send_function &Send,
                 admin::outcome &Outcome) -> exit_code;

/** Prints an outcome as JSON or as plain text. */
void printOutcome(const request_id &Request, const admin::outcome &Outcome);

/** @return the exit code of an outcome. */
auto exitCodeOf(const admin::outcome &Outcome) -> exit_code;

/** Reads a whole file; NotFound if it cannot be read. */
auto readFile(const std::string &Path) -> result<std::string>;

} // namespace sycamorelb::cli
