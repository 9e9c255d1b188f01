import {
    DecisionStep,
    makeSlotPool,
    type OwnedServer,
    pickLeastCost,
    recordLateAnswer,
    recordLatency,
    recordTimelyAnswer,
    type ServerPicker
} from "@endivebridge/core";
import { Result, Schema } from "effect";

/** A decision whose replayed outcome differs from the recorded one. */
export interface DecisionDifference {
    readonly line: number;
    readonly recorded: string;
    readonly now: string;
}

/** Result of a replay. */
export interface ReplayResult {
    readonly steps: number;
    readonly decisions: number;
    readonly differences: readonly DecisionDifference[];
    /** Number of requests per server that the replayed decisions choose. */
    readonly requestsByServer: Readonly<Record<string, number>>;
    /** Servers that the replay sets aside because of late responses, in the order in which this happens. */
    readonly setAside: readonly string[];
}

/** Parses the recorded decision steps of a log of JSON lines; lines without a decision are skipped. */
export function parseDecisionSteps(text: string): readonly DecisionStep[] {
    return text.split("\n").flatMap(line => {
        const parsed = Schema.decodeUnknownResult(Schema.fromJsonString(Schema.Struct({ decision: DecisionStep })))(
            line
        );
        return Result.isSuccess(parsed) ? [parsed.success.decision] : [];
    });
}

/** Replays recorded steps with the current steering code and compares each chosen server with the recorded one. */
export function replaySteps(steps: readonly DecisionStep[], pickServer: ServerPicker = pickLeastCost): ReplayResult {
    let nowMillis = 0;
    let mayDispatch = true;
    const pool = makeSlotPool({ pickServer, mayDispatch: () => mayDispatch, nowMillis: () => nowMillis });
    const serversById = new Map<string, OwnedServer>();
    const heldSlotReleases = new Map<string, (() => void)[]>();
    const differences: DecisionDifference[] = [];
    const requestsByServer: Record<string, number> = {};
    const setAside: string[] = [];
    let decisions = 0;

    const acquire = (step: Extract<DecisionStep, { step: "acquire"; }>, line: number) => {
        decisions += 1;
        mayDispatch = step.mayDispatch;
        const acquiredSlot = pool.tryAcquire(new Set(step.excluded), {
            mayProbe: step.mayProbe,
            lastResort: step.lastResort
        });
        const chosen = acquiredSlot?.owned.server ?? "";
        if (chosen !== step.chosen) {
            differences.push({ line, recorded: step.chosen, now: chosen });
        }
        if (acquiredSlot !== undefined) {
            requestsByServer[chosen] = (requestsByServer[chosen] ?? 0) + 1;
            heldSlotReleases.set(chosen, [...heldSlotReleases.get(chosen) ?? [], acquiredSlot.release]);
        }
    };

    steps.forEach((step, index) => {
        nowMillis = step.atMillis;
        switch (step.step) {
            case "assign":
                pool.assign(step.slots);
                pool.servers().forEach(owned => serversById.set(owned.server, owned));
                return;
            case "acquire":
                acquire(step, index + 1);
                return;
            case "release":
                heldSlotReleases.get(step.server)?.shift()?.();
                return;
        }
        const owned = serversById.get(step.server);
        if (owned === undefined) {
            return;
        }
        if (step.step === "unreachable") {
            owned.unreachableUntilMillis = step.untilMillis;
        }
        else if (step.step === "late") {
            const wasSetAside = owned.health.setAside;
            recordLateAnswer(owned.health, step.atMillis, () => step.maySetAside);
            if (owned.health.setAside && !wasSetAside) {
                setAside.push(step.server);
            }
        }
        else {
            recordLatency(owned.latency, step.tookMillis, step.atMillis);
            if (!step.late) {
                recordTimelyAnswer(owned.health, step.atMillis);
            }
        }
    });
    return { steps: steps.length, decisions, differences, requestsByServer, setAside };
}
