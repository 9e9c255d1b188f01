import type { Hash } from "./EndivebridgeLookup";

/** Instance that may be chosen as a peer. */
export interface PeerCandidate {
    readonly instance: string;
    readonly failureDomain: string;
}

/** Number of instances of each other failure domain that an instance exchanges messages with. */
export const peersPerOtherDomain = 2;

/**
 * Chooses the peers of an instance: all siblings, and the two instances of each other failure domain that rank first by
 * rendezvous hashing. Each instance is chosen by about as many others, and few choices change when an instance leaves.
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
        if (domain === self.failureDomain || members.length <= peersPerOtherDomain) {
            return members;
        }
        const rank = (candidate: Candidate) => hash(`peer/${self.instance}/${candidate.instance}`);
        return members
            .map(candidate => ({ candidate, rank: rank(candidate) }))
            .sort((left, right) => right.rank - left.rank)
            .slice(0, peersPerOtherDomain)
            .map(each => each.candidate);
    });
}
