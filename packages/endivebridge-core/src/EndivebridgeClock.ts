/** Hybrid logical timestamp; a cause sorts before its effects, also across processes. */
export interface EventTime {
    readonly wallMillis: number;
    readonly counter: number;
}

/** Hybrid logical clock: close to the wall clock, but never behind an accepted timestamp of a peer. */
export interface EventClock {
    readonly now: () => EventTime;
    /** Advances the clock to a timestamp received with a message, unless it is more than 60 s ahead. */
    readonly observe: (time: EventTime) => void;
}

// Keeps a peer whose wall clock is far ahead from advancing the clocks of all others.
const maxClockAheadMillis = 60_000;

/** Compares two times; negative if the first is earlier. */
export function compareEventTimes(left: EventTime, right: EventTime): number {
    return left.wallMillis - right.wallMillis || left.counter - right.counter;
}

/** Creates a hybrid logical clock that reads the given wall clock. */
export function makeEventClock(wallNow: () => number): EventClock {
    let last: EventTime = { wallMillis: 0, counter: 0 };
    return {
        now: () => {
            const wallMillis = wallNow();
            last = wallMillis > last.wallMillis
                ? { wallMillis, counter: 0 }
                : { wallMillis: last.wallMillis, counter: last.counter + 1 };
            return last;
        },
        observe: time => {
            if (time.wallMillis <= wallNow() + maxClockAheadMillis && compareEventTimes(time, last) > 0) {
                last = time;
            }
        }
    };
}
