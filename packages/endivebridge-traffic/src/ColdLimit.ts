/** This instance's part of the rate that one cold backend server takes. */
export interface ColdLimit {
    readonly hasToken: (requestsPerSecond: number, nowMillis: number) => boolean;
    readonly take: () => void;
}

/** Makes an empty bucket of one request: a restarted instance starts without credit. */
export function makeColdLimit(nowMillis: number): ColdLimit {
    let tokens = 0;
    let atMillis = nowMillis;
    return {
        hasToken: (requestsPerSecond, now) => {
            tokens = Math.min(1, tokens + Math.max(0, now - atMillis) / 1_000 * requestsPerSecond);
            atMillis = now;
            return tokens >= 1;
        },
        take: () => {
            tokens -= 1;
        }
    };
}
