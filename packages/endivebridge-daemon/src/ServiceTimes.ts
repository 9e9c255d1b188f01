import { lateMedianMultiple, medianLatencyMillis } from "@endivebridge/core";
import type { Context, ServiceState } from "./Context";

const defaultServiceMillis = 20;
const hedgeQuantile = 0.95;
const minHedgeDelayMillis = 5;
// Below this threshold, a pause of this process looks like a late answer.
const minLateThresholdMillis = 25;

/** Median service time over the servers on which this instance owns slots. */
export function ownServiceMillis(service: ServiceState): number | undefined {
    return medianLatencyMillis(service.pool.servers().map(owned => owned.latency));
}

/**
 * Typical service time: the median of the values measured by this instance and its region's peers, so that an instance
 * with one slow server doesn't take that server's time as typical.
 */
export function typicalServiceMillis(context: Context, service: ServiceState): number {
    const peers = [...context.peers.values()]
        .filter(peer => peer.region === context.settings.region && !peer.failing)
        .map(peer => peer.loads.get(service.service)?.serviceMillis);
    const measuredMillis = [ownServiceMillis(service), ...peers].filter(millis => millis !== undefined);
    measuredMillis.sort((left, right) => left - right);
    return measuredMillis[Math.floor((measuredMillis.length - 1) / 2)] ?? defaultServiceMillis;
}

/** Time after which an answer counts as late: a multiple of the typical service time. */
export function computeLateThresholdMillis(context: Context, service: ServiceState): number {
    return Math.max(minLateThresholdMillis, typicalServiceMillis(context, service) * lateMedianMultiple);
}

/** Delay before a request is hedged on a second server; undefined until enough answers have been recorded. */
export function computeHedgeDelayMillis(context: Context, service: ServiceState): number | undefined {
    const quantileMillis = service.answerTimeQuantiles.at(hedgeQuantile);
    if (quantileMillis === undefined) {
        return undefined;
    }
    // The quantile includes the answers of slow servers; the late threshold limits their effect on the delay.
    return Math.max(minHedgeDelayMillis, Math.min(quantileMillis, computeLateThresholdMillis(context, service)));
}

/** Whether a server with `slots` may be set aside: the configured share applies to all known slots of the region. */
export function maySetAside(context: Context, service: ServiceState, slots: number): boolean {
    const share = context.configuration.read()?.document.services[service.service]?.setAsideShare ?? 0;
    let totalSlots = service.pool.usableSlots();
    let setAsideSlots = service.pool.setAsideSlots() + slots;
    for (const peer of context.peers.values()) {
        const load = peer.loads.get(service.service);
        if (peer.region === context.settings.region && load !== undefined) {
            totalSlots += load.ownedSlots;
            setAsideSlots += load.setAsideSlots;
        }
    }
    return setAsideSlots <= totalSlots * share;
}
