import type { Route } from "./Configuration";

/** How long backend servers work on a route's requests, by how warm the server is likely to be for the key. */
export interface WorkEstimates {
    readonly estimateMillis: (route: Route, rank: number) => number;
    /** Takes in a measured time, already divided by the server's slowness. */
    readonly learn: (route: Route, rank: number, workMillis: number) => void;
}

/**
 * Work on a key's second server relative to its first. It is set, not learned: a key that is spread over more servers
 * pushes other keys out of their memory, which no measurement of its own requests shows, and a learned factor would
 * even out while everything goes cold.
 */
const secondServerFactor = 1.5;

/** Weight of the newest measurement: about twenty answers of memory. */
const newestSampleWeight = 0.05;
/** Before anything is measured a request is taken to need this share of its objective. */
const initialObjectiveShare = 0.4;

/** Makes estimates that know nothing but the routes' objectives. */
export function makeWorkEstimates(): WorkEstimates {
    const warmMillisByRoute = new Map<string, number>();

    const warmEstimateMillis = (route: Route): number =>
        warmMillisByRoute.get(route.name) ?? route.objectiveMillis * initialObjectiveShare;

    return {
        estimateMillis: (route, rank) => warmEstimateMillis(route) * (rank === 0 ? 1 : secondServerFactor),
        learn: (route, rank, workMillis) => {
            if (rank > 0) {
                return;
            }
            const warmMillis = warmEstimateMillis(route);
            // One straggler must not outweigh many usual answers.
            warmMillisByRoute.set(
                route.name,
                warmMillis + newestSampleWeight * (Math.min(workMillis, warmMillis * 3) - warmMillis)
            );
        }
    };
}
