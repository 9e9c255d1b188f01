import type { MemberRecord, Members } from "@endivebridge/traffic";

/** Lists the addresses of the instances that a caller should connect to. */
export interface Directory {
    readonly addressesFor: (
        caller: { readonly region: string; readonly failureDomain: string; },
        nowMillis: number
    ) => readonly string[];
}

/** Minimum number of addresses in a caller's failure domain: it needs a second one to fail over to. */
const minAddresses = 2;

/**
 * Creates the directory of one instance. It lists ready instances of the caller's failure domain; with fewer than two
 * of them, of its region; with none there, of all regions. It falls back to the own address if no instance is ready.
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
