import {
    type BackendServer,
    makePlacement,
    makeRegionBalance,
    makeServerPool,
    makeServiceTimeEstimates,
    type Placement,
    type PlacementView,
    type RegionBalance,
    type Route,
    type ServerPool,
    type Service
} from "../../index";

/** Returns a route with default values, overridden by `changes`. */
export function route(changes: Partial<Route>): Route {
    return {
        name: "orders",
        host: "a.example",
        pathPrefix: "/",
        isIdempotent: true,
        timeoutMillis: 2_000,
        objectiveMillis: 400,
        priority: 1,
        targets: [{ service: "desk", weight: 1 }],
        maximumAttempts: 2,
        hasAffinity: true,
        homeRegions: [],
        ...changes
    };
}

/** Returns a backend server with default values, overridden by `changes`. */
export function server(changes: Partial<BackendServer>): BackendServer {
    return {
        id: "s1",
        service: "desk",
        host: "10.0.0.1",
        port: 80,
        failureDomain: "fraser-a",
        region: "fraser",
        slots: 4,
        isLeaving: false,
        coldRemainingMillis: 0,
        bornEpochMillis: 0,
        ...changes
    };
}

/** Creates a pool with one server. */
export function makeSingleServerPool(changes: Partial<BackendServer>): { readonly pool: ServerPool; } {
    const pool = makeServerPool();
    pool.upsert(server(changes), 0);
    return { pool };
}

const desk: Service = {
    name: "desk",
    healthPath: "/health",
    maximumConnections: 100,
    coldStartMillis: 3_000,
    coldRequestsPerSecond: 10
};

/** Placement of an instance in failure domain fraser-a, with its dependencies. */
export interface PlacementSample {
    readonly pool: ServerPool;
    readonly balance: RegionBalance;
    readonly placement: Placement;
    readonly evacuated: Set<string>;
}

/** Creates a placement over the given servers. */
export function makePlacementSample(
    servers: readonly Partial<BackendServer>[],
    changes: Partial<PlacementView> = {}
): PlacementSample {
    const pool = makeServerPool();
    servers.forEach(serverChanges => pool.upsert(server(serverChanges), 0));
    const balance = makeRegionBalance(0.04, 0.04);
    const evacuated = new Set<string>();
    const placement = makePlacement({
        failureDomain: "fraser-a",
        region: "fraser",
        pool,
        service: () => desk,
        isEvacuated: failureDomain => evacuated.has(failureDomain),
        roundTripMillis: () => 110,
        coldRateSharerCount: () => 1,
        rateLimitShare: limit => limit.requestsPerSecond,
        regionInstanceCount: () => 1,
        estimates: makeServiceTimeEstimates(),
        usualWorkMillis: () => 100,
        balance,
        random: () => 0.5,
        ...changes
    });
    return { pool, balance, placement, evacuated };
}
