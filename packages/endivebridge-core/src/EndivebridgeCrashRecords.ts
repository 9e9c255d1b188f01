/** Crash of a backend server while it had a request. */
export interface Crash {
    /** Name of the server, with its incarnation if that is known. */
    readonly server: string;
    readonly sentMillis: number;
    readonly crashedMillis: number;
    /** Whether the request was the only one that can have caused the crash. */
    readonly isIsolated: boolean;
}

/** Crashes of one request as instances report them to each other; ages replace times, as there is no common clock. */
export interface CrashReport {
    readonly fingerprint: string;
    readonly crashes: readonly {
        readonly server: string;
        readonly sentAgeMillis: number;
        readonly crashAgeMillis: number;
        readonly isIsolated: boolean;
    }[];
    /** Age of the last run that ended with an answer; crashes before it do not count. */
    readonly clearedAgeMillis: number | undefined;
}

/** Crashes of backend servers by request, from which follows which requests are not sent to servers any more. */
export interface CrashRecords {
    /** Records that a server crashed while it had the request; true once the request is quarantined. */
    readonly recordCrash: (fingerprint: string, crash: Crash) => boolean;
    /** Records that a server ran the request to its end, which clears the crashes before. */
    readonly recordCompletedRun: (fingerprint: string, nowMillis: number) => void;
    /** Merges the crashes that a peer reports; true if this quarantines the request. */
    readonly merge: (report: CrashReport, nowMillis: number) => boolean;
    /** Whether a server crashed while it had the request, so that it must not run beside other suspects. */
    readonly isSuspect: (fingerprint: string, nowMillis: number) => boolean;
    readonly isQuarantined: (fingerprint: string, nowMillis: number) => boolean;
    /** Reports for the next message to peers: recent changes, and some of the older quarantined requests in turn. */
    readonly nextReports: (nowMillis: number) => readonly CrashReport[];
    /** Quarantined requests with the servers that crashed. */
    readonly quarantined: (nowMillis: number) => readonly QuarantinedRequest[];
    readonly isEmpty: () => boolean;
}

/** Fingerprint of a quarantined request and the servers that crashed while they had it. */
export interface QuarantinedRequest {
    readonly fingerprint: string;
    readonly servers: readonly string[];
}

/** Crashes one after the other that quarantine a request, whatever ran beside it. */
const maxCrashes = 3;
/** Crashes one after the other that quarantine a request if one after the first was isolated. */
const maxIsolatedCrashes = 2;
/** A peer's report makes a crash look later than it was, by up to about this time. */
const maxReportDelayMillis = 100;
const entryLifetimeMillis = 300_000;
const maxEntries = 1_000;
const maxCrashesPerEntry = 8;
/** Messages may be lost, so each change is reported in all messages of this time. */
const recentChangeMillis = 3_000;
const maxNewestReports = 4;
const maxRecentReports = 4;
const maxOlderReports = 2;

interface Entry {
    readonly crashes: readonly Crash[];
    clearedMillis: number;
    readonly changedMillis: number;
}

/**
 * Number of crashes that happened one after the other. Servers may crash at the same time for another reason, and a frequent
 * request is then in flight at several of them; it is sent again only to be lost again if it is the cause.
 */
function countSuccessiveCrashes({ crashes }: Entry): { readonly total: number; readonly isolatedLater: number; } {
    let total = 0;
    let isolatedLater = 0;
    let lastCrashMillis = -Infinity;
    for (const crash of [...crashes].sort((left, right) => left.crashedMillis - right.crashedMillis)) {
        if (crash.sentMillis >= lastCrashMillis - maxReportDelayMillis) {
            isolatedLater += total > 0 && crash.isIsolated ? 1 : 0;
            total += 1;
            lastCrashMillis = crash.crashedMillis;
        }
    }
    return { total, isolatedLater };
}

function hasTooManyCrashes(entry: Entry): boolean {
    const { total, isolatedLater } = countSuccessiveCrashes(entry);
    return total >= maxCrashes || (total >= maxIsolatedCrashes && isolatedLater > 0);
}

/** Takes at most the given number of values, each with the same probability. */
function sample<Value>(values: readonly Value[], count: number, random: () => number): readonly Value[] {
    const remaining = [...values];
    const chosen: Value[] = [];
    while (chosen.length < count && remaining.length > 0) {
        chosen.push(...remaining.splice(Math.floor(random() * remaining.length), 1));
    }
    return chosen;
}

