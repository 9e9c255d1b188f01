/** Remembers requests under which backend servers died. */
export interface PoisonList {
    /**
     * Counts a server that died under a request; true once the request is quarantined. The first death makes it a
     * suspect; a further one counts only where it ran apart from other suspects.
     */
    readonly strike: (fingerprint: string, server: string, wasIsolated: boolean, nowMillis: number) => boolean;
    /** Whether a server died under the request, so that it must not run beside other suspects. */
    readonly isSuspect: (fingerprint: string, nowMillis: number) => boolean;
    readonly isQuarantined: (fingerprint: string, nowMillis: number) => boolean;
    /** A suspect that ran well is none any more. */
    readonly clear: (fingerprint: string) => void;
    /** Takes in what a peer saw. */
    readonly learn: (struck: StruckRequest, nowMillis: number) => void;
    /** Servers that count against a request. */
    readonly serversOf: (fingerprint: string) => readonly string[];
    readonly quarantined: (nowMillis: number) => readonly StruckRequest[];
    readonly isEmpty: () => boolean;
}

/** A request and the servers that died under it. */
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

/** Makes an empty list; it is bounded, the oldest entries go first. */
export function makePoisonList(): PoisonList {
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
        strike: (fingerprint, server, ranApart, nowMillis) => {
            const entry = renewEntry(fingerprint, nowMillis);
            if (ranApart || entry.servers.size === 0) {
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
        learn: ({ fingerprint, servers }, nowMillis) => {
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
