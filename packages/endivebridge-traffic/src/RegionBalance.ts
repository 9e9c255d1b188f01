/** Utilization of one service's servers, as shares of their slots; above 1 if requests are queued. */
export interface ServiceUse {
    readonly own: number;
    /** Utilization of the least busy other region that could help; undefined if none could. */
    readonly others: number | undefined;
}

/** Controls the share of a region's requests that other regions serve. */
export interface RegionBalance {
    /** Share of the service's keys, and of its requests without a key, that are assigned to other regions. */
    readonly awayShare: (service: string) => number;
    readonly isInitialized: (service: string) => boolean;
    /** Sets the initial share; later calls for the same service have no effect. */
    readonly initialize: (service: string, share: number) => void;
    /** Adjusts a share to the load by a bounded step. */
    readonly adjust: (service: string, use: ServiceUse, peersShare: number | undefined, nowMillis: number) => void;
    /** Spends a token to run one request outside its assigned region; false if none is left. */
    readonly tryOverflow: () => boolean;
    readonly countRequest: () => void;
}

/**
 * Local utilization up to which no traffic is moved. Each key uses one server, so with few slots per server requests
 * queue well before all slots are busy; a round trip to another region costs less than that wait.
 */
const maxLocalUse = 0.5;
/** Required difference to the other region's utilization, so that two regions do not exchange their load. */
const minUseDifference = 0.15;
/** Distance from the target utilization at which a share changes at its maximum rate. */
const fullRateUseDistance = 0.2;
/** Part of the difference to the peers' share that is closed per second. */
const peerConvergencePerSecond = 0.5;
/** Maximum burst of requests that may run outside their assigned region beyond the planned share. */
const maxOverflowTokens = 2;

/**
 * Initial part of the share that would balance the regions, used while all servers are cold and each slot counts.
 * Nearly 1 if the round trip to another region is a small part of the objective, 0 if it uses all of it.
 */
export function initialShareFactor(roundTripMillis: number, objectiveMillis: number): number {
    return Math.max(0, 1 - (roundTripMillis / objectiveMillis) ** 2);
}

function clampMagnitude(value: number, maxMagnitude: number): number {
    return Math.max(-maxMagnitude, Math.min(maxMagnitude, value));
}

/**
 * Creates the balance of one instance. It addresses a region with far fewer servers than its callers need, for hours.
 * Whole keys move, so that each stays warm on few servers. The rate of change is bounded whatever the measurements are,
 * so that a region's traffic never jumps.
 */
export function makeRegionBalance(stepPerSecond: number, overflowShare: number): RegionBalance {
    const shares = new Map<string, { share: number; atMillis: number | undefined; }>();
    let overflowTokens = 0;

    return {
        awayShare: service => shares.get(service)?.share ?? 0,
        isInitialized: service => shares.has(service),
        initialize: (service, share) => {
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
