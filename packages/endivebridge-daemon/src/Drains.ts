import { type DrainProgress, drainProgress } from "@endivebridge/core";
import type { Drain } from "@endivebridge/settings";
import type { Context } from "./Context";
import { lookupHash } from "./LookupHash";

const millisPerMinute = 60_000;

/** Requests per second that a region's callers send to this instance and to all peers that aren't failing. */
export function regionDemand(context: Context, service: string, region: string): number {
    let demand = context.services.get(service)?.requestRates.rates().get(region) ?? 0;
    for (const peer of context.peers.values()) {
        demand += peer.failing ? 0 : peer.loads.get(service)?.sourceRates.get(region) ?? 0;
    }
    return demand;
}

function receivingRegions(context: Context, drained: string): readonly string[] {
    const document = context.configuration.read()?.document;
    const draining = new Set(document?.drains.map(drain => drain.region));
    return Object.keys(document?.regions ?? {}).filter(region => region !== drained && !draining.has(region));
}

function combinedReceivingCap(context: Context, service: string, drained: string): number | undefined {
    const regions = context.configuration.read()?.document.regions ?? {};
    const caps = receivingRegions(context, drained).map(region => regions[region]?.inflowCapRequestsPerSecond[service]);
    return caps.some(cap => cap === undefined) ? undefined : caps.reduce<number>((sum, cap) => sum + (cap ?? 0), 0);
}

function findDrain(context: Context, region: string): Drain | undefined {
    return context.configuration.read()?.document.drains.find(drain => drain.region === region);
}

/**
 * Current progress of a region's drain for a service; undefined where no drain is configured or no other region can
 * receive the callers.
 */
export function currentDrainProgress(context: Context, service: string, region: string): DrainProgress | undefined {
    const drain = findDrain(context, region);
    if (drain === undefined || receivingRegions(context, region).length === 0) {
        return undefined;
    }
    const elapsedMinutes = (Date.now() - drain.startedAtEpochMillis) / millisPerMinute;
    return drainProgress({
        plannedShare: elapsedMinutes * drain.sharePerMinute,
        demandRequestsPerSecond: regionDemand(context, service, region),
        capRequestsPerSecond: combinedReceivingCap(context, service, region)
    });
}

/** Region to which a client is directed: its own, or another one while its own is drained. */
export function selectClientRegion(context: Context, service: string, client: string, clientRegion: string): string {
    const progress = currentDrainProgress(context, service, clientRegion);
    if (progress === undefined || lookupHash(`drain/${client}`) >= progress.share) {
        return clientRegion;
    }
    // Weighted rendezvous hashing: regions receive callers in proportion to their caps, so that all fill up together.
    const regions = context.configuration.read()?.document.regions ?? {};
    const rankedRegions = receivingRegions(context, clientRegion).map(region => {
        const weight = regions[region]?.inflowCapRequestsPerSecond[service] ?? 1;
        return { region, score: weight / -Math.log(lookupHash(`drain/${client}/${region}`) || Number.EPSILON) };
    });
    rankedRegions.sort((left, right) => right.score - left.score);
    return rankedRegions[0]?.region ?? clientRegion;
}

/** All configured drains with their progress per service, for operators. */
export function describeDrains(context: Context) {
    const services = [...context.services.keys()];
    return (context.configuration.read()?.document.drains ?? []).flatMap(drain =>
        services.map(service => {
            const progress = currentDrainProgress(context, service, drain.region);
            return {
                region: drain.region,
                service,
                movedShare: progress?.share ?? 0,
                heldBy: progress?.heldBy ?? "no region can take its callers",
                demandRequestsPerSecond: Math.round(regionDemand(context, service, drain.region) * 10) / 10
            };
        })
    );
}
