import { makeSingleTokenBucket } from "./SingleTokenBucket";

/** What one answer of a backend server says about the server's rate limit. */
export interface RateLimitObservation {
    /** Requests per second that the server accepts from all instances together; undefined if it reports no limit. */
    readonly requestsPerSecond: number | undefined;
    /** When the server stated this; for an answer without a limit, when its request was sent. */
    readonly atMillis: number;
}

/** Rate limit in force. */
export interface RateLimit {
    /** Requests per second that the server accepts from all instances together. */
    readonly requestsPerSecond: number;
    /** Counts the intervals without an answer of the server; the shares of the limit are dealt anew in each. */
    readonly turn: number;
}

/** Rate limit of one backend server as last observed, and the tokens of this instance for sending to it. */
export interface ServerRateLimit {
    /** Undefined while the server has no limit. */
    readonly current: (nowMillis: number) => RateLimit | undefined;
    /** Records an answer to this instance or to a peer, unless a later one is known; true if the limit changed. */
    readonly record: (observation: RateLimitObservation, nowMillis: number) => boolean;
    /** Time until this instance may send the next request, given its share of the limit; 0 if it may send now. */
    readonly waitMillis: (ownRequestsPerSecond: number, nowMillis: number) => number;
    readonly consumeToken: () => void;
}

/** Without an answer for this long, the instances that have a share may have no requests for the server. */
const turnMillis = 30_000;

/** Creates the rate limit of a server that is known since the given time; observations from before are ignored. */
export function makeServerRateLimit(knownSinceMillis: number): ServerRateLimit {
    let latest: RateLimitObservation = { requestsPerSecond: undefined, atMillis: knownSinceMillis };
    let tokens = makeSingleTokenBucket(knownSinceMillis);

    return {
        current: nowMillis => {
            const { requestsPerSecond, atMillis } = latest;
            return requestsPerSecond === undefined
                ? undefined
                : { requestsPerSecond, turn: Math.floor(Math.max(0, nowMillis - atMillis) / turnMillis) };
        },
        record: (observation, nowMillis) => {
            const isLater = observation.requestsPerSecond === undefined
                ? observation.atMillis > latest.atMillis
                : observation.atMillis >= latest.atMillis;
            if (!isLater) {
                return false;
            }
            const previous = latest.requestsPerSecond;
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