/** Creates empty records of at most 1,000 requests; the least recently changed one is evicted first. */
export function makeCrashRecords(random: () => number): CrashRecords {
    /** In order of their last change. */
    const entries = new Map<string, Entry>();

    const findUnexpired = (fingerprint: string, nowMillis: number): Entry | undefined => {
        const entry = entries.get(fingerprint);
        return entry !== undefined && entry.changedMillis + entryLifetimeMillis > nowMillis ? entry : undefined;
    };

    const replaceEntry = (fingerprint: string, entry: Entry) => {
        entries.delete(fingerprint);
        entries.set(fingerprint, entry);
        if (entries.size > maxEntries) {
            entries.delete(entries.keys().next().value!);
        }
    };

    const isQuarantined = (fingerprint: string, nowMillis: number): boolean => {
        const entry = findUnexpired(fingerprint, nowMillis);
        return entry !== undefined && hasTooManyCrashes(entry);
    };

    /** Adds crashes and the time of a completed run. */
    const addToEntry = (
        fingerprint: string,
        crashes: readonly Crash[],
        clearedMillis: number,
        nowMillis: number
    ): void => {
        const known = findUnexpired(fingerprint, nowMillis);
        const latestClearedMillis = Math.max(clearedMillis, known?.clearedMillis ?? -Infinity);
        const knownServers = new Set(known?.crashes.map(crash => crash.server));
        const added = crashes.filter(crash =>
            crash.crashedMillis > latestClearedMillis && !knownServers.has(crash.server)
        );
        const kept = (known?.crashes ?? []).filter(crash => crash.crashedMillis > latestClearedMillis);
        const isCleared = known !== undefined && kept.length < known.crashes.length;
        if (added.length === 0 && !isCleared) {
            if (known !== undefined) {
                known.clearedMillis = latestClearedMillis;
            }
            return;
        }
        replaceEntry(fingerprint, {
            crashes: [...kept, ...added].slice(-maxCrashesPerEntry),
            clearedMillis: latestClearedMillis,
            changedMillis: nowMillis
        });
    };

    const makeReport = ([fingerprint, entry]: readonly [string, Entry], nowMillis: number): CrashReport => ({
        fingerprint,
        crashes: entry.crashes.map(({ server, sentMillis, crashedMillis, isIsolated }) => ({
            server,
            sentAgeMillis: Math.round(nowMillis - sentMillis),
            crashAgeMillis: Math.round(nowMillis - crashedMillis),
            isIsolated
        })),
        clearedAgeMillis: entry.clearedMillis === -Infinity ? undefined : Math.round(nowMillis - entry.clearedMillis)
    });

    return {
        recordCrash: (fingerprint, crash) => {
            addToEntry(fingerprint, [crash], -Infinity, crash.crashedMillis);
            return isQuarantined(fingerprint, crash.crashedMillis);
        },
        recordCompletedRun: (fingerprint, nowMillis) => {
            addToEntry(fingerprint, [], nowMillis, nowMillis);
        },
        merge: ({ fingerprint, crashes, clearedAgeMillis }, nowMillis) => {
            const wasQuarantined = isQuarantined(fingerprint, nowMillis);
            addToEntry(
                fingerprint,
                crashes.map(({ server, sentAgeMillis, crashAgeMillis, isIsolated }) => ({
                    server,
                    sentMillis: nowMillis - sentAgeMillis,
                    crashedMillis: nowMillis - crashAgeMillis,
                    isIsolated
                })),
                clearedAgeMillis === undefined ? -Infinity : nowMillis - clearedAgeMillis,
                nowMillis
            );
            return !wasQuarantined && isQuarantined(fingerprint, nowMillis);
        },
        isSuspect: (fingerprint, nowMillis) => (findUnexpired(fingerprint, nowMillis)?.crashes.length ?? 0) > 0,
        isQuarantined,
        nextReports: nowMillis => {
            const known = [...entries].reverse();
            const isRecent = ([, entry]: readonly [string, Entry]) =>
                entry.changedMillis + recentChangeMillis > nowMillis;
            const recent = known.filter(isRecent);
            const older = known.filter(entry => !isRecent(entry) && isQuarantined(entry[0], nowMillis));
            return [
                ...recent.slice(0, maxNewestReports),
                ...sample(recent.slice(maxNewestReports), maxRecentReports, random),
                ...sample(older, maxOlderReports, random)
            ].map(entry => makeReport(entry, nowMillis));
        },
        quarantined: nowMillis =>
            [...entries]
                .filter(([fingerprint]) => isQuarantined(fingerprint, nowMillis))
                .map(([fingerprint, entry]) => ({
                    fingerprint,
                    servers: entry.crashes.map(crash => crash.server)
                })),
        isEmpty: () => entries.size === 0
    };
}
