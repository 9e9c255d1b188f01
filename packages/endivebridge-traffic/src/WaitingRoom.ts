import { makeSlidingCount, type SlidingCount } from "./SlidingCount";

/** Why a request was refused before any backend server saw it. */
export type RefusalReason = "no servers" | "overloaded" | "waited too long";

/** A request that may have to wait for a backend server. */
export interface Waiter {
    readonly service: string;
    /** Rank of its kind; 0 is the most urgent. */
    readonly priority: number;
    /** Sent off until then, its answer still comes within its objective. */
    readonly inTimeUntilMillis: number;
    /** Whether its caller was refused before and came back as told. */
    readonly isReturning: boolean;
    /** Sent off later, its answer no longer reaches its caller at all. */
    readonly giveUpAtMillis: number;
    /** Tries to send the request off; true when it left. */
    readonly tryPlace: (nowMillis: number) => boolean;
    /** Told once that the request will not be placed, and when to come back. */
    readonly refuse: (reason: RefusalReason, retryAfterMillis: number) => void;
}

/** Holds requests until a slot is free, the most urgent first. */
export interface WaitingRoom {
    /** Places the request, keeps it waiting, or refuses it at once when no slot can be free in time. */
    readonly enter: (waiter: Waiter, nowMillis: number) => void;
    /** Takes a request out that its caller gave up. */
    readonly leave: (waiter: Waiter) => void;
    /** Offers free slots to those who wait, and refuses those whose time has passed. */
    readonly serve: (service: string, nowMillis: number) => void;
    readonly serveAll: (nowMillis: number) => void;
    readonly waiting: (service: string) => number;
}

interface Line {
    readonly waiters: Waiter[];
    placed: SlidingCount;
    /** Since when somebody has waited; the rate of placements tells of the slots only while they are short. */
    busySinceMillis: number | undefined;
}

/** Over which the rate of placements is taken for the forecast. */
const rateWindowMillis = 2_000;
/** Before somebody has waited for so long nothing is known of how fast the line moves. */
const leastBusyMillis = 150;
/** Looked at on each free slot; bounds the time that a long line costs. */
const mostLooks = 64;
/** Shortest and longest time that a refused caller is asked to stay away. */
const leastRetryAfterMillis = 100;
const mostRetryAfterMillis = 2_000;

/**
 * Makes an empty room. The load it answers: more requests than slots, for seconds. Those who can still be answered in
 * time go before those who cannot, since a slot given to a late request makes one more late; among each, the more
 * urgent kind first, then who has least time. Who can no longer be reached in time by the line before it is refused at
 * once.
 */
export function makeWaitingRoom(): WaitingRoom {
    const lines = new Map<string, Line>();

    const lineOf = (service: string): Line => {
        let line = lines.get(service);
        if (line === undefined) {
            line = { waiters: [], placed: makeSlidingCount(rateWindowMillis), busySinceMillis: undefined };
            lines.set(service, line);
        }
        return line;
    };

    const isBefore = (left: Waiter, right: Waiter, nowMillis: number): boolean => {
        const leftIsLate = left.inTimeUntilMillis < nowMillis;
        const rightIsLate = right.inTimeUntilMillis < nowMillis;
        if (leftIsLate !== rightIsLate) {
            return rightIsLate;
        }
        if (left.priority !== right.priority) {
            return left.priority < right.priority;
        }
        // Among late ones, whoever was refused before and came back is not refused again for others.
        return left.isReturning !== right.isReturning && leftIsLate
            ? left.isReturning
            : left.inTimeUntilMillis < right.inTimeUntilMillis;
    };

    const forecast = (line: Line, ahead: number, nowMillis: number): number => {
        const busyMillis = Math.min(rateWindowMillis, nowMillis - (line.busySinceMillis ?? nowMillis));
        const placed = Math.max(1, line.placed.total(nowMillis));
        return busyMillis < leastBusyMillis ? 0 : (ahead + 1) * busyMillis / placed;
    };

    const noteLength = (line: Line, nowMillis: number) => {
        if (line.waiters.length === 0) {
            line.busySinceMillis = undefined;
        }
        else if (line.busySinceMillis === undefined) {
            line.busySinceMillis = nowMillis;
            line.placed = makeSlidingCount(rateWindowMillis);
        }
    };

    const retryAfter = (line: Line, nowMillis: number): number =>
        Math.max(
            leastRetryAfterMillis,
            Math.min(mostRetryAfterMillis, forecast(line, line.waiters.length, nowMillis))
        );

    const place = (line: Line, waiter: Waiter, nowMillis: number): boolean => {
        const left = waiter.tryPlace(nowMillis);
        if (left) {
            line.placed.add(nowMillis);
        }
        return left;
    };

    const remove = (line: Line, waiter: Waiter): boolean => {
        const index = line.waiters.indexOf(waiter);
        if (index >= 0) {
            line.waiters.splice(index, 1);
        }
        return index >= 0;
    };

    const serve = (service: string, nowMillis: number) => {
        const line = lines.get(service);
        if (line === undefined || line.waiters.length === 0) {
            return;
        }
        line.waiters.sort((left, right) => isBefore(left, right, nowMillis) ? -1 : 1);
        for (const waiter of line.waiters.slice(0, mostLooks)) {
            if (place(line, waiter, nowMillis)) {
                remove(line, waiter);
            }
        }
        // Those who became late stand behind all others now; the line before them may be too long.
        line.waiters.filter((waiter, index) =>
            waiter.giveUpAtMillis <= nowMillis
            || (waiter.inTimeUntilMillis < nowMillis
                && nowMillis + forecast(line, index, nowMillis) > waiter.giveUpAtMillis)
        ).forEach(waiter => {
            if (remove(line, waiter)) {
                waiter.refuse("waited too long", retryAfter(line, nowMillis));
            }
        });
        noteLength(line, nowMillis);
    };

    return {
        enter: (waiter, nowMillis) => {
            const line = lineOf(waiter.service);
            // Whoever waits was offered every slot that became free, so one that is free now is nobody else's.
            if (place(line, waiter, nowMillis)) {
                return;
            }
            const position = line.waiters.findIndex(other => isBefore(waiter, other, nowMillis));
            const ahead = position < 0 ? line.waiters.length : position;
            if (nowMillis + forecast(line, ahead, nowMillis) > waiter.giveUpAtMillis) {
                waiter.refuse("overloaded", retryAfter(line, nowMillis));
                return;
            }
            line.waiters.splice(ahead, 0, waiter);
            noteLength(line, nowMillis);
        },
        leave: waiter => {
            remove(lineOf(waiter.service), waiter);
        },
        serve,
        serveAll: nowMillis => {
            for (const service of lines.keys()) {
                serve(service, nowMillis);
            }
        },
        waiting: service => lines.get(service)?.waiters.length ?? 0
    };
}
