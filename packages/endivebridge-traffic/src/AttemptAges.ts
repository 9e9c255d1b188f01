/** Tells how old a request is that its caller sends again. */
export interface AttemptAges {
    /** Time since the caller's first attempt; 0 where this looks like the first. */
    readonly sinceFirstMillis: (route: string, patienceMillis: number | undefined) => number;
}

/** Callers of a route differ in patience; a first attempt has at least this share of the most that was seen. */
const minFirstAttemptShare = 0.8;
/** What a first attempt has on average, as a share of the most that was seen. */
const meanFirstAttemptShare = 0.9;

/**
 * Makes ages that know no route yet. Callers of a route have similar patience at first and say what is left of it with
 * each attempt, so clearly less than the most that was seen means a later attempt.
 */
export function makeAttemptAges(): AttemptAges {
    const maxPatienceMillisByRoute = new Map<string, number>();
    return {
        sinceFirstMillis: (route, patienceMillis) => {
            if (patienceMillis === undefined) {
                return 0;
            }
            const maxPatienceMillis = Math.max(maxPatienceMillisByRoute.get(route) ?? 0, patienceMillis);
            maxPatienceMillisByRoute.set(route, maxPatienceMillis);
            return patienceMillis >= maxPatienceMillis * minFirstAttemptShare
                ? 0
                : maxPatienceMillis * meanFirstAttemptShare - patienceMillis;
        }
    };
}
