import { type ColdLimit, makeColdLimit } from "./ColdLimit";
import { hashText } from "./Hash";

/** What a backend server, or the platform on its behalf, says of itself. */
export interface BackendServer {
    readonly id: string;
    readonly service: string;
    readonly host: string;
    readonly port: number;
    readonly failureDomain: string;
    readonly region: string;
    readonly slots: number;
    readonly isLeaving: boolean;
    /** How much longer the server stays cold, counted from when this was learned. */
    readonly coldRemainingMillis: number;
    /** Start of this incarnation on the server's own wall clock; only compared with others of the same id. */
    readonly bornEpochMillis: number;
}

/** A backend server with what this instance knows of its load and health. */
export interface TrackedServer {
    server: BackendServer;
    readonly hash: number;
    readonly coldLimit: ColdLimit;
    ownInFlight: number;
    /** Requests in flight from other instances, as they last said. */
    peersInFlight: number;
    /** Time that work takes at present relative to usual; 1 is usual. */
    slowness: number;
    slownessAtMillis: number;
    coldUntilMillis: number;
    /** After failed connections the server is passed over until then. */
    avoidUntilMillis: number;
    failedConnections: number;
    /** Share of recent requests that the server failed or rejected. */
    failureShare: number;
}

/** The backend servers that this instance may use, by id and by service. */
export interface ServerPool {
    readonly get: (id: string) => TrackedServer | undefined;
    /** The same list until a server comes or goes. */
    readonly ofService: (service: string) => readonly TrackedServer[];
    readonly all: () => Iterable<TrackedServer>;
    readonly size: () => number;
    /** Takes in a server; a new incarnation under a known id starts with nothing known of it. */
    readonly upsert: (server: BackendServer, nowMillis: number) => TrackedServer;
    readonly remove: (id: string) => TrackedServer | undefined;
}

const emptyServerList: readonly TrackedServer[] = [];

/** Makes an empty pool. */
export function makeServerPool(): ServerPool {
    const byId = new Map<string, TrackedServer>();
    const byService = new Map<string, TrackedServer[]>();

    const removeFromService = (tracked: TrackedServer) => {
        const { service } = tracked.server;
        const remaining = (byService.get(service) ?? []).filter(other => other !== tracked);
        if (remaining.length === 0) {
            byService.delete(service);
        }
        else {
            byService.set(service, remaining);
        }
    };

    const addToService = (tracked: TrackedServer) => {
        const { service } = tracked.server;
        byService.set(service, [...byService.get(service) ?? [], tracked]);
    };

    const makeTrackedServer = (server: BackendServer, nowMillis: number): TrackedServer => ({
        server,
        hash: hashText(server.id),
        coldLimit: makeColdLimit(nowMillis),
        ownInFlight: 0,
        peersInFlight: 0,
        slowness: 1,
        slownessAtMillis: nowMillis,
        coldUntilMillis: nowMillis + server.coldRemainingMillis,
        avoidUntilMillis: 0,
        failedConnections: 0,
        failureShare: 0
    });

    const isSameIncarnation = (known: BackendServer, server: BackendServer): boolean =>
        known.service === server.service && known.bornEpochMillis === server.bornEpochMillis
        && known.host === server.host && known.port === server.port;

    return {
        get: id => byId.get(id),
        ofService: service => byService.get(service) ?? emptyServerList,
        all: () => byId.values(),
        size: () => byId.size,
        upsert: (server, nowMillis) => {
            const known = byId.get(server.id);
            if (known !== undefined && isSameIncarnation(known.server, server)) {
                // Requests in flight hold the tracked server, so it is updated in place.
                const coldUntilMillis = Math.max(known.coldUntilMillis, nowMillis + server.coldRemainingMillis);
                return Object.assign(known, { server, coldUntilMillis });
            }
            if (known !== undefined) {
                removeFromService(known);
            }
            const tracked = makeTrackedServer(server, nowMillis);
            byId.set(server.id, tracked);
            addToService(tracked);
            return tracked;
        },
        remove: id => {
            const known = byId.get(id);
            if (known !== undefined) {
                byId.delete(id);
                removeFromService(known);
            }
            return known;
        }
    };
}
