/** What decides how far a drain may go now. */
export interface DrainState {
    /** Share of the region's traffic that its rate would have moved by now. */
    readonly plannedShare: number;
    /** Requests a second that the region's own callers send. */
    readonly demandRequestsPerSecond: number;
    /** Sum of the caps of the regions that may take them; undefined where one has no cap. */
    readonly capRequestsPerSecond: number | undefined;
}

/** How far a drain goes now, and what holds it back. */
export interface DrainProgress {
    readonly share: number;
    readonly heldBy: "rate" | "caps" | "nothing";
}

// Callers that move arrive unevenly: a cap filled to the brim would refuse some of them.
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

/** Requests a second by source region, smoothed. */
export interface RateMeter {
    readonly count: (region: string) => void;
    /** Takes the last second in; called once a second. */
    readonly tick: () => void;
    readonly rates: () => ReadonlyMap<string, number>;
}

const newestSecondWeight = 0.3;

/** Makes a meter that has seen nothing. */
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
