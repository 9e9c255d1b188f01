import type { Either } from "purify-ts";
import type { EventLog } from "./EventLog";
import type { SnapshotSource } from "./SnapshotTransfer";
import type { StateSnapshot } from "./StateSnapshot";

/** Fetches a newer configuration from a peer when the store does not deliver it. */
export interface ConfigurationCatchUp {
    /** Records the configuration version that a peer has in force. */
    readonly recordPeerVersion: (peer: SnapshotSource, version: number, nowMillis: number) => void;
}

/** Own version, transfer from a peer, and where its configuration goes. */
export interface ConfigurationCatchUpParts {
    /** Version of the configuration in force; undefined before the first. */
    readonly ownVersion: () => number | undefined;
    readonly fetchSnapshot: (source: SnapshotSource) => Promise<Either<string, StateSnapshot>>;
    readonly applyConfiguration: (snapshot: StateSnapshot) => void;
    readonly log: EventLog;
}

/** The store delivers a configuration within this time after a peer has it, unless it has lost the configuration. */
const storeDeliveryMillis = 1_500;

/**
 * Creates the catch-up of one instance. A store that has returned from a copy holds an older configuration until
 * operators write the newer one again; an instance that starts meanwhile reads the older one, which its peers replaced.
 */
export function makeConfigurationCatchUp(parts: ConfigurationCatchUpParts): ConfigurationCatchUp {
    /** Version at which this instance stays while a peer has a newer one, and since when. */
    let behind: { readonly ownVersion: number; readonly sinceMillis: number; } | undefined;
    let isFetching = false;

    const fetchFrom = async (peer: SnapshotSource, version: number): Promise<void> => {
        isFetching = true;
        const snapshot = await parts.fetchSnapshot(peer);
        isFetching = false;
        parts.log.info(
            "configuration",
            { source: peer.name, peerVersion: version, detail: snapshot.swap().orDefault("fetched") },
            "a peer has a newer configuration than the store"
        );
        snapshot.ifRight(parts.applyConfiguration);
    };

    return {
        recordPeerVersion: (peer, version, nowMillis) => {
            const ownVersion = parts.ownVersion();
            if (ownVersion === undefined || version <= ownVersion) {
                return;
            }
            if (behind?.ownVersion !== ownVersion) {
                behind = { ownVersion, sinceMillis: nowMillis };
            }
            if (nowMillis - behind.sinceMillis >= storeDeliveryMillis && !isFetching) {
                behind = { ownVersion, sinceMillis: nowMillis };
                void fetchFrom(peer, version);
            }
        }
    };
}
