import { monotonicMillis } from "@endivebridge/shared";
import { type BackendServer, makeRouteTable, type ServerPool, type TrafficConfiguration } from "@endivebridge/traffic";
import type { ConfigurationInForce } from "./CallerServer";
import type { EventLog } from "./EventLog";
import type { SnapshotSource } from "./SnapshotTransfer";
import { configurationOf, makeStateSnapshot, type StateSnapshot } from "./StateSnapshot";

/** Latest configuration, backend servers and evacuations that this instance has received. */
export interface KnownState {
    /** Applies a configuration unless its version is the current one or older. */
    readonly applyConfiguration: (configuration: TrafficConfiguration) => void;
    /** Adds a server or updates its record. */
    readonly upsertServer: (server: BackendServer) => void;
    readonly removeServer: (id: string, reason: string) => void;
    readonly setEvacuated: (failureDomain: string, isEvacuated: boolean) => void;
    /** Applies the snapshot of a sibling; evacuations only while there is no configuration. */
    readonly applySnapshot: (beliefs: StateSnapshot, source: SnapshotSource) => void;

    readonly inForce: () => ConfigurationInForce | undefined;
    readonly serverIds: () => readonly string[];
    readonly isEvacuated: (failureDomain: string) => boolean;
    readonly evacuatedDomains: () => readonly string[];
    /** Whether a configuration and at least one backend server are known. */
    readonly isStateComplete: () => boolean;
    /** Snapshot for a sibling; undefined while this instance's own state is incomplete. */
    readonly makeSnapshot: () => StateSnapshot | undefined;
}

/** Server pool that the state fills, callbacks for its changes, and log. */
export interface KnownStateParts {
    readonly pool: ServerPool;
    readonly onConfiguration: (configuration: TrafficConfiguration) => void;
    readonly onServerUpserted: (server: BackendServer) => void;
    readonly onServerRemoved: (id: string) => void;
    readonly log: EventLog;
}

/** Creates a state without configuration, servers and evacuations. */
export function makeKnownState(parts: KnownStateParts): KnownState {
    const { pool, log } = parts;
    const evacuated = new Set<string>();
    let inForce: ConfigurationInForce | undefined;

    const applyConfiguration = (configuration: TrafficConfiguration) => {
        const current = inForce?.configuration.version;
        if (current !== undefined && current >= configuration.version) {
            return;
        }
        inForce = {
            configuration,
            routes: makeRouteTable(configuration.routes),
            appliedMillis: monotonicMillis()
        };
        log.info("configuration", {
            version: configuration.version,
            previous: current,
            routes: configuration.routes.length,
            services: configuration.services.size
        }, "configuration in force");
        parts.onConfiguration(configuration);
    };

    const upsertServer = (server: BackendServer) => {
        const known = pool.get(server.id)?.server;
        pool.upsert(server, monotonicMillis());
        if (known === undefined || known.isLeaving !== server.isLeaving) {
            log.info("server", { ...server }, server.isLeaving ? "server is leaving" : "server available");
        }
        parts.onServerUpserted(server);
    };

    /** Marks the servers of a failure domain as cold, since they received no requests during the evacuation. */
    const markCold = (failureDomain: string) => {
        const nowMillis = monotonicMillis();
        for (const tracked of pool.all()) {
            if (tracked.server.failureDomain === failureDomain) {
                const service = inForce?.configuration.services.get(tracked.server.service);
                const coldMillis = service?.coldStartMillis ?? 0;
                tracked.coldUntilMillis = Math.max(tracked.coldUntilMillis, nowMillis + coldMillis);
            }
        }
    };

    const setEvacuated = (failureDomain: string, isEvacuated: boolean) => {
        if (evacuated.has(failureDomain) === isEvacuated) {
            return;
        }
        if (isEvacuated) {
            evacuated.add(failureDomain);
        }
        else {
            evacuated.delete(failureDomain);
            markCold(failureDomain);
        }
        log.info("evacuation", { failureDomain, isEvacuated }, "evacuation changed");
    };

    const isStateComplete = () => inForce !== undefined && pool.size() > 0;

    return {
        applyConfiguration,
        upsertServer,
        removeServer: (id, reason) => {
            if (pool.remove(id) !== undefined) {
                log.info("server", { id, reason }, "server gone");
                parts.onServerRemoved(id);
            }
        },
        setEvacuated,
        applySnapshot: (beliefs, { name }) => {
            log.info("beliefs", {
                source: name,
                version: beliefs.version,
                servers: beliefs.servers.length,
                evacuatedDomains: beliefs.evacuatedDomains
            }, "state initialized from a sibling's snapshot");
            // An instance that has read a configuration has read the evacuations too, and more recently than the peer.
            if (inForce === undefined) {
                beliefs.evacuatedDomains.forEach(failureDomain => setEvacuated(failureDomain, true));
            }
            beliefs.servers.forEach(upsertServer);
            applyConfiguration(configurationOf(beliefs));
        },
        inForce: () => inForce,
        serverIds: () => [...pool.all()].map(tracked => tracked.server.id),
        isEvacuated: failureDomain => evacuated.has(failureDomain),
        evacuatedDomains: () => [...evacuated],
        isStateComplete,
        makeSnapshot: () => {
            if (inForce === undefined || !isStateComplete()) {
                return undefined;
            }
            const nowMillis = monotonicMillis();
            const servers = [...pool.all()].map(({ server, coldUntilMillis }) => ({
                ...server,
                coldRemainingMillis: Math.max(0, coldUntilMillis - nowMillis)
            }));
            return makeStateSnapshot(inForce.configuration, servers, evacuated);
        }
    };
}
