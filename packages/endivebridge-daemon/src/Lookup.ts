import {
    formatOperationPrefix,
    type LookupCandidate,
    type LookupRequest,
    orderInstances,
    type SteeringError,
    steeringError
} from "@endivebridge/core";
import { Effect } from "effect";
import { randomBytes } from "node:crypto";
import type { Context } from "./Context";
import { selectClientRegion } from "./Drains";
import { lookupHash } from "./LookupHash";

const mostInstances = 4;

/** An entry instance that a client may use, with its address and location. */
export interface LookupInstance {
    readonly instance: string;
    readonly address: string;
    readonly region: string;
    readonly failureDomain: string;
    /** Prefix for operation ids that this instance owns. */
    readonly operationPrefix: string;
}

/** Answer to a look-up: entry instances in the order in which the client should try them. */
export interface LookupAnswer {
    readonly service: string;
    readonly region: string;
    readonly instances: readonly LookupInstance[];
    readonly timeToLiveMillis: number;
    readonly configurationVersion: number;
}

function sum(values: Iterable<number>): number {
    return [...values].reduce((sum, value) => sum + value, 0);
}

/** All listed entry instances with their state and load for a service, as candidates for a look-up. */
export function lookupCandidates(context: Context, service: string): readonly LookupCandidate[] {
    return context.instances.read().entries.map(entry => {
        const isSelf = entry.instance === context.settings.instance;
        const peer = context.peers.get(entry.instance);
        const load = peer?.loads.get(service);
        const ownState = context.services.get(service);
        const usableSlots = (isSelf ? ownState?.pool.usableSlots() : load?.ownedSlots) ?? 0;
        const rates = isSelf ? ownState?.requestRates.rates() : load?.sourceRates;
        return {
            instance: entry.instance,
            failureDomain: entry.failureDomain,
            region: entry.region,
            address: entry.callerAddress,
            leaving: entry.state === "leaving" || (isSelf ? context.shutdown.read() : peer?.leaving ?? true),
            isReachable: isSelf || (peer !== undefined && !peer.failing && peer.incarnation !== ""),
            usableSlots,
            load: usableSlots === 0 ? 0 : sum(rates?.values() ?? []) / usableSlots
        };
    });
}

/** Region of a client's address by the configured address blocks; the own region where no block covers it. */
export function homeRegion(context: Context, client: string): string {
    return context.clientBlocks.current.regionOf(client) ?? context.settings.region;
}

/** Makes the query that orders the candidates; the region of the client takes drains into account. */
export function makeLookupQuery(context: Context, service: string, client: string): LookupRequest {
    const clientRegion = homeRegion(context, client);
    return { client, service, homeRegion: selectClientRegion(context, service, client, clientRegion), mostInstances };
}

function makeOperationPrefix(context: Context, instance: string): string {
    const isSelf = instance === context.settings.instance;
    const peer = context.peers.get(instance);
    return formatOperationPrefix({
        instance,
        incarnation: isSelf ? context.incarnation : peer?.incarnation ?? "",
        mintEpoch: isSelf ? context.journal.currentEpoch() : peer?.mintEpoch ?? 0,
        random: randomBytes(6).toString("hex")
    });
}

/** Selects the entry instances for a client of a service; the time to live is jittered by a quarter either way. */
export function lookUp(context: Context, service: string, client: string): Effect.Effect<LookupAnswer, SteeringError> {
    const configuration = context.configuration.read();
    if (configuration === undefined) {
        return Effect.fail(steeringError("notReady"));
    }
    if (!Object.hasOwn(configuration.document.services, service)) {
        return Effect.fail(steeringError("unknownService", service.slice(0, 64)));
    }
    const region = homeRegion(context, client);
    const lookupQuery = makeLookupQuery(context, service, client);
    const orderedInstances = orderInstances(lookupCandidates(context, service), lookupQuery, lookupHash);
    if (orderedInstances.length === 0) {
        return Effect.fail(steeringError("notReady", "no entry instance is known"));
    }
    const meanTimeToLiveMillis = context.settings.timing.lookupLifeMillis;
    return Effect.succeed({
        service,
        region,
        instances: orderedInstances.map(({ instance, address, region, failureDomain }) => ({
            instance,
            address,
            region,
            failureDomain,
            operationPrefix: makeOperationPrefix(context, instance)
        })),
        timeToLiveMillis: Math.round(meanTimeToLiveMillis * (0.75 + Math.random() * 0.5)),
        configurationVersion: configuration.version
    });
}
