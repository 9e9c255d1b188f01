const newestSampleWeight = 0.15;

/** Exponentially weighted average of one backend server's service time. */
export interface ServerLatency {
    /** Estimate in milliseconds; undefined before the first sample. */
    estimateMillis: number | undefined;
    samples: number;
    lastSampleAtMillis: number;
}

/** Creates an estimate without samples. */
export function makeServerLatency(): ServerLatency {
    return { estimateMillis: undefined, samples: 0, lastSampleAtMillis: 0 };
}

/** Adds one measured service time to the average. */
export function recordLatency(latency: ServerLatency, millis: number, nowMillis: number): void {
    const previousMillis = latency.estimateMillis ?? millis;
    latency.estimateMillis = previousMillis + newestSampleWeight * (millis - previousMillis);
    latency.samples += 1;
    latency.lastSampleAtMillis = nowMillis;
}

/** Median of the servers' estimates in milliseconds; undefined if none has samples. */
export function medianLatencyMillis(latencies: readonly ServerLatency[]): number | undefined {
    const estimates = latencies
        .map(latency => latency.estimateMillis)
        .filter(millis => millis !== undefined)
        .sort((left, right) => left - right);
    return estimates[Math.floor((estimates.length - 1) / 2)];
}
