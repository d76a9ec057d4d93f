/** @file client_func.h What the client verbs share. */
#pragma once

#include "cli/cli_type.h"
#include "sycamorelb/admin/admin_client.h"

#include <functional>
#include <nlohmann/json.hpp>

namespace sycamorelb::cli {

/** Where and as whom a client connects. */
struct client_access {
  std::string Address;   ///< Admin address of a node.
  inner::auth_keys Keys; ///< Admin keys.
};

/** @return address and keys from --node and --settings, or from the settings
 * file named by the environment variable SYCAMORELB_SETTINGS. */
auto findAccess() -> result<client_access>;

/** Connects with the flags of the command line. */
auto connectClient() -> result<std::unique_ptr<admin::admin_client>>;

/** @return the request id of --request-id, or a new random one. */
auto chooseRequestId() -> request_id;

/** Prints an error to standard error. @return the exit code that fits it. */
auto reportError(const error &Error) -> exit_code;

/** Sends a mutation. */
using send_function =
    std::function<result<admin::outcome>(admin::admin_client &)>;

/**
 * Sends a mutation, asks for its fate after a lost answer, waits for all nodes
 * if --wait is set, and prints the outcome.
 * @param Outcome receives the fate if it is known.
 */
auto runMutation(const request_id &Request, const send_function &Send,
                 admin::outcome &Outcome) -> exit_code;

/** Prints an outcome as JSON or for people. */
void printOutcome(const request_id &Request, const admin::outcome &Outcome);

/** @return the exit code of an outcome. */
auto exitCodeOf(const admin::outcome &Outcome) -> exit_code;

/** Reads a whole file; NotFound if it cannot be read. */
auto readFile(const std::string &Path) -> result<std::string>;

} // namespace sycamorelb::cli
