import type { DecisionStep } from "./EndivebridgeDecision";
import { makeServerHealth, rampedSlots, recordProbeSent, type ServerHealth } from "./EndivebridgeHealth";
import { makeServerLatency, type ServerLatency } from "./EndivebridgeLatency";
import type { ServerPicker } from "./EndivebridgeSteering";

/** Backend server with slots owned by this instance, and its load and health. */
export interface OwnedServer {
    readonly server: string;
    readonly address: string;
    readonly latency: ServerLatency;
    /** Slots that this instance may fill now. */
    usableSlots: number;
    /** Requests of this instance that hold a slot of the server. */
    inFlight: number;
    readonly health: ServerHealth;
    /** Monotonic time until which the server is skipped after it refused a request or was unreachable. */
    unreachableUntilMillis: number;
    leaving: boolean;
}

/** Desired state of a server's entry in the pool. */
export interface OwnedSlots {
    readonly server: string;
    readonly address: string;
    readonly usableSlots: number;
    readonly leaving: boolean;
}

/** Slot held by a request; repeated releases have no effect. */
export interface HeldSlot {
    readonly owned: OwnedServer;
    readonly release: () => void;
}

/** Result of waiting for a slot. */
export type WaitOutcome =
    | { readonly kind: "slot"; readonly slot: HeldSlot; }
    | { readonly kind: "elsewhere"; }
    | { readonly kind: "closed"; };

interface Waiter {
    readonly arrivedAtMillis: number;
    readonly excluded: ReadonlySet<string>;
    readonly resume: (outcome: WaitOutcome) => void;
}

/** Slots that a request may use in addition to free slots of healthy servers. */
export interface SlotChoice {
    readonly mayProbe: boolean;
    readonly lastResort: boolean;
}

/** Slots of one service that this instance owns, with the queue of requests waiting for them. */
export interface SlotPool {
    readonly tryAcquire: (excluded: ReadonlySet<string>, choice?: SlotChoice) => HeldSlot | undefined;
    /** Queues a waiter by arrival time; the returned function removes it. */
    readonly wait: (
        excluded: ReadonlySet<string>,
        arrivedAtMillis: number,
        resume: (outcome: WaitOutcome) => void
    ) => () => void;
    readonly assign: (slots: readonly OwnedSlots[]) => void;
    /** Ends the wait of up to `count` waiters, oldest first, so that they try slots of peers. */
    readonly redirectWaiters: (count: number) => void;
    /** Gives slots that became usable to waiters. */
    readonly resumeWaiters: () => void;
    readonly close: () => void;
    readonly servers: () => readonly OwnedServer[];
    readonly freeSlots: () => number;
    readonly usableSlots: () => number;
    /** Slots of servers that are set aside as slow. */
    readonly setAsideSlots: () => number;
    readonly waiting: () => number;
}

/** Server selection, dispatch permission, clock and recorder of a pool. */
export interface SlotPoolOptions {
    readonly pickServer: ServerPicker;
    /** False while this instance may not use its slots, for example after its lease lapsed. */
    readonly mayDispatch: () => boolean;
    readonly nowMillis: () => number;
    /** Receives each step that influences or makes a selection, for replay. */
    readonly onStep?: (step: DecisionStep) => void;
}

const healthyServersOnly: SlotChoice = { mayProbe: false, lastResort: false };

/** Creates a pool without servers or waiters. */
export function makeSlotPool(options: SlotPoolOptions): SlotPool {
    const servers = new Map<string, OwnedServer>();
    let waiters: Waiter[] = [];

    const tryAcquire = (excluded: ReadonlySet<string>, choice = healthyServersOnly): HeldSlot | undefined => {
        const nowMillis = options.nowMillis();
        const mayDispatch = options.mayDispatch();
        const owned = mayDispatch
            ? options.pickServer(servers.values(), { excluded, nowMillis, ...choice })
            : undefined;
        options.onStep?.({
            step: "acquire",
            atMillis: nowMillis,
            excluded: [...excluded],
            ...choice,
            mayDispatch,
            chosen: owned?.server ?? ""
        });
        if (owned === undefined) {
            return undefined;
        }
        if (owned.health.setAside) {
            recordProbeSent(owned.health, nowMillis);
        }
        owned.inFlight += 1;
        let isHeld = true;
        const release = () => {
            if (isHeld) {
                isHeld = false;
                owned.inFlight -= 1;
                options.onStep?.({ step: "release", atMillis: options.nowMillis(), server: owned.server });
                offerFreeSlots();
            }
        };
        return { owned, release };
    };

    const remove = (waiter: Waiter) => {
        waiters = waiters.filter(each => each !== waiter);
    };

    const offerFreeSlots = () => {
        for (const waiter of [...waiters]) {
            const slot = tryAcquire(waiter.excluded);
            if (slot !== undefined) {
                remove(waiter);
                waiter.resume({ kind: "slot", slot });
            }
            else if (waiter.excluded.size === 0) {
                return;
            }
        }
    };

    const finishWaiters = (outcome: WaitOutcome, count: number) => {
        for (const waiter of waiters.slice(0, count)) {
            remove(waiter);
            waiter.resume(outcome);
        }
    };

    const assignServer = (slots: OwnedSlots) => {
        const known = servers.get(slots.server);
        if (known !== undefined && known.address === slots.address) {
            known.usableSlots = slots.usableSlots;
            known.leaving = slots.leaving;
            return;
        }
        servers.set(slots.server, {
            ...slots,
            latency: makeServerLatency(),
            inFlight: 0,
            health: makeServerHealth(),
            unreachableUntilMillis: 0
        });
    };

    return {
        tryAcquire,
        wait: (excluded, arrivedAtMillis, resume) => {
            const waiter: Waiter = { excluded, arrivedAtMillis, resume };
            const laterWaiterIndex = waiters.findIndex(each => each.arrivedAtMillis > arrivedAtMillis);
            waiters = laterWaiterIndex < 0 ? [...waiters, waiter] : waiters.toSpliced(laterWaiterIndex, 0, waiter);
            return () => remove(waiter);
        },
        assign: slots => {
            const assignedNames = new Set(slots.map(each => each.server));
            for (const [name, owned] of servers) {
                if (!assignedNames.has(name)) {
                    owned.usableSlots = 0;
                    servers.delete(name);
                }
            }
            slots.forEach(assignServer);
            options.onStep?.({ step: "assign", atMillis: options.nowMillis(), slots });
            offerFreeSlots();
        },
        redirectWaiters: count => finishWaiters({ kind: "elsewhere" }, count),
        resumeWaiters: offerFreeSlots,
        close: () => finishWaiters({ kind: "closed" }, waiters.length),
        servers: () => [...servers.values()],
        freeSlots: () => {
            let free = 0;
            const nowMillis = options.nowMillis();
            for (const owned of servers.values()) {
                const usable = rampedSlots(owned.health, owned.usableSlots, nowMillis);
                const isCounted = !owned.leaving && !owned.health.setAside && owned.unreachableUntilMillis <= nowMillis;
                free += isCounted ? Math.max(0, usable - owned.inFlight) : 0;
            }
            return options.mayDispatch() ? free : 0;
        },
        setAsideSlots: () => {
            let setAsideCount = 0;
            servers.forEach(owned => setAsideCount += owned.health.setAside ? owned.usableSlots : 0);
            return setAsideCount;
        },
        usableSlots: () => {
            let usable = 0;
            servers.forEach(owned => usable += owned.usableSlots);
            return usable;
        },
        waiting: () => waiters.length
    };
}
