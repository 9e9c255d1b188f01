import { type ByteWindow, makeByteWindow } from "@endivebridge/core";
import { monotonicMillis } from "@endivebridge/shared";
import type { Context, ServiceState } from "./Context";
import type { Peer } from "./Peer";
import type { SteeringRequest } from "./SteeringRequest";

// Each direction of a link carries one region's requests and the answers to the other's; the rest of its bandwidth is
// left to all other traffic.
const usableLinkShare = 0.4;
const estimatedHeadBytes = 1_000;
const answerBytesWeight = 0.1;

/** Bytes that this instance's forwarded requests used on the links between regions, by link direction. */
export interface LinkUsage {
    readonly windows: Map<string, ByteWindow>;
}

/** Makes an empty record of link usage. */
export function makeLinkUsage(): LinkUsage {
    return { windows: new Map() };
}

function linkBytesPerSecond(context: Context, from: string, to: string): number | undefined {
    const links = context.configuration.read()?.document.links ?? [];
    return links.find(link => link.from === from && link.to === to)?.bytesPerSecond;
}

function getByteWindow(usage: LinkUsage, name: string): ByteWindow {
    const byteWindow = usage.windows.get(name) ?? makeByteWindow();
    usage.windows.set(name, byteWindow);
    return byteWindow;
}

function tryChargeLink(context: Context, from: string, to: string, bytes: number): boolean {
    const linkRate = linkBytesPerSecond(context, from, to);
    if (linkRate === undefined) {
        return true;
    }
    const ownRegion = context.settings.region;
    const sharingInstances = Math.max(
        1,
        context.instances.read().entries.filter(entry => entry.region === ownRegion).length
    );
    const share = (linkRate * usableLinkShare) / sharingInstances;
    return getByteWindow(context.linkUsage, `${from}>${to}`).tryAdd(monotonicMillis(), bytes, share);
}

/** Updates the exponentially weighted average of a service's answer size, which estimates the next answer. */
export function recordAnswerBytes(service: ServiceState, bytes: number): void {
    service.averageAnswerBytes.mean += answerBytesWeight * (bytes - service.averageAnswerBytes.mean);
}

/**
 * Charges a request and its estimated answer to the links between the two regions; false where either direction has no
 * capacity left. A peer in the own region costs nothing.
 */
export function tryChargeLinks(context: Context, service: ServiceState, peer: Peer, request: SteeringRequest): boolean {
    const ownRegion = context.settings.region;
    return peer.region === ownRegion
        || (tryChargeLink(context, ownRegion, peer.region, estimatedHeadBytes + request.body.length)
            && tryChargeLink(context, peer.region, ownRegion, estimatedHeadBytes + service.averageAnswerBytes.mean));
}
