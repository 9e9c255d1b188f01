import { makeSlidingCount, type SlidingCount } from "./SlidingCount";

/** Why a request was refused before any backend server saw it. */
export type RefusalReason = "no servers" | "overloaded" | "waited too long";

/** A request that may have to wait for a backend server. */
export interface Waiter {
    readonly service: string;
    /** Rank of its kind; 0 is the most urgent. */
    readonly priority: number;
    /** Until when an answer is worth waiting for; later the request is refused. */
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
    readonly forecastMillis: (service: string, priority: number, nowMillis: number) => number;
}

interface Line {
    readonly waiters: Waiter[];
    readonly placed: SlidingCount;
}

/** Over which the rate of placements is taken for the forecast. */
const rateWindowMillis = 2_000;
/** Looked at on each free slot; those behind them have other servers to wait for only rarely. */
const mostLooks = 24;
/** Shortest and longest time that a refused caller is asked to stay away. */
const leastRetryAfterMillis = 100;
const mostRetryAfterMillis = 2_000;

/**
 * Makes an empty room. The load it answers: more requests than slots, for seconds. Order is by rank, then by who must
 * leave first; a request is refused at once when those before it will take all slots until it must leave.
 */
export function makeWaitingRoom(): WaitingRoom {
    const lines = new Map<string, Line>();

    const lineOf = (service: string): Line => {
        let line = lines.get(service);
        if (line === undefined) {
            line = { waiters: [], placed: makeSlidingCount(rateWindowMillis) };
            lines.set(service, line);
        }
        return line;
    };

    const isBefore = (left: Waiter, right: Waiter): boolean =>
        left.priority !== right.priority
            ? left.priority < right.priority
            : left.giveUpAtMillis < right.giveUpAtMillis;

    const forecast = (line: Line, ahead: number, nowMillis: number): number => {
        const perMillis = line.placed.total(nowMillis) / rateWindowMillis;
        return perMillis > 0 ? (ahead + 1) / perMillis : 0;
    };

    const retryAfter = (line: Line, ahead: number, nowMillis: number): number =>
        Math.max(leastRetryAfterMillis, Math.min(mostRetryAfterMillis, forecast(line, ahead, nowMillis)));

    const place = (line: Line, waiter: Waiter, nowMillis: number): boolean => {
        const left = waiter.tryPlace(nowMillis);
        if (left) {
            line.placed.add(nowMillis);
        }
        return left;
    };

    const refuseExpired = (line: Line, nowMillis: number) => {
        for (let index = line.waiters.length - 1; index >= 0; index -= 1) {
            const waiter = line.waiters[index]!;
            if (waiter.giveUpAtMillis <= nowMillis) {
                line.waiters.splice(index, 1);
                waiter.refuse("waited too long", retryAfter(line, index, nowMillis));
            }
        }
    };

    const serve = (service: string, nowMillis: number) => {
        const line = lines.get(service);
        if (line === undefined || line.waiters.length === 0) {
            return;
        }
        refuseExpired(line, nowMillis);
        for (const waiter of line.waiters.slice(0, mostLooks)) {
            if (place(line, waiter, nowMillis)) {
                line.waiters.splice(line.waiters.indexOf(waiter), 1);
            }
        }
    };

    return {
        enter: (waiter, nowMillis) => {
            const line = lineOf(waiter.service);
            const position = line.waiters.findIndex(other => isBefore(waiter, other));
            const ahead = position < 0 ? line.waiters.length : position;
            // Who waits already goes first where it is as urgent.
            if (ahead === 0 && place(line, waiter, nowMillis)) {
                return;
            }
            const waitMillis = forecast(line, ahead, nowMillis);
            if (nowMillis + waitMillis > waiter.giveUpAtMillis) {
                waiter.refuse("overloaded", retryAfter(line, ahead, nowMillis));
                return;
            }
            line.waiters.splice(ahead, 0, waiter);
        },
        leave: waiter => {
            const line = lineOf(waiter.service);
            const index = line.waiters.indexOf(waiter);
            if (index >= 0) {
                line.waiters.splice(index, 1);
            }
        },
        serve,
        serveAll: nowMillis => {
            for (const service of lines.keys()) {
                serve(service, nowMillis);
            }
        },
        waiting: service => lines.get(service)?.waiters.length ?? 0,
        forecastMillis: (service, priority, nowMillis) => {
            const line = lineOf(service);
            const ahead = line.waiters.filter(waiter => waiter.priority <= priority).length;
            return forecast(line, ahead, nowMillis);
        }
    };
}
