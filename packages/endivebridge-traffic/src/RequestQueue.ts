import { makeSlidingCount, type SlidingCount } from "./SlidingCount";

/** Reason for refusing a request before it was sent to any backend server. */
export type RefusalReason = "no servers" | "overloaded" | "rate limited" | "waited too long";

/** A request that may have to wait for a backend server. */
export interface Waiter {
    readonly service: string;
    /** Priority of the request; 0 is the most urgent. */
    readonly priority: number;
    /** Latest time to send the request so that its answer still meets its objective. */
    readonly latestOnTimeSendMillis: number;
    /** Whether the caller was refused before and retried after the requested delay. */
    readonly isRetryAfterRefusal: boolean;
    /** Latest time to send the request so that its answer still reaches the caller; a shutdown may bring it forward. */
    readonly latestSendMillis: number;
    /** Tries to send the request to a backend server; true if it was sent. */
    readonly tryPlace: (nowMillis: number) => boolean;
    /** Whether rate limits would let a server accept the request in time, as of the last try to place it. */
    readonly isWithinRateLimits: () => boolean;
    /** Called once if the request is refused, with the delay before a retry. */
    readonly refuse: (reason: RefusalReason, retryAfterMillis: number) => void;
}

/** Priority queue of requests that wait for a free slot. */
export interface RequestQueue {
    /** Places the request, queues it, or refuses it at once if no slot is expected to be free in time. */
    readonly submit: (waiter: Waiter, nowMillis: number) => void;
    /** Removes a request that its caller abandoned. */
    readonly removeAbandoned: (waiter: Waiter) => void;
    /** Offers free slots to queued requests and refuses those that can no longer be answered in time. */
    readonly serve: (service: string, nowMillis: number) => void;
    readonly serveAll: (nowMillis: number) => void;
    readonly waiting: (service: string) => number;
}

interface ServiceQueue {
    readonly waiters: Waiter[];
    placements: SlidingCount;
    /** Time since which the queue is not empty; only then does the placement rate reflect the slots' throughput. */
    waitingSinceMillis: number | undefined;
}

/** Window over which the placement rate for the wait forecast is measured. */
const rateWindowMillis = 2_000;
/** Time for which the queue must be non-empty before its throughput can be estimated. */
const minBusyMillis = 150;
/** Maximum placement attempts per pass; bounds the CPU time that a long queue costs. */
const maxPlacementTriesPerPass = 64;
/** Number of queued requests, the most urgent ones, that are offered a server before a new request is. */
const maxTriesBeforeNewRequest = 4;
/** Shortest and longest delay that a refused caller is asked to wait before a retry. */
const minRetryAfterMillis = 100;
const maxRetryAfterMillis = 2_000;

/**
 * Creates an empty queue for short overloads, with more requests than slots for seconds. Requests that can still meet
 * their objective go before late ones, since a slot given to a late request makes another one late; within each group
 * by priority, then by least remaining time. A request that the queue ahead would delay beyond its deadline is refused
 * at once.
 */
