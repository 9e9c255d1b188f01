/** Remembers requests under which backend servers died. */
export interface PoisonList {
    /** Counts a server that died under the request; true once the request is quarantined. */
    readonly strike: (fingerprint: string, nowMillis: number) => boolean;
    readonly isQuarantined: (fingerprint: string, nowMillis: number) => boolean;
    /** Takes in what a peer counted; the higher count stands. */
    readonly learn: (fingerprint: string, strikes: number, nowMillis: number) => void;
    /** Requests with strikes, for peers and operators. */
    readonly struck: (nowMillis: number) => readonly StruckRequest[];
    readonly isEmpty: () => boolean;
}

/** A request under which servers died. */
export interface StruckRequest {
    readonly fingerprint: string;
    readonly strikes: number;
}

const quarantineStrikes = 2;
const memoryMillis = 300_000;
const mostRequests = 1_000;

interface Entry {
    strikes: number;
    untilMillis: number;
}

/** Makes an empty list; it is bounded, the oldest entries go first. */
export function makePoisonList(): PoisonList {
    const entries = new Map<string, Entry>();
    const entryOf = (fingerprint: string, nowMillis: number): Entry => {
        const known = entries.get(fingerprint);
        const entry = known !== undefined && known.untilMillis > nowMillis ? known : { strikes: 0, untilMillis: 0 };
        entry.untilMillis = nowMillis + memoryMillis;
        entries.delete(fingerprint);
        entries.set(fingerprint, entry);
        if (entries.size > mostRequests) {
            entries.delete(entries.keys().next().value!);
        }
        return entry;
    };
    return {
        strike: (fingerprint, nowMillis) => {
            const entry = entryOf(fingerprint, nowMillis);
            entry.strikes += 1;
            return entry.strikes >= quarantineStrikes;
        },
        isQuarantined: (fingerprint, nowMillis) => {
            const entry = entries.get(fingerprint);
            return entry !== undefined && entry.untilMillis > nowMillis && entry.strikes >= quarantineStrikes;
        },
        learn: (fingerprint, strikes, nowMillis) => {
            const known = entries.get(fingerprint);
            if (known === undefined || known.strikes < strikes) {
                entryOf(fingerprint, nowMillis).strikes = strikes;
            }
        },
        struck: nowMillis =>
            [...entries]
                .filter(([, entry]) => entry.untilMillis > nowMillis)
                .map(([fingerprint, { strikes }]) => ({ fingerprint, strikes })),
        isEmpty: () => entries.size === 0
    };
}
