import { monotonicMillis } from "@endivebridge/shared";
import type { MemberRecord, Members } from "@endivebridge/traffic";
import { knowsOtherInstances } from "./InstanceCount";

/**
 * Creates a function that counts the instances sharing the request limit of the cold servers of a failure domain: those
 * of that failure domain if there are any, else those of this instance's region. The count is 0 if the servers are left
 * to other instances. All members ever known count, by a message or a record from others, since a partitioned instance
 * cannot tell whether they still run. Each placement check of a cold server calls the function, so counts are cached
 * while the member list stays the same.
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
        const known = members.allRecords();
        if (!knowsOtherInstances(members, startedMillis, monotonicMillis())) {
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
