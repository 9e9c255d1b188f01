/** What one answer of a backend server, or a peer's report of one, says about the server's rate limit. */
export interface RateLimitObservation {
    /** Requests per second that the server accepts from all instances together; undefined if it reports no limit. */
    readonly requestsPerSecond: number | undefined;
    /** When the server stated this; for an answer without a limit, when its request was sent. */
    readonly atMillis: number;
}

/** Rate limit of one backend server, from the latest observation. */
export interface ReportedRateLimit {
    readonly requestsPerSecond: (nowMillis: number) => number | undefined;
    /** Latest observation; undefined before the first and once it has expired. */
    readonly latest: (nowMillis: number) => RateLimitObservation | undefined;
    /** Records an observation unless a later one is known; true if the limit changed. */
    readonly record: (observation: RateLimitObservation, nowMillis: number) => boolean;
}

/** An observation expires after this time, as the end of a limit is seen only in an answer. */
const maxObservationAgeMillis = 30_000;

/** Creates the rate limit of a server that is known since the given time; observations from before are ignored. */
export function makeReportedRateLimit(knownSinceMillis: number): ReportedRateLimit {
    let observation: RateLimitObservation = { requestsPerSecond: undefined, atMillis: knownSinceMillis };

    const latest = (nowMillis: number): RateLimitObservation | undefined =>
        nowMillis - observation.atMillis > maxObservationAgeMillis ? undefined : observation;

    return {
        requestsPerSecond: nowMillis => latest(nowMillis)?.requestsPerSecond,
        latest,
        record: (newer, nowMillis) => {
            const isLater = newer.requestsPerSecond === undefined
                ? newer.atMillis > observation.atMillis
                : newer.atMillis >= observation.atMillis;
            if (!isLater) {
                return false;
            }
            const previous = latest(nowMillis)?.requestsPerSecond;
            observation = newer;
            return previous !== newer.requestsPerSecond;
        }
    };
}
