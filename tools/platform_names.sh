#!/usr/bin/env bash
# Fails if a name of the users' platform stands outside platform/, the deploy file and the tests of the formats.
set -euo pipefail
cd "$(dirname "$0")/.."
Words='Deadline-Milliseconds|Response-Signature|Expected-Instance|Server-Load|Not-Executed|Calling-Service|Cold-Milliseconds'
Words+='|weightedServices|targetLatency|coldRemaining|heartbeatAddress|coldPerS|resourceType|internalPortRange|controlPlane'
Words+='|log-(append|read|newest|join)|keyed\.(op|servers|status)|fleetbench|SYCAMORELB_CONFIG'
if git ls-files src include | xargs grep -nE "$Words"; then
  echo "platform_names: decode these in platform/ only" >&2
  exit 1
fi
echo "platform_names: none outside platform/"
