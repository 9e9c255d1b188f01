import { makeServiceCounts } from "./SlidingCount";

/** Decides when an idempotent request is sent once more because its answer takes too long. */
export interface Hedging {
    readonly countRequest: (service: string, nowMillis: number) => void;
    /** Time after a send that was expected to take so long at which a second one is due. */
    readonly delayMillis: (expectedMillis: number) => number;
    /** Takes leave for one second send; false where too many were made lately. */
    readonly trySpend: (service: string, nowMillis: number) => boolean;
}

/** Ordinary work stays below this multiple of its estimate; stragglers take several times as long. */
const hedgeDelayFactor = 2;
/** Second sends as a share of requests: more means that servers are slow or cold, which further work does not mend. */
const maxHedgeShare = 0.05;
const windowMillis = 10_000;

/**
 * Makes the hedging of one instance. The load it answers: a few requests that run many times longer than the rest on
 * servers with room to spare. Under overload the servers' slots are taken, and nothing is sent twice.
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
