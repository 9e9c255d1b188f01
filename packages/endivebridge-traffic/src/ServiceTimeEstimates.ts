import type { Route } from "./Configuration";

/** Estimated service time of a route's requests, by the server's rank for the key and so its likely cache warmth. */
export interface ServiceTimeEstimates {
    readonly estimateMillis: (route: Route, rank: number) => number;
    /** Adds a measured service time, already divided by the server's slowness. */
    readonly recordMeasurement: (route: Route, rank: number, workMillis: number) => void;
}

/**
 * Service time on a key's second server relative to its first. The factor is fixed: a key spread over more servers
 * evicts other keys from their caches, which measurements of its own requests do not show, and a learned factor would
 * approach 1 while all caches go cold.
 */
const secondServerFactor = 1.5;

/** Weight of the newest measurement; the average covers about twenty answers. */
const newestSampleWeight = 0.05;
/** Initial estimate before any measurement, as a share of the objective. */
const initialObjectiveShare = 0.4;

/** Service time that a route's objective suggests, the same at all instances. */
export function initialEstimateMillis(route: Route): number {
    return route.objectiveMillis * initialObjectiveShare;
}

/** Creates estimates that start from the routes' objectives. */
export function makeServiceTimeEstimates(): ServiceTimeEstimates {
    const warmMillisByRoute = new Map<string, number>();

    const warmEstimateMillis = (route: Route): number =>
        warmMillisByRoute.get(route.name) ?? initialEstimateMillis(route);

    return {
        estimateMillis: (route, rank) => warmEstimateMillis(route) * (rank === 0 ? 1 : secondServerFactor),
        recordMeasurement: (route, rank, workMillis) => {
            if (rank > 0) {
                return;
            }
            const warmMillis = warmEstimateMillis(route);
            // Limits the weight of a straggler against many ordinary answers.
            warmMillisByRoute.set(
                route.name,
                warmMillis + newestSampleWeight * (Math.min(workMillis, warmMillis * 3) - warmMillis)
            );
        }
    };
}
