/** Service that receives a weighted share of a route's requests. */
export interface RouteTarget {
    readonly service: string;
    readonly weight: number;
}

/** Declared route: the requests that it matches and how they are served. */
export interface Route {
    readonly name: string;
    readonly host: string;
    /** Begins and ends with a slash. */
    readonly pathPrefix: string;
    readonly isIdempotent: boolean;
    /** Timeout for the final answer to a request. */
    readonly timeoutMillis: number;
    /** Latency objective: time within which an answer is most valuable to its caller. */
    readonly objectiveMillis: number;
    /** Priority of the route's requests; 0 is the most urgent. */
    readonly priority: number;
    readonly targets: readonly RouteTarget[];
    /** Maximum number of backend servers that one request may be sent to. */
    readonly maximumAttempts: number;
    /** Whether backend servers answer faster for keys that they handled recently. */
    readonly hasAffinity: boolean;
    /** Regions in which the route's requests may be served; empty if all regions are allowed. */
    readonly homeRegions: readonly string[];
}

/** Declared service with its limits per backend server. */
export interface Service {
    readonly name: string;
    readonly healthPath: string;
    /** Connections that one backend server accepts from all instances together. */
    readonly maximumConnections: number;
    readonly coldStartMillis: number;
    /** Requests per second that one cold backend server accepts from all instances together. */
    readonly coldRequestsPerSecond: number;
}

/** Size limits and timeouts for requests of callers. */
export interface CallerLimits {
    readonly headerBytes: number;
    readonly bodyBytes: number;
    readonly headerTimeoutMillis: number;
    readonly idleTimeoutMillis: number;
}

/** One complete version of the operators' configuration. */
export interface TrafficConfiguration {
    readonly version: number;
    readonly routes: readonly Route[];
    readonly services: ReadonlyMap<string, Service>;
    readonly callerLimits: CallerLimits;
}
