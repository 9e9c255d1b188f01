import { monotonicMillis } from "@endivebridge/shared";
import {
    initialShareFactor,
    type MemberRecord,
    type Members,
    type RegionBalance,
    type TrackedServer
} from "@endivebridge/traffic";

/** Inputs of the comparison of region utilization. */
export interface RegionBalancingParts {
    readonly own: MemberRecord;
    readonly regionOfDomain: ReadonlyMap<string, string>;
    readonly serviceNames: () => readonly string[];
    /** Servers of a service that accept new requests. */
    readonly usableServers: (service: string) => readonly TrackedServer[];
    readonly roundTripMillis: number;
    /** Mean latency objective of the routes to a service. */
    readonly objectiveMillis: (service: string) => number;
    readonly members: Members;
    readonly balance: RegionBalance;
}

/** Weight of the newest utilization sample in the exponential average; the window is about one second. */
const newestUtilizationWeight = 0.25;

/** Creates the periodic step that compares region utilization and shifts shares of services between regions. */
export function makeRegionBalancing(parts: RegionBalancingParts): () => void {
    const utilizations = new Map<string, number>();

    const smoothUtilization = (service: string, region: string, { slots, inFlight }: RegionLoad): number => {
        const key = `${service} ${region}`;
        const utilization = inFlight / slots;
        const smoothed = (utilizations.get(key) ?? utilization) * (1 - newestUtilizationWeight)
            + utilization * newestUtilizationWeight;
        utilizations.set(key, smoothed);
        return smoothed;
    };

    return () => {
        const nowMillis = monotonicMillis();
        for (const name of parts.serviceNames()) {
            const loads = regionLoads(parts.usableServers(name));
            let ownUtilization = 0;
            let lowestOtherUtilization: number | undefined;
            for (const [region, load] of loads) {
                const utilization = smoothUtilization(name, region, load);
                if (region === parts.own.region) {
                    ownUtilization = utilization;
                }
                else {
                    lowestOtherUtilization = Math.min(lowestOtherUtilization ?? Infinity, utilization);
                }
            }
            const peersShare = parts.members.meanAwayShare(parts.own.region, name, nowMillis);
            if (loads.size > 0 && !parts.balance.isInitialized(name)) {
                const evenShare = evenAwayShare(parts.regionOfDomain, parts.own.region, loads);
                const factor = initialShareFactor(parts.roundTripMillis, parts.objectiveMillis(name));
                parts.balance.initialize(name, peersShare ?? evenShare * factor);
            }
            parts.balance.adjust(name, { own: ownUtilization, others: lowestOtherUtilization }, peersShare, nowMillis);
        }
    };
}

interface RegionLoad {
    slots: number;
    inFlight: number;
}

function regionLoads(servers: readonly TrackedServer[]): Map<string, RegionLoad> {
    const loads = new Map<string, RegionLoad>();
    for (const { server, ownInFlight, peersInFlight } of servers) {
        const load = loads.get(server.region) ?? { slots: 0, inFlight: 0 };
        load.slots += server.slots;
        load.inFlight += ownInFlight + peersInFlight;
        loads.set(server.region, load);
    }
    return loads;
}

/**
 * Share to send away so that utilization is equal in all regions, if all failure domains had as many callers. It is
 * corrected as soon as load is measured.
 */
function evenAwayShare(
    regionOfDomain: ReadonlyMap<string, string>,
    ownRegion: string,
    loads: ReadonlyMap<string, RegionLoad>
): number {
    const regions = [...regionOfDomain.values()];
    const callerShare = regions.filter(region => region === ownRegion).length / Math.max(1, regions.length);
    const allSlots = [...loads.values()].reduce((sum, load) => sum + load.slots, 0);
    const slotShare = (loads.get(ownRegion)?.slots ?? 0) / Math.max(1, allSlots);
    return callerShare > 0 ? Math.max(0, 1 - slotShare / callerShare) : 0;
}
