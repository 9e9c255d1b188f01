import type { MemberReport } from "@endivebridge/traffic";

/** Newest version that an instance has read from each table of the store, and the era of the versions. */
export interface TableVersions {
    readonly current: () => Pick<MemberReport, "tableVersions" | "storeEra">;
    readonly record: (table: string, version: number, era: number) => void;
    /** Tables of which a peer has read a newer version; infinite if it has read a later era of the store. */
    readonly newerIn: (report: Pick<MemberReport, "tableVersions" | "storeEra">) => readonly [string, number][];
}

/** Creates the versions of an instance that has read no table. */
export function makeTableVersions(): TableVersions {
    let storeEra = 0;
    let versions: Record<string, number> = {};
    return {
        current: () => ({ tableVersions: versions, storeEra }),
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
