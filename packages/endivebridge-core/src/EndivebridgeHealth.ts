/** Judgement of one backend server from how often its answers are late. */
export interface ServerHealth {
    /** Decayed share of late answers. */
    lateShare: number;
    /** While true only probes and last resorts go to the server. */
    setAside: boolean;
    /** Monotonic time from which the next probe may go out. */
    probeAtMillis: number;
    /** Time between probes; doubles while they come back late. */
    probeIntervalMillis: number;
    /** Monotonic time at which the server was let back in. */
    restoredAtMillis: number;
}

/** An answer counts as late after this many times the service's median. */
export const lateFactor = 3;

const newestAnswerWeight = 0.3;
const setAsideLateShare = 0.6;
const mostlyLateShare = 0.5;
const restoreLateShare = 0.3;
const minProbeIntervalMillis = 500;
const maxProbeIntervalMillis = 8_000;
const rampMillisPerSlot = 250;

/** Makes the judgement of a server of which nothing is known. */
export function makeServerHealth(): ServerHealth {
    return {
        lateShare: 0,
        setAside: false,
        probeAtMillis: 0,
        probeIntervalMillis: minProbeIntervalMillis,
        restoredAtMillis: Number.NEGATIVE_INFINITY
    };
}

/** Takes in a late answer, as soon as it is late; `maySetAside` says whether the declared share allows it. */
export function noteLate(health: ServerHealth, nowMillis: number, maySetAside: () => boolean): void {
    health.lateShare += newestAnswerWeight * (1 - health.lateShare);
    if (health.setAside) {
        health.probeIntervalMillis = Math.min(maxProbeIntervalMillis, health.probeIntervalMillis * 2);
        health.probeAtMillis = nowMillis + health.probeIntervalMillis;
        return;
    }
    if (health.lateShare > setAsideLateShare && maySetAside()) {
        health.setAside = true;
        health.probeIntervalMillis = minProbeIntervalMillis;
        health.probeAtMillis = nowMillis + minProbeIntervalMillis;
    }
}

/** Takes in an answer that came in time; enough of them let the server back in. */
export function noteInTime(health: ServerHealth, nowMillis: number): void {
    health.lateShare *= 1 - newestAnswerWeight;
    if (!health.setAside) {
        return;
    }
    health.probeIntervalMillis = minProbeIntervalMillis;
    health.probeAtMillis = Math.min(health.probeAtMillis, nowMillis);
    if (health.lateShare < restoreLateShare) {
        health.setAside = false;
        health.restoredAtMillis = nowMillis;
    }
}

/** Whether a server's latest answers were late one after the other, be it set aside or not. */
export function isMostlyLate(health: ServerHealth): boolean {
    return health.lateShare > mostlyLateShare;
}

/** Takes note that a probe went out, so that the next one waits. */
export function recordProbeSent(health: ServerHealth, nowMillis: number): void {
    health.probeAtMillis = nowMillis + health.probeIntervalMillis;
}

/** Slots that may be filled: after its return a server gets them one by one. */
export function rampedSlots(health: ServerHealth, usableSlots: number, nowMillis: number): number {
    const ramped = 1 + Math.floor((nowMillis - health.restoredAtMillis) / rampMillisPerSlot);
    return Math.min(usableSlots, ramped);
}
