#!/usr/bin/env bash
# Fails if src/ or include/ contains a name of the users' platform. Such names belong in platform/.
set -euo pipefail
cd "$(dirname "$0")/.."
Words='Deadline-Milliseconds|Response-Signature|Expected-Instance|Server-Load|Not-Executed|Calling-Service|Cold-Milliseconds'
Words+='|weightedServices|targetLatency|coldRemaining|heartbeatAddress|coldPerS|resourceType|internalPortRange|controlPlane'
Words+='|Duty-Holder|Fencing-Token|usageWindow|usageLate|dutiesPerS|windowNumber|cloudApi'
Words+='|log-(append|read|newest|join)|keyed\.(op|servers|status)|fleetbench|SYCAMORELB_CONFIG|Tenant-Name|allowAnonymous|apiKeys|"tenants"'
if git ls-files src include | xargs grep -nE "$Words"; then
  echo "platform_names: these names of the platform are allowed in platform/ only" >&2
  exit 1
fi
echo "platform_names: none outside platform/"
