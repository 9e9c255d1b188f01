/** Quarantines requests that crash backend servers. */
export interface QuarantineList {
    /**
     * Records a server that crashed while running a request; true once the request is quarantined. The first crash
     * makes the request a suspect; later ones count only if it ran isolated from other suspects.
     */
    readonly recordCrash: (fingerprint: string, server: string, wasIsolated: boolean, nowMillis: number) => boolean;
    /** Whether a server crashed while running the request, so that it must not run beside other suspects. */
    readonly isSuspect: (fingerprint: string, nowMillis: number) => boolean;
    readonly isQuarantined: (fingerprint: string, nowMillis: number) => boolean;
    /** Removes a suspect after a successful run. */
    readonly clear: (fingerprint: string) => void;
    /** Merges the crashes that a peer recorded. */
    readonly merge: (struck: StruckRequest, nowMillis: number) => void;
    /** Servers that count against a request. */
    readonly serversOf: (fingerprint: string) => readonly string[];
    readonly quarantined: (nowMillis: number) => readonly StruckRequest[];
    readonly isEmpty: () => boolean;
}

/** Request fingerprint and the servers that crashed while running it. */
export interface StruckRequest {
    readonly fingerprint: string;
    readonly servers: readonly string[];
}

const minQuarantineServers = 2;
const entryLifetimeMillis = 300_000;
const maxEntries = 1_000;

interface QuarantineEntry {
    readonly servers: Set<string>;
    untilMillis: number;
}

/** Creates an empty list of at most 1,000 entries; the least recently updated one is evicted first. */
export function makeQuarantineList(): QuarantineList {
    const entries = new Map<string, QuarantineEntry>();

    const findUnexpired = (fingerprint: string, nowMillis: number): QuarantineEntry | undefined => {
        const entry = entries.get(fingerprint);
        return entry !== undefined && entry.untilMillis > nowMillis ? entry : undefined;
    };

    const renewEntry = (fingerprint: string, nowMillis: number): QuarantineEntry => {
        const entry = findUnexpired(fingerprint, nowMillis) ?? { servers: new Set<string>(), untilMillis: 0 };
        entry.untilMillis = nowMillis + entryLifetimeMillis;
        entries.delete(fingerprint);
        entries.set(fingerprint, entry);
        if (entries.size > maxEntries) {
            entries.delete(entries.keys().next().value!);
        }
        return entry;
    };

    return {
        recordCrash: (fingerprint, server, wasIsolated, nowMillis) => {
            const entry = renewEntry(fingerprint, nowMillis);
            if (wasIsolated || entry.servers.size === 0) {
                entry.servers.add(server);
            }
            return entry.servers.size >= minQuarantineServers;
        },
        isSuspect: (fingerprint, nowMillis) => findUnexpired(fingerprint, nowMillis) !== undefined,
        isQuarantined: (fingerprint, nowMillis) =>
            (findUnexpired(fingerprint, nowMillis)?.servers.size ?? 0) >= minQuarantineServers,
        clear: fingerprint => {
            entries.delete(fingerprint);
        },
        merge: ({ fingerprint, servers }, nowMillis) => {
            const entry = renewEntry(fingerprint, nowMillis);
            servers.forEach(server => entry.servers.add(server));
        },
        serversOf: fingerprint => [...entries.get(fingerprint)?.servers ?? []],
        quarantined: nowMillis =>
            [...entries]
                .filter(([, entry]) => entry.untilMillis > nowMillis && entry.servers.size >= minQuarantineServers)
                .map(([fingerprint, entry]) => ({ fingerprint, servers: [...entry.servers] })),
        isEmpty: () => entries.size === 0
    };
}
