import { makeServiceCounts } from "./SlidingCount";

/** What all instances together may spend on sending requests again. */
export interface RetryBudgetLimits {
    /** Further sends as a share of first sends. */
    readonly ratio: number;
    /** Further sends beyond the share, over all instances. */
    readonly slack: number;
    readonly windowMillis: number;
}

/** Decides whether a service may be sent a request once more. */
export interface RetryBudget {
    readonly countRequest: (service: string, nowMillis: number) => void;
    /** Spends one further send, or says that none is left. */
    readonly trySpend: (service: string, instances: number, nowMillis: number) => boolean;
    readonly left: (service: string, instances: number, nowMillis: number) => number;
}

/** Kept back for sends that arrive in a later window than the one they were counted in. */
const usableBudgetShare = 0.8;

/**
 * Makes the budget of one instance. Its share of the slack is static, so the sum over all instances holds whatever they
 * hear of each other.
 */
export function makeRetryBudget(limits: RetryBudgetLimits): RetryBudget {
    const requests = makeServiceCounts(limits.windowMillis);
    const spent = makeServiceCounts(limits.windowMillis);

    const left = (service: string, instances: number, nowMillis: number): number => {
        const allowed = limits.ratio * requests(service).total(nowMillis)
            + limits.slack / Math.max(1, instances);
        return Math.floor(allowed * usableBudgetShare) - spent(service).total(nowMillis);
    };

    return {
        countRequest: (service, nowMillis) => requests(service).add(nowMillis),
        left,
        trySpend: (service, instances, nowMillis) => {
            if (left(service, instances, nowMillis) < 1) {
                return false;
            }
            spent(service).add(nowMillis);
            return true;
        }
    };
}
