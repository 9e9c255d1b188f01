import { type Client, createClient } from "@connectrpc/connect";
import { createConnectTransport, Http2SessionManager } from "@connectrpc/connect-node";
import type { ListedEntryInstance } from "@endivebridge/platform";
import { PeerService } from "@endivebridge/protocol";
import type { Context } from "./Context";

const pingIntervalMillis = 10_000;
const pingTimeoutMillis = 2_000;

/** Request header that carries the key by which entry instances authenticate to each other. */
export const peerKeyHeader = "endivebridge-peer-key";

/** Request header with the size of the body that a call carries, from which its memory is claimed. */
export const bodyBytesHeader = "endivebridge-body-bytes";

/** Response header of a call that a peer has rejected before it read the message. */
export const notRunHeader = "endivebridge-not-run";

/** Load that a peer last reported for one service. */
export interface PeerLoad {
    freeSlots: number;
    /** Requests from other regions that the peer may still start in the current second. */
    readonly freeInflow: number;
    readonly ownedSlots: number;
    readonly waiting: number;
    readonly setAsideSlots: number;
    /** Requests per second that the peer receives from callers, by the caller's region. */
    readonly sourceRates: ReadonlyMap<string, number>;
    /** Median service time of the peer's backend servers; undefined until there are samples. */
    readonly serviceMillis: number | undefined;
}

/** Client connection to another entry instance, with the state it last reported. */
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
    /** Monotonic time of the last heartbeat received or answered; 0 before the first. */
    lastContactAtMillis: number;
    /** Monotonic time at which this instance last promised not to expel the peer for the length of a lease. */
    leasePromisedAtMillis: number;
    /** Whether the latest heartbeat to the peer failed. */
    failing: boolean;
    readonly loads: Map<string, PeerLoad>;
    /** Aborts the connection, which may have become unresponsive; the next call opens a new one. */
    readonly reconnect: () => void;
    readonly close: () => void;
}

/** Creates the client of a peer. Its HTTP/2 connection is opened on first use and replaced when a PING times out. */
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
