/** Bounds how fast the share of requests that are served in another region may change. */
export interface ShiftLimit {
    /** Counts one new request of the region; `wanted` says whether it would leave. Each earns its part of the share. */
    readonly countRequest: (wanted: boolean, nowMillis: number) => void;
    /** Takes leave for one request out of what was earned, or says that there is none. */
    readonly tryLeave: () => boolean;
    /** Share of requests that may leave at present. */
    readonly share: (nowMillis: number) => number;
}

/** Weight of the newest request in the wanted share: some tens of requests, a second's worth on a small instance. */
const wantedWeight = 0.03;

/** Requests that may leave at once after a pause. */
const mostCredit = 2;

/** Makes a limit; `sharePerSecond` is the steepest slope of the admitted share. */
export function makeShiftLimit(sharePerSecond: number): ShiftLimit {
    let share = 0;
    let wantedShare = 0;
    let credit = 0;
    let atMillis: number | undefined;

    const move = (nowMillis: number) => {
        const elapsedSeconds = atMillis === undefined ? 0 : Math.max(0, nowMillis - atMillis) / 1_000;
        atMillis = nowMillis;
        const step = sharePerSecond * Math.min(elapsedSeconds, 1);
        // The share keeps a step above what is wanted, so that a small spill need not wait for the slope.
        const target = Math.min(1, wantedShare * 1.2 + sharePerSecond);
        share += Math.max(-step, Math.min(step, target - share));
    };

    return {
        share: nowMillis => {
            move(nowMillis);
            return share;
        },
        countRequest: (wanted, nowMillis) => {
            wantedShare += wantedWeight * ((wanted ? 1 : 0) - wantedShare);
            move(nowMillis);
            // Bounded, so that no burst passes the share.
            credit = Math.min(mostCredit, credit + share);
        },
        tryLeave: () => {
            if (credit < 1) {
                return false;
            }
            credit -= 1;
            return true;
        }
    };
}
