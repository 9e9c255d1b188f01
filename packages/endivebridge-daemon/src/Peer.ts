import type { Client } from "@connectrpc/connect";
import type { PeerService } from "@endivebridge/protocol";

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
    heardAtMillis: number;
    /** Monotonic time at which this instance last promised to leave the peer's slots alone. */
    promisedAtMillis: number;
    /** Whether the latest heartbeat to it failed. */
    failing: boolean;
    readonly loads: Map<string, PeerLoad>;
    readonly close: () => void;
}
