/** Health of one backend server, derived from its share of late answers. */
export interface ServerHealth {
    /** Exponentially weighted share of late answers. */
    lateShare: number;
    /** While true, the server receives only probes and last-resort requests. */
    setAside: boolean;
    /** Monotonic time from which the next probe may go out. */
    probeAtMillis: number;
    /** Interval between probes; doubles with each late probe. */
    probeIntervalMillis: number;
    /** Monotonic time at which the server was last restored to normal use. */
    restoredAtMillis: number;
}

/** An answer counts as late after this many times the service's median. */
export const lateMedianMultiple = 3;

const newestAnswerWeight = 0.3;
const setAsideLateShare = 0.6;
const mostlyLateShare = 0.5;
const restoreLateShare = 0.3;
const minProbeIntervalMillis = 500;
const maxProbeIntervalMillis = 8_000;
const rampMillisPerSlot = 250;

/** Creates the health of a server without answers so far. */
export function makeServerHealth(): ServerHealth {
    return {
        lateShare: 0,
        setAside: false,
        probeAtMillis: 0,
        probeIntervalMillis: minProbeIntervalMillis,
        restoredAtMillis: Number.NEGATIVE_INFINITY
    };
}

/** Records an answer as soon as it is late; `maySetAside` tells whether the declared share allows setting it aside. */
export function recordLateAnswer(health: ServerHealth, nowMillis: number, maySetAside: () => boolean): void {
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

/** Records a timely answer; enough of them restore a server that was set aside. */
export function recordTimelyAnswer(health: ServerHealth, nowMillis: number): void {
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

/** Whether the server's latest answers were late in succession, regardless of whether the server is set aside. */
export function isMostlyLate(health: ServerHealth): boolean {
    return health.lateShare > mostlyLateShare;
}

/** Records that a probe was sent and schedules the next one. */
export function recordProbeSent(health: ServerHealth, nowMillis: number): void {
    health.probeAtMillis = nowMillis + health.probeIntervalMillis;
}

/** Slots that may be used now; a restored server gets one more every 250 ms. */
export function rampedSlots(health: ServerHealth, usableSlots: number, nowMillis: number): number {
    const ramped = 1 + Math.floor((nowMillis - health.restoredAtMillis) / rampMillisPerSlot);
    return Math.min(usableSlots, ramped);
}
