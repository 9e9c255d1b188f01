import type { CrashRecords } from "./EndivebridgeCrashRecords";

/** Send whose connection was reset before its answer was complete. */
export interface LostSend {
    readonly fingerprint: string;
    /** Name of the server, with its incarnation if that is known. */
    readonly server: string;
    readonly sentMillis: number;
    readonly lostMillis: number;
    /** Whether no other request can have caused a crash of the server. */
    readonly wasIsolated: boolean;
}

/** What a lost send says about its request: nothing, or that the server crashed, by that request or beside others. */
export type LostSendCause = "none" | "isolated" | "beside others";

/** Records the crash if the server has ended; live servers reset connections too. */
export async function recordLostSend(
    records: CrashRecords,
    { fingerprint, server, sentMillis, lostMillis, wasIsolated }: LostSend,
    hasServerEnded: () => Promise<boolean>
): Promise<LostSendCause> {
    if (!await hasServerEnded()) {
        return "none";
    }
    records.recordCrash(fingerprint, { server, sentMillis, crashedMillis: lostMillis, isIsolated: wasIsolated });
    return wasIsolated ? "isolated" : "beside others";
}
