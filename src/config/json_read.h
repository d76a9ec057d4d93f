/** @file json_read.h Typed access to members of untrusted JSON objects. */
#pragma once

#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace sycamorelb::config {

/** Reads members of a JSON object. A missing or invalid member reads as an
 * empty value, and the first one is recorded. */
class json_reader {
public:
  explicit json_reader(const nlohmann::json &Object) : Object(Object) {}

  /** @return an unsigned integer of at most Max. */
  auto number(const char *Key,
              std::uint64_t Max = std::numeric_limits<std::uint64_t>::max())
      -> std::uint64_t {
    const auto *Value = find(Key);
    if (Value == nullptr || !Value->is_number_unsigned() ||
        Value->get<std::uint64_t>() > Max) {
      return markInvalid(Key), 0;
    }
    return Value->get<std::uint64_t>();
  }

  /** @return a signed integer. */
  auto integer(const char *Key) -> std::int64_t {
    const auto *Value = find(Key);
    if (Value == nullptr || !Value->is_number_integer() ||
        (Value->is_number_unsigned() &&
         Value->get<std::uint64_t>() >
             static_cast<std::uint64_t>(
                 std::numeric_limits<std::int64_t>::max()))) {
      return markInvalid(Key), 0;
    }
    return Value->get<std::int64_t>();
  }

  /** @return a string of at most Max bytes. */
  auto text(const char *Key, std::size_t Max) -> std::string {
    const auto *Value = find(Key);
    if (Value == nullptr || !Value->is_string() ||
        Value->get_ref<const std::string &>().size() > Max) {
      return markInvalid(Key), "";
    }
    return Value->get<std::string>();
  }

  /** @return a boolean. */
  auto boolean(const char *Key) -> bool {
    const auto *Value = find(Key);
    if (Value == nullptr || !Value->is_boolean()) {
      return markInvalid(Key), false;
    }
    return Value->get<bool>();
  }

  /** @return a member of any type, or null if it is missing. */
  auto any(const char *Key) -> const nlohmann::json * {
    const auto *Value = find(Key);
    if (Value == nullptr) {
      markInvalid(Key);
    }
    return Value;
  }

  /** @return the key of the first missing or invalid member, if any. */
  auto invalidMember() const -> const std::optional<std::string> & {
    return InvalidMember;
  }

  /** Records a member as invalid. */
  void markInvalid(const char *Key) {
    if (!InvalidMember) {
      InvalidMember = Key;
    }
  }

private:
  auto find(const char *Key) const -> const nlohmann::json * {
    if (!Object.is_object()) {
      return nullptr;
    }
    auto Found = Object.find(Key);
    return Found == Object.end() ? nullptr : &*Found;
  }

  const nlohmann::json &Object;
  std::optional<std::string> InvalidMember;
};

} // namespace sycamorelb::config
