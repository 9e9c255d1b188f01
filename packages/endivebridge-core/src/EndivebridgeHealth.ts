/** Judgement of one backend server from how often its answers are late. */
export interface ServerHealth {
    /** Decayed share of late answers. */
    lateShare: number;
    /** While true only probes and last resorts go to the server. */
    setAside: boolean;
    /** Monotonic time from which the next probe may go out. */
    probeAtMillis: number;
    /** Time between probes; doubles while they come back late. */
    probeEveryMillis: number;
    /** Monotonic time at which the server was let back in. */
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

/** Makes the judgement of a server of which nothing is known. */
export function makeServerHealth(): ServerHealth {
    return {
        lateShare: 0,
        setAside: false,
        probeAtMillis: 0,
        probeEveryMillis: shortestProbeMillis,
        returnedAtMillis: Number.NEGATIVE_INFINITY
    };
}

/** Takes in a late answer, as soon as it is late; `maySetAside` says whether the declared share allows it. */
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

/** Takes in an answer that came in time; enough of them let the server back in. */
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

/** Whether a server's latest answers were late one after the other, be it set aside or not. */
export function isMostlyLate(health: ServerHealth): boolean {
    return health.lateShare > mostlyLateAbove;
}

/** Takes note that a probe went out, so that the next one waits. */
export function noteProbe(health: ServerHealth, nowMillis: number): void {
    health.probeAtMillis = nowMillis + health.probeEveryMillis;
}

/** Slots that may be filled: after its return a server gets them one by one. */
export function rampedSlots(health: ServerHealth, usableSlots: number, nowMillis: number): number {
    const ramped = 1 + Math.floor((nowMillis - health.returnedAtMillis) / rampMillisPerSlot);
    return Math.min(usableSlots, ramped);
}
