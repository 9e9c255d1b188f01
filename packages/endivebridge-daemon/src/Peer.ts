import { type Client, createClient } from "@connectrpc/connect";
import { createConnectTransport, Http2SessionManager } from "@connectrpc/connect-node";
import type { ListedEntryInstance } from "@endivebridge/platform";
import { PeerService } from "@endivebridge/protocol";
import type { Context } from "./Context";

const pingIntervalMillis = 10_000;
const pingTimeoutMillis = 2_000;

/** Header in which entry instances show each other their key. */
export const peerKeyHeader = "endivebridge-peer-key";

/** What a peer last said of one service. */
export interface PeerLoad {
    freeSlots: number;
    /** Requests from other regions that it may still begin in the current second. */
    readonly freeInflow: number;
    readonly ownedSlots: number;
    readonly waiting: number;
    readonly setAsideSlots: number;
    /** Requests a second that it gets from callers, by their region. */
    readonly sourceRates: ReadonlyMap<string, number>;
    /** Median service time of the peer's servers; undefined before there are samples. */
    readonly serviceMillis: number | undefined;
}

/** Another entry instance, as this one knows it. */
export interface Peer {
    readonly instance: string;
    readonly failureDomain: string;
    readonly region: string;
    readonly peerAddress: string;
    readonly client: Client<typeof PeerService>;
    incarnation: string;
    configurationVersion: number;
    mintEpoch: number;
    leaving: boolean;
    /** Monotonic time of the last sign of life; 0 before the first. */
    lastContactAtMillis: number;
    /** Monotonic time at which this instance last promised to leave the peer's slots alone. */
    leasePromisedAtMillis: number;
    /** Whether the latest heartbeat to it failed. */
    failing: boolean;
    readonly loads: Map<string, PeerLoad>;
    /** Gives up the connection, which may have gone silent; the next call opens another. */
    readonly reconnect: () => void;
    readonly close: () => void;
}

/** Opens the way to a peer; its HTTP/2 connection is made on first use and renewed when a PING goes unanswered. */
export function makePeer(context: Context, listed: ListedEntryInstance): Peer {
    const baseUrl = `http://${listed.peerAddress}`;
    const sessionManager = new Http2SessionManager(baseUrl, {
        pingIntervalMs: pingIntervalMillis,
        pingTimeoutMs: pingTimeoutMillis,
        idleConnectionTimeoutMs: 60_000
    });
    const transport = createConnectTransport({
        baseUrl,
        httpVersion: "2",
        sessionManager,
        interceptors: [next => request => {
            request.header.set(peerKeyHeader, context.settings.keys.peer);
            return next(request);
        }]
    });
    return {
        instance: listed.instance,
        failureDomain: listed.failureDomain,
        region: listed.region,
        peerAddress: listed.peerAddress,
        client: createClient(PeerService, transport),
        incarnation: "",
        configurationVersion: 0,
        mintEpoch: 0,
        leaving: listed.state === "leaving",
        lastContactAtMillis: 0,
        leasePromisedAtMillis: 0,
        failing: false,
        loads: new Map(),
        reconnect: () => sessionManager.abort(),
        close: () => sessionManager.abort()
    };
}
