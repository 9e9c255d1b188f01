/** A service that takes a share of a route's requests. */
export interface RouteTarget {
    readonly service: string;
    readonly weight: number;
}

/** One declared route: which requests it takes and how they are served. */
export interface Route {
    readonly name: string;
    readonly host: string;
    /** Begins and ends with a slash. */
    readonly pathPrefix: string;
    readonly isIdempotent: boolean;
    /** Longest time that a request is kept waiting for its final answer. */
    readonly timeoutMillis: number;
    /** Time within which an answer is worth most to its caller. */
    readonly objectiveMillis: number;
    /** Rank among kinds of requests; 0 is the most urgent. */
    readonly priority: number;
    readonly targets: readonly RouteTarget[];
    /** Most backend servers that one request may be sent to. */
    readonly maximumAttempts: number;
    /** Whether backend servers answer faster for keys that they handled recently. */
    readonly hasAffinity: boolean;
    /** Regions in which the route's requests may be served; empty where all may. */
    readonly homeRegions: readonly string[];
}

/** One declared service. */
export interface Service {
    readonly name: string;
    readonly healthPath: string;
    /** Connections that one backend server accepts from all instances together. */
    readonly maximumConnections: number;
    readonly coldStartMillis: number;
    /** Requests a second that one cold backend server takes from all instances together. */
    readonly coldRequestsPerSecond: number;
}

/** Bounds on what a caller may send. */
export interface CallerLimits {
    readonly headerBytes: number;
    readonly bodyBytes: number;
    readonly headerTimeoutMillis: number;
    readonly idleTimeoutMillis: number;
}

/** One version of the operators' configuration, whole. */
export interface TrafficConfiguration {
    readonly version: number;
    readonly routes: readonly Route[];
    readonly services: ReadonlyMap<string, Service>;
    readonly callerLimits: CallerLimits;
}
