import { type DrainProgress, drainProgress } from "@endivebridge/core";
import type { Drain } from "@endivebridge/settings";
import type { Context } from "./Context";
import { lookupHash } from "./LookupHash";

const minuteMillis = 60_000;

/** Requests a second that a region's callers send to any instance heard of. */
export function regionDemand(context: Context, service: string, region: string): number {
    let demand = context.services.get(service)?.meter.rates().get(region) ?? 0;
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

function receivingCap(context: Context, service: string, drained: string): number | undefined {
    const regions = context.configuration.read()?.document.regions ?? {};
    const caps = receivingRegions(context, drained).map(region => regions[region]?.inflowCapRequestsPerSecond[service]);
    return caps.some(cap => cap === undefined) ? undefined : caps.reduce<number>((sum, cap) => sum + (cap ?? 0), 0);
}

function drainOf(context: Context, region: string): Drain | undefined {
    return context.configuration.read()?.document.drains.find(drain => drain.region === region);
}

/** How far the drain of a region goes now for a service; undefined where none is ordered. */
export function currentDrain(context: Context, service: string, region: string): DrainProgress | undefined {
    const drain = drainOf(context, region);
    if (drain === undefined || receivingRegions(context, region).length === 0) {
        return undefined;
    }
    const elapsedMinutes = (Date.now() - drain.startedAtEpochMillis) / minuteMillis;
    return drainProgress({
        plannedShare: elapsedMinutes * drain.sharePerMinute,
        demandRequestsPerSecond: regionDemand(context, service, region),
        capRequestsPerSecond: receivingCap(context, service, region)
    });
}

/** Region that a client is sent to: its own, or another while its own is drained. */
export function steeredRegion(context: Context, service: string, client: string, home: string): string {
    const progress = currentDrain(context, service, home);
    if (progress === undefined || lookupHash(`drain/${client}`) >= progress.share) {
        return home;
    }
    // Regions take callers in proportion to their caps, so that all fill up together.
    const regions = context.configuration.read()?.document.regions ?? {};
    const ranked = receivingRegions(context, home).map(region => {
        const weight = regions[region]?.inflowCapRequestsPerSecond[service] ?? 1;
        return { region, score: weight / -Math.log(lookupHash(`drain/${client}/${region}`) || Number.EPSILON) };
    });
    ranked.sort((left, right) => right.score - left.score);
    return ranked[0]?.region ?? home;
}

/** All ordered drains with their progress, for operators. */
export function describeDrains(context: Context) {
    const services = [...context.services.keys()];
    return (context.configuration.read()?.document.drains ?? []).flatMap(drain =>
        services.map(service => {
            const progress = currentDrain(context, service, drain.region);
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
