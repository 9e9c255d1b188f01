import { peersPerOtherDomain } from "@endivebridge/core";
import type { Context } from "./Context";
import { heartbeatIntervalMillis } from "./HeartbeatInterval";

const heartbeatsPerLease = 4;

/**
 * Returns the lease duration in milliseconds. Siblings must agree on it, so it is computed only from data they share:
 * the settings, the members of the assignment row and the declared failure domains. With many siblings the heartbeat
 * interval grows, and the lease grows with it.
 */
export function leaseMillis(context: Context): number {
    const { heartbeatMillis, leaseMillis: minLeaseMillis } = context.settings.timing;
    const siblingCount = Math.max(0, (context.assignment.read()?.row.members.length ?? 1) - 1);
    const regions = Object.values(context.configuration.read()?.document.regions ?? {});
    const failureDomainCount = regions.reduce((sum, region) => sum + region.failureDomains.length, 0);
    const otherPeerCount = Math.max(0, failureDomainCount - 1) * peersPerOtherDomain;
    const siblingIntervalMillis = heartbeatIntervalMillis(heartbeatMillis, siblingCount, otherPeerCount, true);
    return Math.max(minLeaseMillis, heartbeatsPerLease * siblingIntervalMillis);
}