export function makeRequestQueue(): RequestQueue {
    const queues = new Map<string, ServiceQueue>();

    const queueOf = (service: string): ServiceQueue => {
        let line = queues.get(service);
        if (line === undefined) {
            line = { waiters: [], placements: makeSlidingCount(rateWindowMillis), waitingSinceMillis: undefined };
            queues.set(service, line);
        }
        return line;
    };

    const isBefore = (left: Waiter, right: Waiter, nowMillis: number): boolean => {
        const leftIsLate = left.latestOnTimeSendMillis < nowMillis;
        const rightIsLate = right.latestOnTimeSendMillis < nowMillis;
        if (leftIsLate !== rightIsLate) {
            return rightIsLate;
        }
        if (left.priority !== right.priority) {
            return left.priority < right.priority;
        }
        // Among late requests, one that was refused before goes first, so that it is not refused again for others.
        return left.isRetryAfterRefusal !== right.isRetryAfterRefusal && leftIsLate
            ? left.isRetryAfterRefusal
            : left.latestOnTimeSendMillis < right.latestOnTimeSendMillis;
    };

    const forecastWaitMillis = (line: ServiceQueue, ahead: number, nowMillis: number): number => {
        const busyMillis = Math.min(rateWindowMillis, nowMillis - (line.waitingSinceMillis ?? nowMillis));
        const placementCount = Math.max(1, line.placements.total(nowMillis));
        return busyMillis < minBusyMillis ? 0 : (ahead + 1) * busyMillis / placementCount;
    };

    const updateWaitingSince = (line: ServiceQueue, nowMillis: number) => {
        if (line.waiters.length === 0) {
            line.waitingSinceMillis = undefined;
        }
        else if (line.waitingSinceMillis === undefined) {
            line.waitingSinceMillis = nowMillis;
            line.placements = makeSlidingCount(rateWindowMillis);
        }
    };

    const computeRetryAfterMillis = (line: ServiceQueue, nowMillis: number): number =>
        Math.max(
            minRetryAfterMillis,
            Math.min(maxRetryAfterMillis, forecastWaitMillis(line, line.waiters.length, nowMillis))
        );

    const tryPlaceAndCount = (line: ServiceQueue, waiter: Waiter, nowMillis: number): boolean => {
        const isPlaced = waiter.tryPlace(nowMillis);
        if (isPlaced) {
            line.placements.add(nowMillis);
        }
        return isPlaced;
    };

    const remove = (line: ServiceQueue, waiter: Waiter): boolean => {
        const index = line.waiters.indexOf(waiter);
        if (index >= 0) {
            line.waiters.splice(index, 1);
        }
        return index >= 0;
    };

    const serve = (service: string, nowMillis: number) => {
        const line = queues.get(service);
        if (line === undefined || line.waiters.length === 0) {
            return;
        }
        line.waiters.sort((left, right) => isBefore(left, right, nowMillis) ? -1 : 1);
        for (const waiter of line.waiters.slice(0, maxPlacementTriesPerPass)) {
            if (tryPlaceAndCount(line, waiter, nowMillis)) {
                remove(line, waiter);
            }
        }
        // Requests that became late are now last; the queue ahead of them may be too long.
        line.waiters.filter((waiter, index) =>
            waiter.latestSendMillis <= nowMillis || !waiter.isWithinRateLimits()
            || (waiter.latestOnTimeSendMillis < nowMillis
                && nowMillis + forecastWaitMillis(line, index, nowMillis) > waiter.latestSendMillis)
        ).forEach(waiter => {
            if (remove(line, waiter)) {
                const reason = waiter.isWithinRateLimits() ? "waited too long" : "rate limited";
                waiter.refuse(reason, computeRetryAfterMillis(line, nowMillis));
            }
        });
        updateWaitingSince(line, nowMillis);
    };

    return {
        submit: (waiter, nowMillis) => {
            const line = queueOf(waiter.service);
            // Queued requests were offered every slot that became free, but not a token that has become available since.
            line.waiters.slice(0, maxTriesBeforeNewRequest)
                .filter(first => tryPlaceAndCount(line, first, nowMillis))
                .forEach(first => remove(line, first));
            updateWaitingSince(line, nowMillis);
            if (tryPlaceAndCount(line, waiter, nowMillis)) {
                return;
            }
            if (!waiter.isWithinRateLimits()) {
                waiter.refuse("rate limited", computeRetryAfterMillis(line, nowMillis));
                return;
            }
            const position = line.waiters.findIndex(other => isBefore(waiter, other, nowMillis));
            const ahead = position < 0 ? line.waiters.length : position;
            if (nowMillis + forecastWaitMillis(line, ahead, nowMillis) > waiter.latestSendMillis) {
                waiter.refuse("overloaded", computeRetryAfterMillis(line, nowMillis));
                return;
            }
            line.waiters.splice(ahead, 0, waiter);
            updateWaitingSince(line, nowMillis);
        },
        removeAbandoned: waiter => {
            remove(queueOf(waiter.service), waiter);
        },
        serve,
        serveAll: nowMillis => {
            for (const service of queues.keys()) {
                serve(service, nowMillis);
            }
        },
        waiting: service => queues.get(service)?.waiters.length ?? 0
    };
}
