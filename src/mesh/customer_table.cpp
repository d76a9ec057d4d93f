/** @file customer_table.cpp Salted index of the customers' keys. */
#include "sycamorelb/mesh/customer_table.h"

#include <cstring>
#include <memory>
#include <openssl/crypto.h>
#include <openssl/evp.h>

namespace sycamorelb::mesh {

/** Value in the index for a key of several customers. */
static constexpr auto Ambiguous = ~std::size_t{0};

auto customer_table::hash_prefix::operator()(const key_hash &Hash) const
    -> std::size_t {
  auto Prefix = std::size_t{0};
  std::memcpy(&Prefix, Hash.data(), sizeof(Prefix));
  return Prefix;
}

auto customer_table::hash_equal::operator()(const key_hash &Left,
                                            const key_hash &Right) const
    -> bool {
  return CRYPTO_memcmp(Left.data(), Right.data(), Left.size()) == 0;
}

/** @return a context with the digest set, which is reused because the lookup of
 * a digest takes longer than the hash of a key. */
static auto digestContext() -> EVP_MD_CTX * {
  using context = std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)>;
  static thread_local auto Context = [] {
    auto Created = context(EVP_MD_CTX_new(), &EVP_MD_CTX_free);
    EVP_DigestInit_ex(Created.get(), EVP_sha256(), nullptr);
    return Created;
  }();
  return Context.get();
}

auto customer_table::hashOf(std::string_view Key) const -> key_hash {
  auto Hash = key_hash();
  auto *Context = digestContext();
  EVP_DigestInit_ex(Context, nullptr, nullptr);
  EVP_DigestUpdate(Context, Salt.data(), Salt.size());
  EVP_DigestUpdate(Context, Key.data(), Key.size());
  EVP_DigestFinal_ex(Context, Hash.data(), nullptr);
  return Hash;
}

customer_table::customer_table(const std::vector<customer_rule> &Rules,
                               const key_salt &Salt)
    : Salt(Salt) {
  for (const auto &Rule : Rules) {
    auto Index = Customers.size();
    Customers.push_back({Rule.Name, Rule.Priority});
    for (const auto &Key : Rule.Keys) {
      auto [Found, IsNew] = ByHash.emplace(hashOf(Key), Index);
      if (!IsNew && Found->second != Index && Found->second != Ambiguous) {
        Found->second = Ambiguous;
        ++AmbiguousKeys;
      }
    }
  }
}

auto customer_table::find(std::string_view Key) const
    -> const customer_entry * {
  auto Found = ByHash.find(hashOf(Key));
  return Found == ByHash.end() || Found->second == Ambiguous
             ? nullptr
             : &Customers[Found->second];
}

auto decideByKey(const customer_table &Table, const presented_key &Key,
                 bool AllowAnonymous, bool IsHeld) -> key_decision {
  if (!Table.hasCustomers() || (!Key.IsPresent && AllowAnonymous)) {
    return {};
  }
  if (IsHeld) {
    return {key_verdict::Held, nullptr};
  }
  if (!Key.IsPresent) {
    return {key_verdict::Missing, nullptr};
  }
  if (Key.IsMalformed) {
    return {key_verdict::Malformed, nullptr};
  }
  const auto *Customer = Table.find(Key.Key);
  return {Customer == nullptr ? key_verdict::Unknown : key_verdict::Accepted,
          Customer};
}

auto isHeld(const key_hold &Hold, steady_time ConfirmedAt, steady_time Now)
    -> bool {
  auto IsConfirmed =
      ConfirmedAt >= Hold.ResumedAt && ConfirmedAt > Hold.ConfirmedBefore;
  return Now < Hold.EndsAt && !IsConfirmed;
}

} // namespace sycamorelb::mesh
