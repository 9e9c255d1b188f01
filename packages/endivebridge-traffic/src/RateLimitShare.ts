import { hashText, mixHashes } from "./Hash";
import type { RateLimit } from "./ServerRateLimit";

/** An instance that shares the rate limits of backend servers with all others. */
export interface RateLimitSharer {
    readonly name: string;
    readonly region: string;
}

/**
 * Limits are divided into units of one request in this time, so that an instance with a small share sends rarely rather
 * than all instances with small shares at once.
 */
const unitSeconds = 5;
/** Part of a limit for instances of other regions, which send few requests to the server. */
const otherRegionsPart = 0.2;
/** Rate at which a server with a limit near 0 is still used, since only its answers show the end of the limit. */
const minRequestsPerSecond = 0.05;

/**
 * Computes the requests per second that one instance may send to a server with a rate limit. The shares of all
 * instances add up to the limit if they know the same instances. Units that do not divide evenly go to the instances
 * that rank first for the server and the turn in rendezvous order; with more instances than units, the others get no share.
 */
export function computeRateLimitShare(
    own: RateLimitSharer,
    others: readonly RateLimitSharer[],
    server: { readonly id: string; readonly region: string; },
    { requestsPerSecond, turn }: RateLimit
): number {
    const limit = Math.max(minRequestsPerSecond, requestsPerSecond);
    const unitCount = Math.max(1, Math.floor(limit * unitSeconds));
    const isLocal = own.region === server.region;
    const group = others.filter(({ region }) => (region === server.region) === isLocal);
    const groupUnitCount = countGroupUnits(unitCount, isLocal, others.length > group.length);
    const evenCount = Math.floor(groupUnitCount / (group.length + 1));
    const remainder = groupUnitCount % (group.length + 1);
    const serverHash = mixHashes(hashText(server.id), turn);
    const ownWeight = mixHashes(hashText(own.name), serverHash);
    const rank = group.filter(({ name }) => {
        const weight = mixHashes(hashText(name), serverHash);
        return weight > ownWeight || (weight === ownWeight && name < own.name);
    }).length;
    return (evenCount + (rank < remainder ? 1 : 0)) * limit / unitCount;
}

/** Divides the units between the server's region and the other regions. */
function countGroupUnits(unitCount: number, isLocal: boolean, hasOtherGroup: boolean): number {
    if (!hasOtherGroup) {
        return unitCount;
    }
    const otherRegionsCount = Math.floor(unitCount * otherRegionsPart);
    return isLocal ? unitCount - otherRegionsCount : otherRegionsCount;
}
