/** What an instance knows about its right to use the slots it owns. */
export interface Lease {
    /** The row was read or written at this time and does not suspect this instance. */
    readonly confirmByRow: (sentAtMillis: number) => void;
    /** A sibling promised, in answer to a heartbeat sent at this time, to leave the slots alone. */
    readonly confirmBySibling: (sibling: string, sentAtMillis: number, promisedMillis: number) => void;
    /** Extends the lease from siblings' promises, or from isolation where neither row nor sibling can be reached. */
    readonly evaluate: (evidence: LeaseEvidence) => void;
    readonly holds: (nowMillis: number) => boolean;
    readonly revoke: () => void;
}

/** What the evaluation of a lease looks at. */
export interface LeaseEvidence {
    readonly nowMillis: number;
    /** Members of the failure domain besides this instance that are not suspected. */
    readonly siblings: readonly string[];
    /** Time at which the last failed attempt to reach the platform began; undefined while it answers. */
    readonly platformFailedSinceMillis: number | undefined;
    /** Whether a heartbeat to the sibling failed since this instance last ran on time. */
    readonly isUnreachable: (sibling: string) => boolean;
}

/** Makes a lease that is not held yet; every time is on this process's monotonic clock, its length may change. */
export function makeLease(leaseMillis: () => number): Lease {
    const promisedUntilMillis = new Map<string, number>();
    let validUntilMillis = 0;
    const extend = (untilMillis: number) => {
        validUntilMillis = Math.max(validUntilMillis, untilMillis);
    };
    return {
        confirmByRow: sentAtMillis => extend(sentAtMillis + leaseMillis()),
        confirmBySibling: (sibling, sentAtMillis, promisedMillis) => {
            const until = sentAtMillis + Math.min(promisedMillis, leaseMillis());
            promisedUntilMillis.set(sibling, Math.max(until, promisedUntilMillis.get(sibling) ?? 0));
        },
        evaluate: evidence => {
            if (evidence.platformFailedSinceMillis === undefined) {
                return;
            }
            const isolatedUntilMillis = evidence.platformFailedSinceMillis + leaseMillis();
            const untilMillis = evidence.siblings.map(sibling =>
                evidence.isUnreachable(sibling) ? isolatedUntilMillis : promisedUntilMillis.get(sibling) ?? 0
            );
            extend(Math.min(isolatedUntilMillis, ...untilMillis));
        },
        holds: nowMillis => nowMillis < validUntilMillis,
        revoke: () => {
            validUntilMillis = 0;
            promisedUntilMillis.clear();
        }
    };
}
