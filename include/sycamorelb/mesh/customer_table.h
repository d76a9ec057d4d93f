/** @file customer_table.h Decides which customer makes a call, so that calls
 * with an unknown or removed key are refused before their body is read. */
#pragma once

#include "sycamorelb/mesh/config_type.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sycamorelb::mesh {

/** Random bytes that are hashed before each key, drawn at process start. */
using key_salt = std::array<std::uint8_t, 16>;

/** A customer as calls need it. */
struct customer_entry {
  customer_id Name;                      ///< Name of the customer.
  std::optional<std::uint32_t> Priority; ///< Replaces that of the route.
};

/**
 * Immutable index of the customers of one configuration by the salted SHA-256
 * hashes of their keys. It doesn't hold the keys.
 */
class customer_table {
public:
  /** A table without customers. */
  customer_table() = default;
  customer_table(const std::vector<customer_rule> &Customers,
                 const key_salt &Salt);

  /** @return whether the configuration has customers. */
  auto hasCustomers() const -> bool { return !Customers.empty(); }
  /** @return the customer with this key, or null. The hashes are compared in
   * constant time. */
  auto find(std::string_view Key) const -> const customer_entry *;
  /** @return the number of keys that several customers have. They are accepted
   * for none of them, since the caller can't be told apart. */
  auto ambiguousKeys() const -> std::size_t { return AmbiguousKeys; }

private:
  using key_hash = std::array<std::uint8_t, 32>;
  /** The first bytes of a hash; they depend on the secret salt. */
  struct hash_prefix {
    auto operator()(const key_hash &Hash) const -> std::size_t;
  };
  struct hash_equal {
    auto operator()(const key_hash &Left, const key_hash &Right) const -> bool;
  };
  auto hashOf(std::string_view Key) const -> key_hash;

  key_salt Salt{};
  std::vector<customer_entry> Customers;
  /** Indices in Customers; Ambiguous for the key of several customers. */
  std::unordered_map<key_hash, std::size_t, hash_prefix, hash_equal> ByHash;
  std::size_t AmbiguousKeys = 0;
};

/** Key that a call carries. */
struct presented_key {
  bool IsPresent = false;   ///< The call carries credentials.
  bool IsMalformed = false; ///< They can't be read.
  std::string_view Key;     ///< The key, if it can be read.
};

/** Decision on a call by its key. */
enum class key_verdict : std::uint8_t {
  Accepted,  ///< A customer makes the call, or nobody need be named.
  Held,      ///< The table may be outdated; the caller may retry.
  Missing,   ///< The route needs a key.
  Unknown,   ///< No customer has the key.
  Malformed, ///< The credentials can't be read.
};

/** Decision on a call, with its customer if it has one. */
struct key_decision {
  key_verdict Verdict = key_verdict::Accepted; ///< The decision.
  const customer_entry *Customer = nullptr;    ///< Entry of the table, or null.
};

/** Decides on a call. Without customers, all calls are accepted.
 * @param AllowAnonymous whether the route accepts calls without a key.
 * @param IsHeld whether the table may lack a change, so that no call is decided
 * by it. */
auto decideByKey(const customer_table &Table, const presented_key &Key,
                 bool AllowAnonymous, bool IsHeld) -> key_decision;

/** When the process was last suspended; a key may have been removed since. */
struct key_hold {
  steady_time ResumedAt{};       ///< When the end of the pause was noticed.
  steady_time EndsAt{};          ///< When the hold ends in any case.
  steady_time ConfirmedBefore{}; ///< Last confirmation before ResumedAt.
};

/** @return whether no call may be decided by keys at Now.
 * @param ConfirmedAt latest time at which the store proved that the node has
 * the newest configuration. */
auto isHeld(const key_hold &Hold, steady_time ConfirmedAt, steady_time Now)
    -> bool;

} // namespace sycamorelb::mesh
