import { monotonicMillis } from "@endivebridge/shared";
import type { MemberRecord, Members } from "@endivebridge/traffic";

/** Without news of any other instance for so long after the start, this one takes it that there is none. */
const aloneAfterMillis = 5_000;

/**
 * Makes the count of instances that share a cold server: those of its failure domain, else of its region; 0 where it is
 * left to others. All that were ever known count: one that is cut off cannot tell whether the others still run. It is
 * asked for on each look at a cold server, so counts are kept while the members stay the same.
 */
export function makeColdSharers(
    own: MemberRecord,
    members: Members,
    startedMillis: number
): (failureDomain: string) => number {
    let countedOf: readonly MemberRecord[] | undefined;
    const counts = new Map<string, number>();

    const count = (known: readonly MemberRecord[], failureDomain: string): number => {
        const inDomain = known.filter(member => member.failureDomain === failureDomain).length;
        if (failureDomain === own.failureDomain) {
            return inDomain + 1;
        }
        return inDomain > 0 ? 0 : known.filter(member => member.region === own.region).length + 1;
    };

    return failureDomain => {
        const known = members.known();
        if (known.length === 0 && monotonicMillis() - startedMillis < aloneAfterMillis) {
            return 0;
        }
        if (known !== countedOf) {
            countedOf = known;
            counts.clear();
        }
        let sharers = counts.get(failureDomain);
        if (sharers === undefined) {
            sharers = count(known, failureDomain);
            counts.set(failureDomain, sharers);
        }
        return sharers;
    };
}
