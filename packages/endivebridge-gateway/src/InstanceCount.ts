import { monotonicMillis } from "@endivebridge/shared";
import type { Members } from "@endivebridge/traffic";

/** Time after the start in which peers and the platform name the other instances. */
const settlingMillis = 5_000;

/**
 * Whether an instance knows enough of the others to use its shares of common limits. Right after the start it has to
 * know as many as its peers do; an instance that knows no other one is alone only if the platform has listed none.
 */
export function knowsOtherInstances(members: Members, startedMillis: number, nowMillis: number): boolean {
    const knownCount = members.allRecords().length;
    return nowMillis - startedMillis < settlingMillis
        ? knownCount > 0 && knownCount >= members.knownByPeers(nowMillis)
        : knownCount > 0 || members.isListed();
}

/**
 * Creates a function that counts the instances which share a limit, this one included. The count is infinite, so that
 * the own share is 0, while the other instances are not known. An instance that starts while the platform lists no other
 * one counts as alone at once, since it may be the only one that serves its callers.
 */
export function makeInstanceCount(members: Members, startedMillis: number): () => number {
    return () => {
        const knownCount = members.allRecords().length;
        const isAlone = knownCount === 0 && members.isListed();
        return isAlone || knowsOtherInstances(members, startedMillis, monotonicMillis()) ? knownCount + 1 : Infinity;
    };
}
