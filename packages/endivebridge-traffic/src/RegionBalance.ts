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
    readonly tryExcept: () => boolean;
    readonly countRequest: () => void;
}

/**
 * Use of the own servers up to which nothing has to be carried away. Keys keep to one server each, so that with few slots
 * a server requests wait for each other well before all are busy; a round trip to another region costs less than that.
 */
const comfortableUse = 0.5;
/** The other region must be less busy by this much, so that two regions do not exchange their work. */
const leastDifference = 0.15;
/** Distance from the wanted use at which a share moves as fast as it may. */
const fullSpeedDistance = 0.2;
/** Part of the difference to the peers' share that is closed a second. */
const agreementPerSecond = 0.5;
/** Requests that may leave their place beyond the planned share, at once. */
const mostExceptions = 2;

/**
 * Part of the share that would even out the regions with which a service starts, while all servers are cold and each
 * slot counts: nearly all of it where the way to another region is a small part of the objective, none where it takes all.
 */
export function firstShareFactor(roundTripMillis: number, objectiveMillis: number): number {
    return Math.max(0, 1 - (roundTripMillis / objectiveMillis) ** 2);
}

function bounded(value: number, most: number): number {
    return Math.max(-most, Math.min(most, value));
}

/**
 * Makes the balance of one instance. The load it answers: a region with far fewer servers than its callers need, for
 * hours. Whole keys move, so that each stays warm on few servers; shares move slowly enough that a region's traffic
 * never jumps, by construction, whatever the measurements do.
 */
export function makeRegionBalance(stepPerSecond: number, exceptionShare: number): RegionBalance {
    const shares = new Map<string, { share: number; atMillis: number | undefined; }>();
    let exceptions = 0;

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
            const wantedUse = Math.max(comfortableUse, (use.others ?? Infinity) + leastDifference);
            const wanted = stepPerSecond * bounded((use.own - wantedUse) / fullSpeedDistance, 1);
            const towardsPeers = peersShare === undefined ? 0 : (peersShare - state.share) * agreementPerSecond;
            const slope = bounded(wanted + towardsPeers, stepPerSecond);
            state.share = Math.max(0, Math.min(1, state.share + slope * elapsedSeconds));
        },
        countRequest: () => {
            exceptions = Math.min(mostExceptions, exceptions + exceptionShare);
        },
        tryExcept: () => {
            if (exceptions < 1) {
                return false;
            }
            exceptions -= 1;
            return true;
        }
    };
}
