/** @file settings_schema.h JSON Schema of the node settings. */
#pragma once

namespace sycamorelb::settings {

inline constexpr auto SettingsSchema = R"json({
  "$schema": "http://json-schema.org/draft-07/schema#",
  "title": "sycamorelb node settings",
  "type": "object",
  "additionalProperties": false,
  "required": ["id", "zone", "region", "inner_keys", "admin_keys"],
  "definitions": {
    "port": {"type": "integer", "minimum": 1, "maximum": 65535},
    "name": {"type": "string", "minLength": 1, "maxLength": 64},
    "duration_ms": {"type": "integer", "minimum": 1, "maximum": 604800000},
    "keys": {
      "type": "array", "minItems": 1, "maxItems": 8,
      "items": {
        "type": "object", "additionalProperties": false,
        "required": ["id", "secret"],
        "properties": {
          "id": {"type": "integer", "minimum": 0, "maximum": 4294967295},
          "secret": {"type": "string", "minLength": 16, "maxLength": 256}
        }
      }
    }
  },
  "properties": {
    "id": {"$ref": "#/definitions/name"},
    "zone": {"$ref": "#/definitions/name"},
    "region": {"$ref": "#/definitions/name"},
    "log_level": {"enum": ["debug", "info", "warning", "error"]},
    "seeds": {"type": "array", "maxItems": 64, "items": {"type": "string", "pattern": "^[0-9.]+:[0-9]+$"}},
    "inner_keys": {"$ref": "#/definitions/keys"},
    "admin_keys": {"$ref": "#/definitions/keys"},
    "listen": {
      "type": "object", "additionalProperties": false,
      "properties": {
        "ip": {"type": "string", "pattern": "^[0-9.]+$"},
        "caller_port": {"$ref": "#/definitions/port"},
        "peer_port": {"$ref": "#/definitions/port"},
        "inner_port": {"$ref": "#/definitions/port"},
        "admin_port": {"$ref": "#/definitions/port"},
        "ops_port": {"$ref": "#/definitions/port"}
      }
    },
    "log": {
      "type": "object", "additionalProperties": false,
      "properties": {
        "address": {"type": "string", "pattern": "^[0-9.]+:[0-9]+$"},
        "append_timeout_ms": {"$ref": "#/definitions/duration_ms"},
        "read_wait_ms": {"$ref": "#/definitions/duration_ms"},
        "retention_ms": {"type": "integer", "minimum": 1000}
      }
    },
    "timing": {
      "type": "object", "additionalProperties": false,
      "properties": {
        "heartbeat_ms": {"type": "integer", "minimum": 50, "maximum": 60000},
        "suspicion_timeout_ms": {"$ref": "#/definitions/duration_ms"},
        "full_exchange_ms": {"$ref": "#/definitions/duration_ms"},
        "stale_after_ms": {"$ref": "#/definitions/duration_ms"},
        "announce_lease_ms": {"$ref": "#/definitions/duration_ms"},
        "drain_timeout_ms": {"$ref": "#/definitions/duration_ms"}
      }
    },
    "proxy": {
      "type": "object", "additionalProperties": false,
      "properties": {
        "caller_threads": {"type": "integer", "minimum": 1, "maximum": 512},
        "peer_threads": {"type": "integer", "minimum": 1, "maximum": 512},
        "subset_size": {"type": "integer", "minimum": 1, "maximum": 256},
        "max_body_bytes": {"type": "integer", "minimum": 1024}
      }
    }
  }
})json";

} // namespace sycamorelb::settings
