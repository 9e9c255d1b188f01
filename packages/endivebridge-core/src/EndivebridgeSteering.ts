import type { OwnedServer } from "./EndivebridgeSlots";

/** Chooses the backend server for the next request among those with a free slot. */
export type ServerPicker = (
    servers: readonly OwnedServer[],
    excluded: ReadonlySet<string>,
    nowMillis: number
) => OwnedServer | undefined;

function isFree(owned: OwnedServer, excluded: ReadonlySet<string>, nowMillis: number): boolean {
    return !owned.leaving
        && owned.inFlight < owned.usableSlots
        && owned.setAsideUntilMillis <= nowMillis
        && !excluded.has(owned.server);
}

/** Expected cost of one more request: in-flight share first, weighed by the decayed service time. */
function cost(owned: OwnedServer): number {
    const load = (owned.inFlight + 1) / owned.usableSlots;
    return load * (owned.latency.estimateMillis ?? 0.001);
}

/** Picks the free server with the least expected cost. */
export function pickLeastCost(
    servers: readonly OwnedServer[],
    excluded: ReadonlySet<string>,
    nowMillis: number
): OwnedServer | undefined {
    let best: OwnedServer | undefined;
    for (const owned of servers) {
        if (isFree(owned, excluded, nowMillis) && (best === undefined || cost(owned) < cost(best))) {
            best = owned;
        }
    }
    return best;
}
