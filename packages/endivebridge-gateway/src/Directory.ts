import type { MemberRecord, Members } from "@endivebridge/traffic";

/** Names the instances that callers should connect to. */
export interface Directory {
    readonly addressesFor: (
        caller: { readonly region: string; readonly failureDomain: string; },
        nowMillis: number
    ) => readonly string[];
}

/** A caller needs a second address to fail over to. */
const minAddresses = 2;

/**
 * Makes the directory of one instance: ready instances of the caller's failure domain; with fewer than two of them, of
 * its region; with none there, of all regions. Falls back to the own address if no instance is ready.
 */
export function makeDirectory(own: MemberRecord, isOwnReady: () => boolean, members: Members): Directory {
    return {
        addressesFor: (caller, nowMillis) => {
            const ready = [...isOwnReady() ? [own] : [], ...members.ready(nowMillis)];
            const inDomain = ready.filter(member => member.failureDomain === caller.failureDomain);
            const inRegion = ready.filter(member => member.region === caller.region);
            const chosen = inDomain.length >= minAddresses ? inDomain : inRegion.length > 0 ? inRegion : ready;
            return (chosen.length > 0 ? chosen : [own]).map(member => member.callerAddress);
        }
    };
}
