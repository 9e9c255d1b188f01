import type { Route } from "./Configuration";

/** Distributes each route's requests among its services by weight. */
export interface TrafficSplit {
    readonly choose: (route: Route) => string;
}

/**
 * Smooth weighted round robin: after any number of requests each service's share is within one request of its weight.
 * The initial credits of a route are random, so that many instances do not start with the same service.
 */
export function makeTrafficSplit(random: () => number): TrafficSplit {
    const credits = new Map<string, Map<string, number>>();

    const creditsOf = (route: Route): Map<string, number> => {
        const known = credits.get(route.name);
        if (known !== undefined) {
            return known;
        }
        const initialCredits = new Map(route.targets.map(target => [target.service, random() * target.weight]));
        credits.set(route.name, initialCredits);
        return initialCredits;
    };

    return {
        choose: route => {
            if (route.targets.length === 1) {
                return route.targets[0]!.service;
            }
            const routeCredits = creditsOf(route);
            let total = 0;
            let best = route.targets[0]!.service;
            let bestCredit = -Infinity;
            for (const { service, weight } of route.targets) {
                const credit = (routeCredits.get(service) ?? 0) + weight;
                routeCredits.set(service, credit);
                total += weight;
                if (credit > bestCredit) {
                    best = service;
                    bestCredit = credit;
                }
            }
            routeCredits.set(best, bestCredit - total);
            return best;
        }
    };
}
