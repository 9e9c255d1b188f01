/** Time of an event that orders causes before effects over all processes. */
export interface EventTime {
    readonly wallMillis: number;
    readonly counter: number;
}

/** Hybrid logical clock: close to the wall clock, yet never behind what a peer has told. */
export interface EventClock {
    readonly now: () => EventTime;
    /** Takes in a time that came with a message. */
    readonly observe: (time: EventTime) => void;
}

// A peer whose wall clock is far ahead must not drag the others along.
const maxClockAheadMillis = 60_000;

/** Compares two times; negative where the first is earlier. */
export function compareEventTimes(left: EventTime, right: EventTime): number {
    return left.wallMillis - right.wallMillis || left.counter - right.counter;
}

/** Makes a clock on top of a wall clock. */
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
