const swapShareGain = 2;

/** Entry instance that a look-up may return. */
export interface LookupCandidate {
    readonly instance: string;
    readonly failureDomain: string;
    readonly region: string;
    readonly address: string;
    readonly leaving: boolean;
    readonly isReachable: boolean;
    readonly usableSlots: number;
    /** Requests per second from callers, per usable slot. */
    readonly load: number;
}

/** Inputs of a look-up: client, service, home region and maximum number of instances. */
export interface LookupRequest {
    readonly client: string;
    readonly service: string;
    readonly homeRegion: string;
    readonly mostInstances: number;
}

/** Deterministic hash of a text, in [0, 1). */
export type Hash = (text: string) => number;

/** Weighted rendezvous score; an instance ranks first in proportion to its usable slots. */
function weight(candidate: LookupCandidate, request: LookupRequest, hash: Hash): number {
    const hashValue = hash(`${request.client}/${request.service}/${candidate.instance}`);
    return Math.max(1, candidate.usableSlots) / -Math.log(Math.max(hashValue, Number.EPSILON));
}

/** Share of an instance's callers to move to their second choice, so that the load of both evens out. */
function swapShare(firstLoad: number, secondLoad: number): number {
    const sum = firstLoad + secondLoad;
    return sum === 0 ? 0 : Math.max(0, (swapShareGain * (firstLoad - secondLoad)) / sum);
}

/**
 * Orders entry instances for a client: home region first, then by weighted rendezvous hashing, so that the loss of
 * one instance spreads its callers over all others.
 */
export function orderInstances(
    candidates: readonly LookupCandidate[],
    request: LookupRequest,
    hash: Hash
): readonly LookupCandidate[] {
    const usable = candidates.filter(candidate => !candidate.leaving && candidate.isReachable);
    const ranked = usable.map(candidate => ({
        candidate,
        homeRank: candidate.region === request.homeRegion ? 1 : 0,
        weight: weight(candidate, request, hash)
    }));
    ranked.sort((left, right) => right.homeRank - left.homeRank || right.weight - left.weight);
    const [first, second] = ranked;
    if (first !== undefined && second !== undefined && first.homeRank === second.homeRank) {
        const hashValue = hash(`${request.client}/${request.service}/swap`);
        if (hashValue < swapShare(first.candidate.load, second.candidate.load)) {
            ranked.splice(0, 2, second, first);
        }
    }
    return ranked.slice(0, request.mostInstances).map(each => each.candidate);
}
