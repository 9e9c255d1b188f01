/** Exact sliding-window count of the events of the last 1,030 ms. */
export interface SecondWindow {
    /** Counts one event unless a one-second window would then hold more than `maxCount`; false if it would. */
    readonly tryAdd: (nowMillis: number, maxCount: number) => boolean;
    readonly count: (nowMillis: number) => number;
}

// Longer than one second, so that a request admitted late in one window does not arrive within the next one.
const windowMillis = 1_030;

/** Creates a window without events. */
export function makeSecondWindow(): SecondWindow {
    let times: number[] = [];
    const count = (nowMillis: number) => {
        const firstInside = times.findIndex(time => time > nowMillis - windowMillis);
        times = firstInside < 0 ? [] : times.slice(firstInside);
        return times.length;
    };
    return {
        count,
        tryAdd: (nowMillis, maxCount) => {
            if (count(nowMillis) + 1 > maxCount) {
                return false;
            }
            times.push(nowMillis);
            return true;
        }
    };
}

/** Queue length, capacity and service time from which the wait of a new request is predicted. */
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

/** Whether a request's expected wait fits the queue limit, and its wait and service time fit its deadline. */
export function canQueue(load: QueueLoad, queueWaitMillis: number, remainingMillis: number): boolean {
    const expected = expectedWaitMillis(load);
    return expected <= queueWaitMillis && expected + load.serviceMillis <= remainingMillis;
}

/** Budget for retries or hedges as a share of requests; unspent tokens are kept as a small reserve for bursts. */
export interface ShareBudget {
    readonly addRequest: () => void;
    readonly trySpend: () => boolean;
}

const maxBalance = 10;

/** Creates a budget to which each request adds `share`; it starts with one token. */
export function makeShareBudget(share: () => number): ShareBudget {
    let balance = 1;
    return {
        addRequest: () => {
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

/** Token bucket that limits speculative calls; a successful call gets its token back. */
export interface RefundableTokenBucket {
    readonly trySpend: (nowMillis: number) => boolean;
    readonly refund: () => void;
}

/** Creates a full bucket that refills at `perSecond` tokens per second, up to `capacity`. */
export function makeRefundableTokenBucket(perSecond: number, capacity: number): RefundableTokenBucket {
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
