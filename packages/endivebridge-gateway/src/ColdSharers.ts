import { monotonicMillis } from "@endivebridge/shared";
import type { MemberRecord, Members } from "@endivebridge/traffic";

/** Time after the start without a message from any instance after which this one assumes that it is the only one. */
const soleInstanceAfterMillis = 5_000;

/**
 * Counts the instances that share the request limit of a cold server: those of its failure domain, else of its region;
 * 0 if this instance must not use the server. All instances ever known count, since a partitioned instance cannot tell
 * whether the others still run. Every placement check of a cold server calls it, so counts are cached per member list.
 */
export function makeColdSharers(
    own: MemberRecord,
    members: Members,
    startedMillis: number
): (failureDomain: string) => number {
    let countedMembers: readonly MemberRecord[] | undefined;
    const counts = new Map<string, number>();

    const countSharers = (known: readonly MemberRecord[], failureDomain: string): number => {
        const inDomain = known.filter(member => member.failureDomain === failureDomain).length;
        if (failureDomain === own.failureDomain) {
            return inDomain + 1;
        }
        return inDomain > 0 ? 0 : known.filter(member => member.region === own.region).length + 1;
    };

    return failureDomain => {
        const known = members.known();
        if (known.length === 0 && monotonicMillis() - startedMillis < soleInstanceAfterMillis) {
            return 0;
        }
        if (known !== countedMembers) {
            countedMembers = known;
            counts.clear();
        }
        let sharers = counts.get(failureDomain);
        if (sharers === undefined) {
            sharers = countSharers(known, failureDomain);
            counts.set(failureDomain, sharers);
        }
        return sharers;
    };
}
