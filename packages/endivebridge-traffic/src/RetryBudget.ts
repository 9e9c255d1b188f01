import { makeServiceCounts } from "./SlidingCount";

/** Limits on retries over all instances together. */
export interface RetryBudgetLimits {
    /** Retries as a share of first attempts. */
    readonly ratio: number;
    /** Retries allowed beyond the share, over all instances. */
    readonly slack: number;
    readonly windowMillis: number;
}

/** Decides whether a request to a service may be retried. */
export interface RetryBudget {
    readonly countRequest: (service: string, nowMillis: number) => void;
    /** Spends one retry; false if none is left. */
    readonly trySpend: (service: string, instances: number, nowMillis: number) => boolean;
    readonly remaining: (service: string, instances: number, nowMillis: number) => number;
}

/** Usable part of the budget; the rest covers retries that arrive in a later window than they were counted in. */
const usableBudgetShare = 0.8;

/**
 * Creates the budget of one instance. Its share of the slack depends only on the number of instances, so the total
 * holds whatever messages the instances exchange.
 */
export function makeRetryBudget(limits: RetryBudgetLimits): RetryBudget {
    const requests = makeServiceCounts(limits.windowMillis);
    const spent = makeServiceCounts(limits.windowMillis);

    const remaining = (service: string, instances: number, nowMillis: number): number => {
        const allowed = limits.ratio * requests(service).total(nowMillis)
            + limits.slack / Math.max(1, instances);
        return Math.floor(allowed * usableBudgetShare) - spent(service).total(nowMillis);
    };

    return {
        countRequest: (service, nowMillis) => requests(service).add(nowMillis),
        remaining,
        trySpend: (service, instances, nowMillis) => {
            if (remaining(service, instances, nowMillis) < 1) {
                return false;
            }
            spent(service).add(nowMillis);
            return true;
        }
    };
}
