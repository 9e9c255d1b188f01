import { makeSingleTokenBucket } from "./SingleTokenBucket";

/** What one answer of a backend server says about the server's rate limit. */
export interface RateLimitObservation {
    /** Requests per second that the server accepts from all instances together; undefined if it reports no limit. */
    readonly requestsPerSecond: number | undefined;
    /** When the server stated this; for an answer without a limit, when its request was sent. */
    readonly atMillis: number;
}

/** Rate limit of one backend server as last observed, and the tokens of this instance for sending to it. */
export interface ServerRateLimit {
    readonly requestsPerSecond: (nowMillis: number) => number | undefined;
    /** Records an answer to this instance or to a peer, unless a later one is known; true if the limit changed. */
    readonly record: (observation: RateLimitObservation, nowMillis: number) => boolean;
    /** Time until this instance may send the next request, given its share of the limit; 0 if it may send now. */
    readonly waitMillis: (ownRequestsPerSecond: number, nowMillis: number) => number;
    readonly consumeToken: () => void;
}

/** An observation expires after this time, as the end of a limit is seen only in an answer. */
export const rateLimitExpiryMillis = 30_000;

/** Creates the rate limit of a server that is known since the given time; observations from before are ignored. */
export function makeServerRateLimit(knownSinceMillis: number): ServerRateLimit {
    let latest: RateLimitObservation = { requestsPerSecond: undefined, atMillis: knownSinceMillis };
    let tokens = makeSingleTokenBucket(knownSinceMillis);

    const requestsPerSecond = (nowMillis: number): number | undefined =>
        nowMillis - latest.atMillis > rateLimitExpiryMillis ? undefined : latest.requestsPerSecond;

    return {
        requestsPerSecond,
        record: (observation, nowMillis) => {
            const isLater = observation.requestsPerSecond === undefined
                ? observation.atMillis > latest.atMillis
                : observation.atMillis >= latest.atMillis;
            if (!isLater) {
                return false;
            }
            const previous = requestsPerSecond(nowMillis);
            if (previous === undefined) {
                tokens = makeSingleTokenBucket(nowMillis);
            }
            latest = observation;
            return previous !== observation.requestsPerSecond;
        },
        waitMillis: (ownRequestsPerSecond, nowMillis) => tokens.waitMillis(ownRequestsPerSecond, nowMillis),
        consumeToken: () => tokens.consumeToken()
    };
}
