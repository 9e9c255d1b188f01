/** Token bucket for this instance's share of the request rate of one cold backend server. */
export interface ColdRateLimiter {
    readonly hasToken: (requestsPerSecond: number, nowMillis: number) => boolean;
    readonly consumeToken: () => void;
}

/** Creates an empty bucket with a capacity of one request, so that a restarted instance starts without tokens. */
export function makeColdRateLimiter(nowMillis: number): ColdRateLimiter {
    let tokens = 0;
    let atMillis = nowMillis;
    return {
        hasToken: (requestsPerSecond, now) => {
            tokens = Math.min(1, tokens + Math.max(0, now - atMillis) / 1_000 * requestsPerSecond);
            atMillis = now;
            return tokens >= 1;
        },
        consumeToken: () => {
            tokens -= 1;
        }
    };
}
