/** Inputs that limit the share of traffic that a drain moves now. */
export interface DrainState {
    /** Share of the region's traffic that the configured drain rate alone would have moved by now. */
    readonly plannedShare: number;
    /** Requests per second from the region's own callers. */
    readonly demandRequestsPerSecond: number;
    /** Sum of the caps of the regions that may receive the requests; undefined if one of them has no cap. */
    readonly capRequestsPerSecond: number | undefined;
}

/** Share of traffic that a drain moves now, and the limit that applies. */
export interface DrainProgress {
    readonly share: number;
    readonly heldBy: "rate" | "caps" | "nothing";
}

// Moved callers arrive unevenly, so using the whole cap would refuse some of them.
const maxCapShare = 0.9;

/** Decides which share of a draining region's callers is sent elsewhere. */
export function drainProgress(state: DrainState): DrainProgress {
    const planned = Math.min(1, Math.max(0, state.plannedShare));
    const { capRequestsPerSecond, demandRequestsPerSecond } = state;
    const allowedShare = capRequestsPerSecond === undefined || demandRequestsPerSecond === 0
        ? 1
        : Math.min(1, (capRequestsPerSecond * maxCapShare) / demandRequestsPerSecond);
    if (allowedShare < planned) {
        return { share: allowedShare, heldBy: "caps" };
    }
    return { share: planned, heldBy: planned < 1 ? "rate" : "nothing" };
}

/** Exponentially weighted average of requests per second, by source region. */
export interface RateMeter {
    readonly count: (region: string) => void;
    /** Adds the last second's counts to the averages; called once a second. */
    readonly tick: () => void;
    readonly rates: () => ReadonlyMap<string, number>;
}

const newestSecondWeight = 0.3;

/** Creates a meter without regions or counts. */
export function makeRateMeter(): RateMeter {
    const rates = new Map<string, number>();
    const counts = new Map<string, number>();
    return {
        count: region => counts.set(region, (counts.get(region) ?? 0) + 1),
        tick: () => {
            for (const region of new Set([...rates.keys(), ...counts.keys()])) {
                const previousRate = rates.get(region) ?? counts.get(region) ?? 0;
                rates.set(region, previousRate + newestSecondWeight * ((counts.get(region) ?? 0) - previousRate));
            }
            counts.clear();
        },
        rates: () => rates
    };
}
