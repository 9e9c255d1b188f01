import { monotonicMillis } from "@endivebridge/shared";
import type { Members } from "@endivebridge/traffic";

/** An instance that knows no member this long after its start assumes that it is the only one. */
const soleInstanceAfterMillis = 5_000;

/** Whether an instance that knows the given number of members has started too recently to have learned of others. */
export function isTooEarlyToKnowMembers(memberCount: number, startedMillis: number, nowMillis: number): boolean {
    return memberCount === 0 && nowMillis - startedMillis < soleInstanceAfterMillis;
}

/**
 * Creates a function that counts the instances which share a limit, this one included. The count is infinite, so that
 * the own share is 0, while no member can be known yet.
 */
export function makeInstanceCount(members: Members, startedMillis: number): () => number {
    return () => {
        const memberCount = members.allRecords().length;
        return isTooEarlyToKnowMembers(memberCount, startedMillis, monotonicMillis()) ? Infinity : memberCount + 1;
    };
}
