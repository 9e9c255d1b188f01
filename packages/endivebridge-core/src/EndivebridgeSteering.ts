import { rampedSlots } from "./EndivebridgeHealth";
import type { OwnedServer } from "./EndivebridgeSlots";

/** Constraints on the selection of a server for one request. */
export interface PickOptions {
    readonly excluded: ReadonlySet<string>;
    readonly nowMillis: number;
    /** Whether the request may serve as a probe of a server that is set aside. */
    readonly mayProbe: boolean;
    /** Whether servers that are set aside may be used if no other is free. */
    readonly lastResort: boolean;
}

/** Chooses the backend server for the next request among those with a free slot. */
export type ServerPicker = (servers: Iterable<OwnedServer>, options: PickOptions) => OwnedServer | undefined;

function hasFreeSlot(owned: OwnedServer, options: PickOptions): boolean {
    return !owned.leaving
        && owned.unreachableUntilMillis <= options.nowMillis
        && owned.inFlight < rampedSlots(owned.health, owned.usableSlots, options.nowMillis)
        && !options.excluded.has(owned.server);
}

/** Expected cost of one more request: in-flight share times the average service time. */
function cost(owned: OwnedServer): number {
    const load = (owned.inFlight + 1) / owned.usableSlots;
    return load * (owned.latency.estimateMillis ?? 0.001);
}

function isProbeDue(owned: OwnedServer, options: PickOptions): boolean {
    return options.mayProbe && owned.inFlight === 0 && owned.health.probeAtMillis <= options.nowMillis;
}

/** Selects a server whose probe is due, otherwise the free server with the lowest expected cost. */
export function pickLeastCost(servers: Iterable<OwnedServer>, options: PickOptions): OwnedServer | undefined {
    let best: OwnedServer | undefined;
    let fallback: OwnedServer | undefined;
    for (const owned of servers) {
        if (!hasFreeSlot(owned, options)) {
            continue;
        }
        if (!owned.health.setAside) {
            best = best === undefined || cost(owned) < cost(best) ? owned : best;
        }
        else if (isProbeDue(owned, options)) {
            return owned;
        }
        else if (options.lastResort) {
            fallback = fallback === undefined || cost(owned) < cost(fallback) ? owned : fallback;
        }
    }
    return best ?? fallback;
}
