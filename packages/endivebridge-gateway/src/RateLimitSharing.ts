import { monotonicMillis } from "@endivebridge/shared";
import {
    type BackendServer,
    computeRateLimitShare,
    type MemberRecord,
    type Members,
    type RateLimit
} from "@endivebridge/traffic";
import { knowsOtherInstances } from "./InstanceCount";

/** Interval at which the list of instances that share the limits is determined anew. */
const refreshIntervalMillis = 500;

/** Shares of this instance in the rate limits of backend servers. */
export type RateLimitShares = (limit: RateLimit, server: BackendServer) => number;

/**
 * Creates the function that computes this instance's share of a server's rate limit. Members that may still run count,
 * also while they are silent. The share is 0 while the other instances are not known. Each placement calls the function,
 * so shares are cached while the instances stay the same.
 */
export function makeRateLimitShares(own: MemberRecord, members: Members, startedMillis: number): RateLimitShares {
    let sharers: readonly MemberRecord[] = [];
    let knowsOthers = false;
    let refreshedAtMillis = -Infinity;
    const shares = new Map<string, { readonly limit: RateLimit; readonly share: number; }>();

    const refreshSharers = (nowMillis: number) => {
        refreshedAtMillis = nowMillis;
        knowsOthers = knowsOtherInstances(members, startedMillis, nowMillis);
        const current = members.possiblyRunning(nowMillis);
        if (current.length !== sharers.length || current.some((record, index) => record !== sharers[index])) {
            sharers = current;
            shares.clear();
        }
    };

    return (limit, server) => {
        const nowMillis = monotonicMillis();
        if (nowMillis - refreshedAtMillis > refreshIntervalMillis) {
            refreshSharers(nowMillis);
        }
        if (!knowsOthers) {
            return 0;
        }
        const known = shares.get(server.id);
        if (known?.limit.requestsPerSecond === limit.requestsPerSecond && known.limit.turn === limit.turn) {
            return known.share;
        }
        const share = computeRateLimitShare(own, sharers, server, limit);
        shares.set(server.id, { limit, share });
        return share;
    };
}
