/** Lease of an instance on the slots that it owns. */
export interface Lease {
    /** Extends the lease after a row that does not suspect this instance was read or written at this time. */
    readonly confirmByRow: (sentAtMillis: number) => void;
    /** Records a sibling's promise, in reply to a heartbeat sent at this time, not to claim the slots. */
    readonly confirmBySibling: (sibling: string, sentAtMillis: number, promisedMillis: number) => void;
    /** Extends the lease from siblings' promises, or from isolation when neither row nor siblings are reachable. */
    readonly evaluate: (evidence: LeaseEvidence) => void;
    readonly holds: (nowMillis: number) => boolean;
    readonly revoke: () => void;
}

/** Inputs to the evaluation of a lease. */
export interface LeaseEvidence {
    readonly nowMillis: number;
    /** Members of the failure domain besides this instance that are not suspected. */
    readonly siblings: readonly string[];
    /** Time at which the last failed attempt to reach the platform began; undefined while the platform responds. */
    readonly platformFailedSinceMillis: number | undefined;
    /** Whether a heartbeat to the sibling failed since this instance last ran on schedule, so not before a pause. */
    readonly isUnreachable: (sibling: string) => boolean;
}

/** Creates a lease that is not held; times are on this process's monotonic clock, and the length may change. */
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
