import { type CrashRecords, recordLostSend } from "@endivebridge/core";
import { monotonicMillis } from "@endivebridge/shared";
import { type CallerRequest, requestFingerprint } from "./CallerRequest";
import type { EventLog } from "./EventLog";
import type { GatewayMetrics } from "./GatewayMetrics";
import type { CompletedAttempt } from "./RequestSends";

/** Records that the attribution writes to, and the message that passes a crash on to peers. */
export interface CrashAttributionParts {
    readonly crashRecords: CrashRecords;
    /** Reports a crash to all peers at once, as callers send the request again to any instance. */
    readonly announceCrash: () => void;
    /** Whether the process at the address has ended. */
    readonly hasServerEnded: (host: string, port: number) => Promise<boolean>;
    readonly log: EventLog;
    readonly metrics: GatewayMetrics;
}

/** A crash within this time of the send happened as the server began to run the request. */
const crashAtStartMillis = 60;

/** Records what one send says about whether the request crashes servers; resolves once that is known. */
export async function attributeCrash(
    { crashRecords, announceCrash, hasServerEnded, log, metrics }: CrashAttributionParts,
    request: CallerRequest,
    { placed, outcome, sentMillis, tookMillis, ranAlone }: CompletedAttempt
): Promise<void> {
    if (outcome.kind === "answered") {
        // A refusal, a failure or a timeout does not show that a server survives the request.
        const isCompletedRun = !outcome.answer.isNotExecuted && outcome.answer.isSigned && outcome.answer.status < 500;
        if (isCompletedRun && !crashRecords.isEmpty()) {
            crashRecords.recordCompletedRun(requestFingerprint(request), monotonicMillis());
        }
        return;
    }
    if (outcome.kind !== "lost" || !outcome.wasReset) {
        return;
    }
    const { id, host, port, bornEpochMillis } = placed.tracked.server;
    const fingerprint = requestFingerprint(request);
    const cause = await recordLostSend(crashRecords, {
        fingerprint,
        server: `${id}/${bornEpochMillis}`,
        sentMillis,
        lostMillis: sentMillis + tookMillis,
        // Beside other requests on the server, only a crash right at the start identifies the request at fault.
        wasIsolated: ranAlone || tookMillis < crashAtStartMillis
    }, () => hasServerEnded(host, port));
    metrics.lostSends.inc({ crash: cause });
    if (cause !== "none") {
        announceCrash();
        log.warn("crash", {
            requestId: request.id,
            server: id,
            fingerprint,
            tookMillis,
            isIsolated: cause === "isolated",
            isQuarantined: crashRecords.isQuarantined(fingerprint, monotonicMillis())
        }, "backend server crashed while it had the request");
    }
}
