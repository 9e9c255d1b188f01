import { monotonicMillis } from "@endivebridge/shared";
import type { MemberReport } from "@endivebridge/traffic";

/** A moment at which an instance knew all changes of a table. */
export interface TableConfirmation {
    /** The table held no changes after this version. */
    readonly version: number;
    readonly era: number;
    /** Time since that moment. */
    readonly ageMillis: number;
}

/** Newest version that an instance has read from each table of the store, when it did, and the era of the versions. */
export interface TableVersions {
    readonly current: () => Pick<MemberReport, "tableVersions" | "storeEra" | "tableConfirmations">;
    readonly record: (table: string, version: number, era: number) => void;
    readonly recordConfirmation: (table: string, confirmation: TableConfirmation) => void;
    /** Tables of which a peer has read a newer version; infinite if it has read a later era of the store. */
    readonly newerIn: (report: Pick<MemberReport, "tableVersions" | "storeEra">) => readonly [string, number][];
}

interface Confirmed {
    readonly version: number;
    readonly era: number;
    readonly atMillis: number;
    readonly atEpochMillis: number;
}

/** Older confirmations are not sent again; several messages to each peer have carried them. */
const maxReportedAgeMillis = 1_500;

/** The monotonic clock stands still while the machine is suspended; the time of day may be set back. */
function ageOf({ atMillis, atEpochMillis }: Confirmed): number {
    return Math.round(Math.max(monotonicMillis() - atMillis, Date.now() - atEpochMillis));
}

/** Creates the versions of an instance that has read no table. */
export function makeTableVersions(): TableVersions {
    let storeEra = 0;
    let versions: Record<string, number> = {};
    const confirmations = new Map<string, Confirmed>();

    const describeConfirmations = () =>
        Object.fromEntries(
            [...confirmations]
                .filter(([, { era }]) => era === storeEra)
                .map(([table, confirmed]) =>
                    [table, { version: confirmed.version, ageMillis: ageOf(confirmed) }] as const
                )
                .filter(([, { ageMillis }]) => ageMillis <= maxReportedAgeMillis)
        );

    return {
        current: () => ({ tableVersions: versions, storeEra, tableConfirmations: describeConfirmations() }),
        record: (table, version, era) => {
            if (era < storeEra) {
                return;
            }
            if (era > storeEra) {
                storeEra = era;
                versions = {};
            }
            versions[table] = Math.max(versions[table] ?? 0, version);
        },
        recordConfirmation: (table, { version, era, ageMillis }) => {
            confirmations.set(table, {
                version,
                era,
                atMillis: monotonicMillis() - ageMillis,
                atEpochMillis: Date.now() - ageMillis
            });
        },
        newerIn: report => {
            const peerEra = report.storeEra ?? 0;
            if (peerEra > storeEra) {
                return Object.keys(versions).map(table => [table, Infinity]);
            }
            return peerEra < storeEra
                ? []
                : Object.entries(report.tableVersions).filter(([table, version]) =>
                    version > (versions[table] ?? Infinity)
                );
        }
    };
}
