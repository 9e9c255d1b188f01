import type { CrashRecords } from "./EndivebridgeCrashRecords";

/** Send whose connection was reset before its answer was complete. */
export interface LostSend {
    readonly fingerprint: string;
    /** Name of the server, with its incarnation if that is known. */
    readonly server: string;
    readonly sentMillis: number;
    readonly lostMillis: number;
    /** Whether no other request can have been at the server that may have caused a crash. */
    readonly wasAlone: boolean;
}

/** What a lost send says about its request: nothing, or that the server crashed, by that request or beside others. */
export type LostSendCause = "none" | "isolated" | "beside others";

/** A crash within this time of the send happened as the server began to run the request. */
const crashAtStartMillis = 60;

/** Records the crash if the server has ended; live servers reset connections too. */
export async function recordLostSend(
    records: CrashRecords,
    { fingerprint, server, sentMillis, lostMillis, wasAlone }: LostSend,
    hasServerEnded: () => Promise<boolean>
): Promise<LostSendCause> {
    if (!await hasServerEnded()) {
        return "none";
    }
    // Beside other requests on the server, only a crash right at the start identifies the request at fault.
    const isIsolated = wasAlone || lostMillis - sentMillis < crashAtStartMillis;
    records.recordCrash(fingerprint, { server, sentMillis, crashedMillis: lostMillis, isIsolated });
    return isIsolated ? "isolated" : "beside others";
}
