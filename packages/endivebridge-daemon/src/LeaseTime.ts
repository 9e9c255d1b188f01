import { peersOfOtherDomain } from "@endivebridge/core";
import type { Context } from "./Context";
import { heartbeatIntervalMillis } from "./HeartbeatInterval";

const heartbeatsPerLease = 4;

/**
 * Length of a lease in milliseconds. Siblings must agree on it, so it follows from what they share: the settings, the
 * members of the row and the declared failure domains. With many siblings heartbeats are rare, and leases grow with them.
 */
export function leaseMillis(context: Context): number {
    const { heartbeatMillis, leaseMillis: shortestMillis } = context.settings.timing;
    const siblings = Math.max(0, (context.assignment.read()?.row.members.length ?? 1) - 1);
    const regions = Object.values(context.configuration.read()?.document.regions ?? {});
    const domains = regions.reduce((sum, region) => sum + region.failureDomains.length, 0);
    const others = Math.max(0, domains - 1) * peersOfOtherDomain;
    const siblingMillis = heartbeatIntervalMillis(heartbeatMillis, siblings, others, true);
    return Math.max(shortestMillis, heartbeatsPerLease * siblingMillis);
}
