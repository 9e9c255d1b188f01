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

interface ServiceQueue {
    readonly waiters: Waiter[];
    placements: SlidingCount;
    /** Since when somebody has waited; the rate of placements tells of the slots only while they are short. */
    waitingSinceMillis: number | undefined;
}

/** Over which the rate of placements is taken for the forecast. */
const rateWindowMillis = 2_000;
/** Before somebody has waited for so long nothing is known of how fast the line moves. */
const minBusyMillis = 150;
/** Looked at on each free slot; bounds the time that a long line costs. */
const maxPlacementTriesPerPass = 64;
/** Shortest and longest time that a refused caller is asked to stay away. */
const minRetryAfterMillis = 100;
const maxRetryAfterMillis = 2_000;

/**
 * Makes an empty room. The load it answers: more requests than slots, for seconds. Those who can still be answered in
 * time go before those who cannot, since a slot given to a late request makes one more late; among each, the more
 * urgent kind first, then who has least time. Who can no longer be reached in time by the line before it is refused at
 * once.
 */
export function makeWaitingRoom(): WaitingRoom {
    const queues = new Map<string, ServiceQueue>();

    const queueOf = (service: string): ServiceQueue => {
        let line = queues.get(service);
        if (line === undefined) {
            line = { waiters: [], placements: makeSlidingCount(rateWindowMillis), waitingSinceMillis: undefined };
            queues.set(service, line);
        }
        return line;
    };

    const isBefore = (isPlaced: Waiter, right: Waiter, nowMillis: number): boolean => {
        const leftIsLate = isPlaced.inTimeUntilMillis < nowMillis;
        const rightIsLate = right.inTimeUntilMillis < nowMillis;
        if (leftIsLate !== rightIsLate) {
            return rightIsLate;
        }
        if (isPlaced.priority !== right.priority) {
            return isPlaced.priority < right.priority;
        }
        // Among late ones, whoever was refused before and came back is not refused again for others.
        return isPlaced.isReturning !== right.isReturning && leftIsLate
            ? isPlaced.isReturning
            : isPlaced.inTimeUntilMillis < right.inTimeUntilMillis;
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
        const left = waiter.tryPlace(nowMillis);
        if (left) {
            line.placements.add(nowMillis);
        }
        return left;
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
        // Those who became late stand behind all others now; the line before them may be too long.
        line.waiters.filter((waiter, index) =>
            waiter.giveUpAtMillis <= nowMillis
            || (waiter.inTimeUntilMillis < nowMillis
                && nowMillis + forecastWaitMillis(line, index, nowMillis) > waiter.giveUpAtMillis)
        ).forEach(waiter => {
            if (remove(line, waiter)) {
                waiter.refuse("waited too long", computeRetryAfterMillis(line, nowMillis));
            }
        });
        updateWaitingSince(line, nowMillis);
    };

    return {
        enter: (waiter, nowMillis) => {
            const line = queueOf(waiter.service);
            // Whoever waits was offered every slot that became free, so one that is free now is nobody else's.
            if (tryPlaceAndCount(line, waiter, nowMillis)) {
                return;
            }
            const position = line.waiters.findIndex(other => isBefore(waiter, other, nowMillis));
            const ahead = position < 0 ? line.waiters.length : position;
            if (nowMillis + forecastWaitMillis(line, ahead, nowMillis) > waiter.giveUpAtMillis) {
                waiter.refuse("overloaded", computeRetryAfterMillis(line, nowMillis));
                return;
            }
            line.waiters.splice(ahead, 0, waiter);
            updateWaitingSince(line, nowMillis);
        },
        leave: waiter => {
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
