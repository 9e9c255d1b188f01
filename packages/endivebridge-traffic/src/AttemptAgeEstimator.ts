/** Estimates the age of a request that its caller may have sent before. */
export interface AttemptAgeEstimator {
    /**
     * Estimated time since the caller's first attempt; 0 if this is probably the first. `patienceMillis` is the
     * remaining timeout that the caller sent, if any.
     */
    readonly sinceFirstMillis: (route: string, patienceMillis: number | undefined) => number;
}

/** Callers of a route use different timeouts; a first attempt has at least this share of the longest one seen. */
const minFirstAttemptShare = 0.8;
/** Average timeout of a first attempt, as a share of the longest one seen. */
const meanFirstAttemptShare = 0.9;

/**
 * Creates an estimator without routes. Callers of a route start with similar timeouts and send the remaining time with
 * each attempt, so clearly less than the longest timeout seen indicates a later attempt.
 */
export function makeAttemptAgeEstimator(): AttemptAgeEstimator {
    const maxTimeoutMillisByRoute = new Map<string, number>();
    return {
        sinceFirstMillis: (route, patienceMillis) => {
            if (patienceMillis === undefined) {
                return 0;
            }
            const maxTimeoutMillis = Math.max(maxTimeoutMillisByRoute.get(route) ?? 0, patienceMillis);
            maxTimeoutMillisByRoute.set(route, maxTimeoutMillis);
            return patienceMillis >= maxTimeoutMillis * minFirstAttemptShare
                ? 0
                : maxTimeoutMillis * meanFirstAttemptShare - patienceMillis;
        }
    };
}
