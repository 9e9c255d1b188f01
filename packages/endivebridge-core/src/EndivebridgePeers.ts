import type { Hash } from "./EndivebridgeLookup";

/** An instance that may become a peer. */
export interface PeerCandidate {
    readonly instance: string;
    readonly failureDomain: string;
}

/** Instances of each other failure domain that an instance keeps in touch with. */
export const peersOfOtherDomain = 2;

/**
 * Chooses whom an instance keeps in touch with: every sibling, and of each other failure domain the two that rank first
 * by rendezvous hashing, so that each instance is chosen by about as many others and few choices change when one goes.
 */
export function choosePeers<Candidate extends PeerCandidate>(
    self: PeerCandidate,
    candidates: readonly Candidate[],
    hash: Hash
): readonly Candidate[] {
    const candidatesByDomain = new Map<string, Candidate[]>();
    for (const candidate of candidates) {
        if (candidate.instance !== self.instance) {
            const domainCandidates = candidatesByDomain.get(candidate.failureDomain) ?? [];
            domainCandidates.push(candidate);
            candidatesByDomain.set(candidate.failureDomain, domainCandidates);
        }
    }
    return [...candidatesByDomain].flatMap(([domain, members]) => {
        if (domain === self.failureDomain || members.length <= peersOfOtherDomain) {
            return members;
        }
        const rank = (candidate: Candidate) => hash(`peer/${self.instance}/${candidate.instance}`);
        return members
            .map(candidate => ({ candidate, rank: rank(candidate) }))
            .sort((left, right) => right.rank - left.rank)
            .slice(0, peersOfOtherDomain)
            .map(each => each.candidate);
    });
}
