/** How busy the servers of one service are, as shares of their slots; above 1 where requests wait. */
export interface ServiceUse {
    readonly own: number;
    /** Of the least busy other region that could help; undefined where none could. */
    readonly others: number | undefined;
}

/** Decides which share of a region's requests is at home in another region. */
export interface RegionBalance {
    /** Share of the service's keys, and of its requests without a key, that belong to other regions. */
    readonly awayShare: (service: string) => number;
    readonly hasBegun: (service: string) => boolean;
    /** Sets where a share starts; later calls for the same service do nothing. */
    readonly begin: (service: string, share: number) => void;
    /** Moves a share by a bounded step, after what is known of the load. */
    readonly adjust: (service: string, use: ServiceUse, peersShare: number | undefined, nowMillis: number) => void;
    /** Takes leave for one request to run in the other place than its share says; false where too many did. */
    readonly tryOverflow: () => boolean;
    readonly countRequest: () => void;
}

/**
 * Use of the own servers up to which nothing has to be carried away. Keys keep to one server each, so that with few slots
 * a server requests wait for each other well before all are busy; a round trip to another region costs less than that.
 */
const maxLocalUse = 0.5;
/** The other region must be less busy by this much, so that two regions do not exchange their work. */
const minUseDifference = 0.15;
/** Distance from the wanted use at which a share moves as fast as it may. */
const fullRateUseDistance = 0.2;
/** Part of the difference to the peers' share that is closed a second. */
const peerConvergencePerSecond = 0.5;
/** Requests that may leave their place beyond the planned share, at once. */
const maxOverflowTokens = 2;

/**
 * Part of the share that would even out the regions with which a service starts, while all servers are cold and each
 * slot counts: nearly all of it where the way to another region is a small part of the objective, none where it takes all.
 */
export function firstShareFactor(roundTripMillis: number, objectiveMillis: number): number {
    return Math.max(0, 1 - (roundTripMillis / objectiveMillis) ** 2);
}

function clampMagnitude(value: number, maxMagnitude: number): number {
    return Math.max(-maxMagnitude, Math.min(maxMagnitude, value));
}

/**
 * Makes the balance of one instance. The load it answers: a region with far fewer servers than its callers need, for
 * hours. Whole keys move, so that each stays warm on few servers; shares move slowly enough that a region's traffic
 * never jumps, by construction, whatever the measurements do.
 */
export function makeRegionBalance(stepPerSecond: number, overflowShare: number): RegionBalance {
    const shares = new Map<string, { share: number; atMillis: number | undefined; }>();
    let overflowTokens = 0;

    return {
        awayShare: service => shares.get(service)?.share ?? 0,
        hasBegun: service => shares.has(service),
        begin: (service, share) => {
            if (!shares.has(service)) {
                shares.set(service, { share: Math.max(0, Math.min(1, share)), atMillis: undefined });
            }
        },
        adjust: (service, use, peersShare, nowMillis) => {
            const state = shares.get(service);
            if (state === undefined) {
                return;
            }
            const elapsedSeconds = Math.min(1, (nowMillis - (state.atMillis ?? nowMillis)) / 1_000);
            state.atMillis = nowMillis;
            const targetUse = Math.max(maxLocalUse, (use.others ?? Infinity) + minUseDifference);
            const loadSlope = stepPerSecond * clampMagnitude((use.own - targetUse) / fullRateUseDistance, 1);
            const peerSlope = peersShare === undefined ? 0 : (peersShare - state.share) * peerConvergencePerSecond;
            const slope = clampMagnitude(loadSlope + peerSlope, stepPerSecond);
            state.share = Math.max(0, Math.min(1, state.share + slope * elapsedSeconds));
        },
        countRequest: () => {
            overflowTokens = Math.min(maxOverflowTokens, overflowTokens + overflowShare);
        },
        tryOverflow: () => {
            if (overflowTokens < 1) {
                return false;
            }
            overflowTokens -= 1;
            return true;
        }
    };
}
