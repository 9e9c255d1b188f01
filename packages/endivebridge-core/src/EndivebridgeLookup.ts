const swapShareGain = 2;

/** An entry instance as a look-up sees it. */
export interface LookupCandidate {
    readonly instance: string;
    readonly failureDomain: string;
    readonly region: string;
    readonly address: string;
    readonly leaving: boolean;
    readonly reachable: boolean;
    readonly usableSlots: number;
    /** Requests a second that callers send it, for each usable slot. */
    readonly load: number;
}

/** What a look-up answer is made from. */
export interface LookupQuestion {
    readonly client: string;
    readonly service: string;
    readonly homeRegion: string;
    readonly mostInstances: number;
}

/** Stable number in [0, 1) for a pair of texts. */
export type Hash = (text: string) => number;

/** Rendezvous weight: an instance with more usable slots wins in proportion. */
function weight(candidate: LookupCandidate, question: LookupQuestion, hash: Hash): number {
    const hashValue = hash(`${question.client}/${question.service}/${candidate.instance}`);
    return Math.max(1, candidate.usableSlots) / -Math.log(Math.max(hashValue, Number.EPSILON));
}

/** Share of an instance's callers that its second choice should take, so that both come out even. */
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
    question: LookupQuestion,
    hash: Hash
): readonly LookupCandidate[] {
    const usable = candidates.filter(candidate => !candidate.leaving && candidate.reachable);
    const ranked = usable.map(candidate => ({
        candidate,
        homeRank: candidate.region === question.homeRegion ? 1 : 0,
        weight: weight(candidate, question, hash)
    }));
    ranked.sort((left, right) => right.homeRank - left.homeRank || right.weight - left.weight);
    const [first, second] = ranked;
    if (first !== undefined && second !== undefined && first.homeRank === second.homeRank) {
        const hashValue = hash(`${question.client}/${question.service}/swap`);
        if (hashValue < swapShare(first.candidate.load, second.candidate.load)) {
            ranked.splice(0, 2, second, first);
        }
    }
    return ranked.slice(0, question.mostInstances).map(each => each.candidate);
}
