import type { Route } from "./Configuration";

/** How long backend servers work on a route's requests, by how warm the server is likely to be for the key. */
export interface WorkEstimates {
    readonly estimateMillis: (route: Route, rank: number) => number;
    /** Takes in a measured time, already divided by the server's slowness. */
    readonly learn: (route: Route, rank: number, workMillis: number) => void;
}

/** Servers from this rank on count as equally unlikely to be warm. */
export const coldRank = 4;

/** Weight of the newest measurement: about twenty answers of memory. */
const newestWeight = 0.05;
/** Before anything is measured a request is taken to need this share of its objective. */
const initialObjectiveShare = 0.5;
/** Before anything is measured, each rank is taken to be slower than the one before by this factor. */
const initialRankFactor = 1.25;

/** Makes estimates that know nothing but the routes' objectives. */
export function makeWorkEstimates(): WorkEstimates {
    const measured = new Map<string, number[]>();

    const estimatesOf = (route: Route): number[] => {
        let estimates = measured.get(route.name);
        if (estimates === undefined) {
            const first = route.objectiveMillis * initialObjectiveShare;
            estimates = Array.from({ length: coldRank + 1 }, (_, rank) => first * initialRankFactor ** rank);
            measured.set(route.name, estimates);
        }
        return estimates;
    };

    return {
        estimateMillis: (route, rank) => estimatesOf(route)[Math.min(rank, coldRank)]!,
        learn: (route, rank, workMillis) => {
            const estimates = estimatesOf(route);
            const index = Math.min(rank, coldRank);
            // One straggler must not outweigh many usual answers.
            const bounded = Math.min(workMillis, estimates[index]! * 3);
            estimates[index]! += newestWeight * (bounded - estimates[index]!);
        }
    };
}
