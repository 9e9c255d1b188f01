/** Counts events over a sliding window. */
export interface SlidingCount {
    readonly add: (nowMillis: number, count?: number) => void;
    readonly total: (nowMillis: number) => number;
}

const bucketCount = 20;

/** Creates a count with 20 steps per window; events expire at most one step late, never early. */
export function makeSlidingCount(windowMillis: number): SlidingCount {
    const stepMillis = windowMillis / bucketCount;
    const counts = new Float64Array(bucketCount + 1);
    let newestStep = 0;
    let sum = 0;

    const advance = (nowMillis: number) => {
        const step = Math.floor(nowMillis / stepMillis);
        if (step - newestStep > bucketCount) {
            counts.fill(0);
            sum = 0;
            newestStep = step;
        }
        while (newestStep < step) {
            newestStep += 1;
            const index = newestStep % (bucketCount + 1);
            sum -= counts[index]!;
            counts[index] = 0;
        }
    };

    return {
        add: (nowMillis, count = 1) => {
            advance(nowMillis);
            counts[newestStep % (bucketCount + 1)]! += count;
            sum += count;
        },
        total: nowMillis => {
            advance(nowMillis);
            return sum;
        }
    };
}

/** Returns the sliding count of a service; it is empty on first use. */
export type ServiceCounts = (service: string) => SlidingCount;

/** Creates one sliding count per service on first use, all with the same window. */
export function makeServiceCounts(windowMillis: number): ServiceCounts {
    const counts = new Map<string, SlidingCount>();
    return service => {
        let count = counts.get(service);
        if (count === undefined) {
            count = makeSlidingCount(windowMillis);
            counts.set(service, count);
        }
        return count;
    };
}
