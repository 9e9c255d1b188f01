import { type ByteWindow, makeByteWindow } from "@endivebridge/core";
import { monotonicMillis } from "@endivebridge/shared";
import type { Context, ServiceState } from "./Context";
import type { Peer } from "./Peer";
import type { SteeringRequest } from "./SteeringRequest";

// Requests of one region and answers to the other's share a direction; the rest is for all other traffic.
const usedShareOfLink = 0.4;
const headBytes = 1_000;
const answerWeight = 0.1;

/** Bytes that this instance's forwarded requests cost on the links between regions. */
export interface LinkUse {
    readonly windows: Map<string, ByteWindow>;
}

/** Makes the use of links of an instance that forwarded nothing. */
export function makeLinkUse(): LinkUse {
    return { windows: new Map() };
}

function linkRate(context: Context, from: string, to: string): number | undefined {
    const links = context.configuration.read()?.document.links ?? [];
    return links.find(link => link.from === from && link.to === to)?.bytesPerSecond;
}

function windowOf(use: LinkUse, name: string): ByteWindow {
    const known = use.windows.get(name) ?? makeByteWindow();
    use.windows.set(name, known);
    return known;
}

function charge(context: Context, from: string, to: string, bytes: number): boolean {
    const rate = linkRate(context, from, to);
    if (rate === undefined) {
        return true;
    }
    const own = context.settings.region;
    const sharing = Math.max(1, context.instances.read().entries.filter(entry => entry.region === own).length);
    const share = (rate * usedShareOfLink) / sharing;
    return windowOf(context.linkUse, `${from}>${to}`).tryAdd(monotonicMillis(), bytes, share);
}

/** Takes in the size of an answer, for the guess of the next one's. */
export function noteAnswerBytes(service: ServiceState, bytes: number): void {
    service.answerBytes.mean += answerWeight * (bytes - service.answerBytes.mean);
}

/** Whether the links between two regions have room for a request and its likely answer; counts it if so. */
export function mayCross(context: Context, service: ServiceState, peer: Peer, request: SteeringRequest): boolean {
    const own = context.settings.region;
    return peer.region === own
        || (charge(context, own, peer.region, headBytes + request.body.length)
            && charge(context, peer.region, own, headBytes + service.answerBytes.mean));
}
