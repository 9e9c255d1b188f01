/** An entry instance as a look-up sees it. */
export interface LookupCandidate {
    readonly instance: string;
    readonly failureDomain: string;
    readonly region: string;
    readonly address: string;
    readonly leaving: boolean;
    readonly reachable: boolean;
    readonly usableSlots: number;
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
    const draw = hash(`${question.client}/${question.service}/${candidate.instance}`);
    return Math.max(1, candidate.usableSlots) / -Math.log(Math.max(draw, Number.EPSILON));
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
        home: candidate.region === question.homeRegion ? 1 : 0,
        weight: weight(candidate, question, hash)
    }));
    ranked.sort((left, right) => right.home - left.home || right.weight - left.weight);
    return ranked.slice(0, question.mostInstances).map(each => each.candidate);
}
