/** @file json_read.h Typed reads from untrusted JSON objects. */
#pragma once

#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace sycamorelb::config {

/** Reads members of one object; the first fault is kept and later reads return
 * empty values. */
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
      return fail(Key), 0;
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
      return fail(Key), 0;
    }
    return Value->get<std::int64_t>();
  }

  /** @return a string of at most Max bytes. */
  auto text(const char *Key, std::size_t Max) -> std::string {
    const auto *Value = find(Key);
    if (Value == nullptr || !Value->is_string() ||
        Value->get_ref<const std::string &>().size() > Max) {
      return fail(Key), "";
    }
    return Value->get<std::string>();
  }

  /** @return a truth value. */
  auto boolean(const char *Key) -> bool {
    const auto *Value = find(Key);
    if (Value == nullptr || !Value->is_boolean()) {
      return fail(Key), false;
    }
    return Value->get<bool>();
  }

  /** @return a member of any type, or null. */
  auto any(const char *Key) -> const nlohmann::json * {
    const auto *Value = find(Key);
    if (Value == nullptr) {
      fail(Key);
    }
    return Value;
  }

  /** @return the first member that was missing or of the wrong kind. */
  auto fault() const -> const std::optional<std::string> & { return Fault; }

  /** Records a fault at a member. */
  void fail(const char *Key) {
    if (!Fault) {
      Fault = Key;
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
  std::optional<std::string> Fault;
};

} // namespace sycamorelb::config
