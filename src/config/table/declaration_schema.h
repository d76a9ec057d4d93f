/** @file declaration_schema.h JSON Schema of declaration files.
 *
 * The schema does not use "pattern": the library evaluates it with std::regex,
 * whose recursion overflows the stack on long strings. Names, paths and times
 * are validated in reference_check.cpp.
 */
#pragma once

namespace sycamorelb::config {

inline constexpr char DeclarationSchema[] = R"json({
  "$schema": "http://json-schema.org/draft-07/schema#",
  "title": "sycamorelb declaration",
  "type": "object",
  "additionalProperties": false,
  "required": ["zones", "services", "routes"],
  "properties": {
    "zones": {
      "type": "object",
      "maxProperties": 64,
      "additionalProperties": {
        "type": "object",
        "additionalProperties": false,
        "required": ["region"],
        "properties": {
          "region": {"type": "string"},
          "in_service": {"type": "boolean"}
        }
      }
    },
    "services": {
      "type": "object",
      "maxProperties": 1024,
      "additionalProperties": {
        "type": "object",
        "additionalProperties": false,
        "required": ["versions", "active_version"],
        "properties": {
          "versions": {
            "type": "array",
            "minItems": 1,
            "maxItems": 64,
            "items": {"type": "string"}
          },
          "active_version": {"type": "string"}
        }
      }
    },
    "routes": {
      "type": "array",
      "maxItems": 4096,
      "items": {
        "type": "object",
        "additionalProperties": false,
        "required": ["name", "service", "path_prefix"],
        "properties": {
          "name": {"type": "string"},
          "service": {"type": "string"},
          "path_prefix": {"type": "string"},
          "methods": {
            "type": "array",
            "maxItems": 7,
            "items": {
              "enum": ["GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS"]
            }
          },
          "timeout_ms": {"type": "integer", "minimum": 1, "maximum": 3600000},
          "idempotent": {"type": "boolean"},
          "max_attempts": {"type": "integer", "minimum": 1, "maximum": 10},
          "retry_budget_percent": {"type": "integer", "minimum": 0, "maximum": 100},
          "hedge_after_ms": {"type": "integer", "minimum": 0, "maximum": 3600000},
          "hedge_budget_percent": {"type": "integer", "minimum": 0, "maximum": 100}
        }
      }
    },
    "moves": {
      "type": "array",
      "maxItems": 256,
      "items": {
        "type": "object",
        "additionalProperties": false,
        "required": ["id", "service", "from", "to", "by"],
        "properties": {
          "id": {"type": "string"},
          "service": {"type": "string"},
          "from": {"type": "string"},
          "to": {"type": "string"},
          "by": {"type": "string"},
          "max_early_share_percent": {
            "type": "number", "minimum": 0.0001, "maximum": 100
          }
        }
      }
    }
  }
})json";

} // namespace sycamorelb::config
