import { lateFactor, medianLatencyMillis } from "@endivebridge/core";
import type { Context, ServiceState } from "./Context";

const serviceMillisBeforeSamples = 20;
const hedgeQuantile = 0.95;
const shortestHedgeMillis = 5;
// Below this a pause of the process itself looks like a late answer.
const shortestLateMillis = 25;

/** Median service time of the servers that this instance owns slots of. */
export function ownServiceMillis(service: ServiceState): number | undefined {
    return medianLatencyMillis(service.pool.servers().map(owned => owned.latency));
}

/**
 * Service time that is usual for the service: the median of what this instance and its region's peers measure, so
 * that an instance with one slow server does not take it for usual.
 */
export function usualServiceMillis(context: Context, service: ServiceState): number {
    const peers = [...context.peers.values()]
        .filter(peer => peer.region === context.settings.region && !peer.failing)
        .map(peer => peer.loads.get(service.service)?.serviceMillis);
    const known = [ownServiceMillis(service), ...peers].filter(millis => millis !== undefined);
    known.sort((left, right) => left - right);
    return known[Math.floor((known.length - 1) / 2)] ?? serviceMillisBeforeSamples;
}

/** Time after which an answer counts as late. */
export function lateAfterMillis(context: Context, service: ServiceState): number {
    return Math.max(shortestLateMillis, usualServiceMillis(context, service) * lateFactor);
}

/** Time after which a second server is tried; undefined before enough answers came. */
export function hedgeAfterMillis(context: Context, service: ServiceState): number | undefined {
    const learned = service.answerTimes.at(hedgeQuantile);
    if (learned === undefined) {
        return undefined;
    }
    // The learned quantile also holds the slow servers' answers; the usual time bounds what they can do to it.
    return Math.max(shortestHedgeMillis, Math.min(learned, lateAfterMillis(context, service)));
}

/** Whether one more server may be set aside: the declared share counts over all slots seen in the region. */
export function maySetAside(context: Context, service: ServiceState, slots: number): boolean {
    const share = context.configuration.read()?.document.services[service.service]?.setAsideShare ?? 0;
    let total = service.pool.usableSlots();
    let aside = service.pool.setAsideSlots() + slots;
    for (const peer of context.peers.values()) {
        const load = peer.loads.get(service.service);
        if (peer.region === context.settings.region && load !== undefined) {
            total += load.ownedSlots;
            aside += load.setAsideSlots;
        }
    }
    return aside <= total * share;
}
