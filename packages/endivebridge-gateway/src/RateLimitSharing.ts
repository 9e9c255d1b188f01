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
/** Within this time after its start the others hear of an instance and reduce their shares. */
const announcementMillis = 2_700;

/** Shares of this instance in the rate limits of backend servers. */
export interface RateLimitShares {
    /** Requests per second that this instance may send to a server with the given limit. */
    readonly shareOf: (limit: RateLimit, server: BackendServer) => number;
    /** Number of instances in this instance's region, this one included. */
    readonly regionInstanceCount: () => number;
}

/**
 * Creates the shares of one instance. Members that may still run count, also while they are silent. The share is 0 while
 * the other instances are not known, or cannot know of this one yet. Each placement asks for shares, so they are cached
 * while the instances stay the same.
 */
export function makeRateLimitShares(own: MemberRecord, members: Members, startedMillis: number): RateLimitShares {
    let sharers: readonly MemberRecord[] = [];
    let regionInstanceCount = 1;
    let mayUseShares = false;
    let refreshedAtMillis = -Infinity;
    const shares = new Map<string, { readonly limit: RateLimit; readonly share: number; }>();

    const refreshSharers = (nowMillis: number) => {
        refreshedAtMillis = nowMillis;
        mayUseShares = nowMillis - startedMillis >= announcementMillis
            && knowsOtherInstances(members, startedMillis, nowMillis);
        const current = members.possiblyRunning(nowMillis);
        const isChanged = current.length !== sharers.length
            || current.some(({ name, region }, index) =>
                name !== sharers[index]!.name || region !== sharers[index]!.region
            );
        if (isChanged) {
            sharers = current;
            shares.clear();
            regionInstanceCount = 1 + sharers.filter(({ region }) => region === own.region).length;
        }
    };
    const refreshIfDue = () => {
        const nowMillis = monotonicMillis();
        if (nowMillis - refreshedAtMillis > refreshIntervalMillis) {
            refreshSharers(nowMillis);
        }
    };

    return {
        shareOf: (limit, server) => {
            refreshIfDue();
            if (!mayUseShares) {
                return 0;
            }
            const known = shares.get(server.id);
            if (known?.limit.requestsPerSecond === limit.requestsPerSecond && known.limit.turn === limit.turn) {
                return known.share;
            }
            const share = computeRateLimitShare(own, sharers, server, limit);
            shares.set(server.id, { limit, share });
            return share;
        },
        regionInstanceCount: () => {
            refreshIfDue();
            return regionInstanceCount;
        }
    };
}
