import { makeServiceCounts } from "./SlidingCount";

/** Decides when an idempotent request is hedged because its answer takes too long. */
export interface Hedging {
    readonly countRequest: (service: string, nowMillis: number) => void;
    /** Delay after which a hedge is due, given the expected time of the first send. */
    readonly delayMillis: (expectedMillis: number) => number;
    /** Spends one hedge from the budget; false if too many were sent in the window. */
    readonly trySpend: (service: string, nowMillis: number) => boolean;
}

/** Ordinary requests finish within this multiple of their estimate; stragglers take several times as long. */
const hedgeDelayFactor = 2;
/** Maximum hedges as a share of requests. A higher share means slow or cold servers, which extra load does not help. */
const maxHedgeShare = 0.05;
const windowMillis = 10_000;

/**
 * Creates the hedging of one instance. It addresses a few requests that run many times longer than the rest on servers
 * with spare capacity. Under overload the servers' slots are taken, and no request is hedged.
 */
export function makeHedging(): Hedging {
    const requests = makeServiceCounts(windowMillis);
    const spent = makeServiceCounts(windowMillis);

    return {
        countRequest: (service, nowMillis) => requests(service).add(nowMillis),
        delayMillis: expectedMillis => expectedMillis * hedgeDelayFactor,
        trySpend: (service, nowMillis) => {
            const allowed = requests(service).total(nowMillis) * maxHedgeShare;
            const used = spent(service);
            if (used.total(nowMillis) + 1 > allowed) {
                return false;
            }
            used.add(nowMillis);
            return true;
        }
    };
}
