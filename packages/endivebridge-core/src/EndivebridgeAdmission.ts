/** Counts what happened in the last second and a little more, exactly. */
export interface SecondWindow {
    /** Counts one more if that keeps every one-second window within `most`. */
    readonly tryAdd: (nowMillis: number, maxCount: number) => boolean;
    readonly count: (nowMillis: number) => number;
}

// Longer than a second: a request begun late in its own window must not fall into the next one on the way.
const windowMillis = 1_030;

/** Makes an empty window. */
export function makeSecondWindow(): SecondWindow {
    let times: number[] = [];
    const count = (nowMillis: number) => {
        const firstInside = times.findIndex(time => time > nowMillis - windowMillis);
        times = firstInside < 0 ? [] : times.slice(firstInside);
        return times.length;
    };
    return {
        count,
        tryAdd: (nowMillis, most) => {
            if (count(nowMillis) + 1 > most) {
                return false;
            }
            times.push(nowMillis);
            return true;
        }
    };
}

/** Load as admission sees it. */
export interface QueueLoad {
    readonly waiting: number;
    readonly usableSlots: number;
    readonly serviceMillis: number;
}

/** Expected wait in milliseconds of a request that joins the queue now. */
export function expectedWaitMillis(load: QueueLoad): number {
    if (load.usableSlots === 0) {
        return Number.POSITIVE_INFINITY;
    }
    return ((load.waiting + 1) * load.serviceMillis) / load.usableSlots;
}

/** Decides whether a request may wait for a slot. */
export function mayWait(load: QueueLoad, queueWaitMillis: number, remainingMillis: number): boolean {
    const expected = expectedWaitMillis(load);
    return expected <= queueWaitMillis && expected + load.serviceMillis <= remainingMillis;
}

/** Spends a share of requests on retries or hedges, with a small reserve for bursts. */
export interface ShareBudget {
    readonly earn: () => void;
    readonly trySpend: () => boolean;
}

const maxBalance = 10;

/** Makes a budget of `share` for each request earned. */
export function makeShareBudget(share: () => number): ShareBudget {
    let balance = 1;
    return {
        earn: () => {
            balance = Math.min(maxBalance, balance + share());
        },
        trySpend: () => {
            if (balance < 1) {
                return false;
            }
            balance -= 1;
            return true;
        }
    };
}

/** Bounds calls that may be in vain; one that was worth it costs nothing. */
export interface TryBudget {
    readonly trySpend: (nowMillis: number) => boolean;
    readonly refund: () => void;
}

/** Creates a full bucket that refills at `perSecond` tokens per second, up to `capacity`. */
export function makeTryBudget(perSecond: number, capacity: number): TryBudget {
    let balance = capacity;
    let refilledAtMillis = 0;
    return {
        trySpend: nowMillis => {
            balance = Math.min(capacity, balance + ((nowMillis - refilledAtMillis) * perSecond) / 1_000);
            refilledAtMillis = nowMillis;
            if (balance < 1) {
                return false;
            }
            balance -= 1;
            return true;
        },
        refund: () => {
            balance = Math.min(capacity, balance + 1);
        }
    };
}
