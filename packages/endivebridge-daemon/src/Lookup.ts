import {
    formatOperationPrefix,
    type LookupCandidate,
    type LookupQuestion,
    orderInstances,
    type SteeringError,
    steeringError
} from "@endivebridge/core";
import { Effect } from "effect";
import { randomBytes } from "node:crypto";
import type { Context } from "./Context";
import { steeredRegion } from "./Drains";
import { lookupHash } from "./LookupHash";

const mostInstances = 4;

/** One entry instance in a look-up answer. */
export interface LookupInstance {
    readonly instance: string;
    readonly address: string;
    readonly region: string;
    readonly failureDomain: string;
    /** Prefix of operation ids that this instance owns. */
    readonly operationPrefix: string;
}

/** Answer to a look-up: entry instances in the order of use. */
export interface LookupAnswer {
    readonly service: string;
    readonly region: string;
    readonly instances: readonly LookupInstance[];
    readonly timeToLiveMillis: number;
    readonly configurationVersion: number;
}

function sumOf(values: Iterable<number>): number {
    return [...values].reduce((sum, value) => sum + value, 0);
}

/** Entry instances that a look-up may name. */
export function lookupCandidates(context: Context, service: string): readonly LookupCandidate[] {
    return context.instances.read().entries.map(entry => {
        const isSelf = entry.instance === context.settings.instance;
        const peer = context.peers.get(entry.instance);
        const load = peer?.loads.get(service);
        const own = context.services.get(service);
        const usableSlots = (isSelf ? own?.pool.usableSlots() : load?.ownedSlots) ?? 0;
        const rates = isSelf ? own?.meter.rates() : load?.sourceRates;
        return {
            instance: entry.instance,
            failureDomain: entry.failureDomain,
            region: entry.region,
            address: entry.callerAddress,
            leaving: entry.state === "leaving" || (isSelf ? context.shutdown.read() : peer?.leaving ?? true),
            reachable: isSelf || (peer !== undefined && !peer.failing && peer.incarnation !== ""),
            usableSlots,
            load: usableSlots === 0 ? 0 : sumOf(rates?.values() ?? []) / usableSlots
        };
    });
}

/** Region that a client's address belongs to; the own region where no block covers it. */
export function homeRegion(context: Context, client: string): string {
    return context.clientBlocks.current.regionOf(client) ?? context.settings.region;
}

/** The question that a look-up asks of the candidates. */
export function lookupQuestion(context: Context, service: string, client: string): LookupQuestion {
    const home = homeRegion(context, client);
    return { client, service, homeRegion: steeredRegion(context, service, client, home), mostInstances };
}

function mintPrefix(context: Context, instance: string): string {
    const isSelf = instance === context.settings.instance;
    const peer = context.peers.get(instance);
    return formatOperationPrefix({
        instance,
        incarnation: isSelf ? context.incarnation : peer?.incarnation ?? "",
        mintEpoch: isSelf ? context.journal.currentEpoch() : peer?.mintEpoch ?? 0,
        random: randomBytes(6).toString("hex")
    });
}

/** Answers which entry instances a client should use for a service. */
export function lookUp(context: Context, service: string, client: string): Effect.Effect<LookupAnswer, SteeringError> {
    const configuration = context.configuration.read();
    if (configuration === undefined) {
        return Effect.fail(steeringError("notReady"));
    }
    if (!Object.hasOwn(configuration.document.services, service)) {
        return Effect.fail(steeringError("unknownService", service.slice(0, 64)));
    }
    const region = homeRegion(context, client);
    const question = lookupQuestion(context, service, client);
    const ordered = orderInstances(lookupCandidates(context, service), question, lookupHash);
    if (ordered.length === 0) {
        return Effect.fail(steeringError("notReady", "no entry instance is known"));
    }
    const lifeMillis = context.settings.timing.lookupLifeMillis;
    return Effect.succeed({
        service,
        region,
        instances: ordered.map(({ instance, address, region, failureDomain }) => ({
            instance,
            address,
            region,
            failureDomain,
            operationPrefix: mintPrefix(context, instance)
        })),
        timeToLiveMillis: Math.round(lifeMillis * (0.75 + Math.random() * 0.5)),
        configurationVersion: configuration.version
    });
}
