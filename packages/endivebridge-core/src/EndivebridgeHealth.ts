/** Health of one backend server, derived from its share of late answers. */
export interface ServerHealth {
    /** Exponentially weighted share of late answers. */
    lateShare: number;
    /** While true, the server receives only probes and last-resort requests. */
    setAside: boolean;
    /** Monotonic time from which the next probe may go out. */
    probeAtMillis: number;
    /** Interval between probes; doubles with each late one. */
    probeEveryMillis: number;
    /** Monotonic time at which the server was last restored to normal use. */
    returnedAtMillis: number;
}

/** An answer counts as late after this many times the service's median. */
export const lateFactor = 3;

const decayPerAnswer = 0.3;
const setAsideAbove = 0.6;
const mostlyLateAbove = 0.5;
const letBackBelow = 0.3;
const shortestProbeMillis = 500;
const longestProbeMillis = 8_000;
const rampMillisPerSlot = 250;

/** Creates the health of a server without answers so far. */
export function makeServerHealth(): ServerHealth {
    return {
        lateShare: 0,
        setAside: false,
        probeAtMillis: 0,
        probeEveryMillis: shortestProbeMillis,
        returnedAtMillis: Number.NEGATIVE_INFINITY
    };
}

/** Records an answer as soon as it is late; `maySetAside` tells whether the declared share allows setting it aside. */
export function noteLate(health: ServerHealth, nowMillis: number, maySetAside: () => boolean): void {
    health.lateShare += decayPerAnswer * (1 - health.lateShare);
    if (health.setAside) {
        health.probeEveryMillis = Math.min(longestProbeMillis, health.probeEveryMillis * 2);
        health.probeAtMillis = nowMillis + health.probeEveryMillis;
        return;
    }
    if (health.lateShare > setAsideAbove && maySetAside()) {
        health.setAside = true;
        health.probeEveryMillis = shortestProbeMillis;
        health.probeAtMillis = nowMillis + shortestProbeMillis;
    }
}

/** Records a timely answer; enough of them restore a server that was set aside. */
export function noteInTime(health: ServerHealth, nowMillis: number): void {
    health.lateShare *= 1 - decayPerAnswer;
    if (!health.setAside) {
        return;
    }
    health.probeEveryMillis = shortestProbeMillis;
    health.probeAtMillis = Math.min(health.probeAtMillis, nowMillis);
    if (health.lateShare < letBackBelow) {
        health.setAside = false;
        health.returnedAtMillis = nowMillis;
    }
}

/** Whether the late share is above 0.5, after consecutive late answers, whether the server is set aside or not. */
export function isMostlyLate(health: ServerHealth): boolean {
    return health.lateShare > mostlyLateAbove;
}

/** Records that a probe was sent and schedules the next one. */
export function noteProbe(health: ServerHealth, nowMillis: number): void {
    health.probeAtMillis = nowMillis + health.probeEveryMillis;
}

/** Slots that may be used now; a restored server gets one more every 250 ms. */
export function rampedSlots(health: ServerHealth, usableSlots: number, nowMillis: number): number {
    const ramped = 1 + Math.floor((nowMillis - health.returnedAtMillis) / rampMillisPerSlot);
    return Math.min(usableSlots, ramped);
}
