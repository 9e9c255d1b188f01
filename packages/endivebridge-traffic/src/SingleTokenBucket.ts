/** Token bucket with a capacity of one request, which spaces requests evenly. */
export interface SingleTokenBucket {
    readonly hasToken: (requestsPerSecond: number, nowMillis: number) => boolean;
    /** Time until the next token; 0 if there is one, infinite at a rate of 0 even if a token is left. */
    readonly waitMillis: (requestsPerSecond: number, nowMillis: number) => number;
    readonly consumeToken: () => void;
}

/** Creates an empty bucket, so that a restarted instance starts without tokens. */
export function makeSingleTokenBucket(nowMillis: number): SingleTokenBucket {
    let tokens = 0;
    let atMillis = nowMillis;
    const refill = (requestsPerSecond: number, now: number) => {
        tokens = Math.min(1, tokens + Math.max(0, now - atMillis) / 1_000 * requestsPerSecond);
        atMillis = now;
    };
    return {
        hasToken: (requestsPerSecond, now) => {
            refill(requestsPerSecond, now);
            return tokens >= 1;
        },
        waitMillis: (requestsPerSecond, now) => {
            refill(requestsPerSecond, now);
            if (requestsPerSecond === 0) {
                return Infinity;
            }
            return tokens >= 1 ? 0 : (1 - tokens) / requestsPerSecond * 1_000;
        },
        consumeToken: () => {
            tokens -= 1;
        }
    };
}
