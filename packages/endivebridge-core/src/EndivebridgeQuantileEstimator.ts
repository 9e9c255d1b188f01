import { build, type Histogram } from "hdr-histogram-js";

/** Estimates quantiles of recent values from a histogram. */
export interface QuantileEstimator {
    readonly record: (millis: number, nowMillis: number) => void;
    /** Value in milliseconds at a quantile in [0, 1]; undefined before 50 values were recorded. */
    readonly at: (quantile: number) => number | undefined;
}

const windowMillis = 10_000;
const minValues = 50;
const microsPerMilli = 1_000;

function makeHistogram(): Histogram {
    return build({ lowestDiscernibleValue: 1, highestTrackableValue: 600_000_000, numberOfSignificantValueDigits: 2 });
}

/** Creates an estimator that covers the last one to two windows of 10 s. */
export function makeQuantileEstimator(): QuantileEstimator {
    let current = makeHistogram();
    let previous = makeHistogram();
    let startedAtMillis = 0;
    return {
        record: (millis, nowMillis) => {
            if (nowMillis - startedAtMillis > windowMillis) {
                startedAtMillis = nowMillis;
                const recycled = previous;
                previous = current;
                current = recycled;
                current.reset();
            }
            current.recordValue(Math.max(1, Math.round(millis * microsPerMilli)));
        },
        at: quantile => {
            const source = current.totalCount >= minValues ? current : previous;
            return source.totalCount < minValues
                ? undefined
                : source.getValueAtPercentile(quantile * 100) / microsPerMilli;
        }
    };
}
