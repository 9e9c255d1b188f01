import {
    DecisionStep,
    makeSlotPool,
    noteInTime,
    noteLate,
    type OwnedServer,
    pickLeastCost,
    recordLatency,
    type ServerPicker
} from "@endivebridge/core";
import { Result, Schema } from "effect";

/** A decision that came out differently from what was recorded. */
export interface Difference {
    readonly line: number;
    readonly recorded: string;
    readonly now: string;
}

/** What came of a replay. */
export interface ReplayOutcome {
    readonly steps: number;
    readonly decisions: number;
    readonly differences: readonly Difference[];
    /** Requests by the server that today's decisions send them to. */
    readonly requestsByServer: Readonly<Record<string, number>>;
    /** Servers in the order in which they were set aside. */
    readonly setAside: readonly string[];
}

/** Reads recorded steps from a log: JSON lines, those without a decision are passed over. */
export function readSteps(text: string): readonly DecisionStep[] {
    return text.split("\n").flatMap(line => {
        const parsed = Schema.decodeUnknownResult(Schema.fromJsonString(Schema.Struct({ decision: DecisionStep })))(
            line
        );
        return Result.isSuccess(parsed) ? [parsed.success.decision] : [];
    });
}

/** Runs recorded steps through the code that steers, and compares each choice with the recorded one. */
export function replay(steps: readonly DecisionStep[], pickServer: ServerPicker = pickLeastCost): ReplayOutcome {
    let nowMillis = 0;
    let mayDispatch = true;
    const pool = makeSlotPool({ pickServer, mayDispatch: () => mayDispatch, nowMillis: () => nowMillis });
    const known = new Map<string, OwnedServer>();
    const held = new Map<string, (() => void)[]>();
    const differences: Difference[] = [];
    const requestsByServer: Record<string, number> = {};
    const setAside: string[] = [];
    let decisions = 0;

    const acquire = (step: Extract<DecisionStep, { step: "acquire"; }>, line: number) => {
        decisions += 1;
        mayDispatch = step.mayDispatch;
        const slot = pool.tryAcquire(new Set(step.excluded), { mayProbe: step.mayProbe, lastResort: step.lastResort });
        const chosen = slot?.owned.server ?? "";
        if (chosen !== step.chosen) {
            differences.push({ line, recorded: step.chosen, now: chosen });
        }
        if (slot !== undefined) {
            requestsByServer[chosen] = (requestsByServer[chosen] ?? 0) + 1;
            held.set(chosen, [...held.get(chosen) ?? [], slot.release]);
        }
    };

    steps.forEach((step, index) => {
        nowMillis = step.atMillis;
        switch (step.step) {
            case "assign":
                pool.assign(step.slots);
                pool.servers().forEach(owned => known.set(owned.server, owned));
                return;
            case "acquire":
                acquire(step, index + 1);
                return;
            case "release":
                held.get(step.server)?.shift()?.();
                return;
        }
        const owned = known.get(step.server);
        if (owned === undefined) {
            return;
        }
        if (step.step === "unreachable") {
            owned.unreachableUntilMillis = step.untilMillis;
        }
        else if (step.step === "late") {
            const before = owned.health.setAside;
            noteLate(owned.health, step.atMillis, () => step.maySetAside);
            if (owned.health.setAside && !before) {
                setAside.push(step.server);
            }
        }
        else {
            recordLatency(owned.latency, step.tookMillis, step.atMillis);
            if (!step.late) {
                noteInTime(owned.health, step.atMillis);
            }
        }
    });
    return { steps: steps.length, decisions, differences, requestsByServer, setAside };
}
