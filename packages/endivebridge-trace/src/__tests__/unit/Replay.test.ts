// Guards against unintended changes of steering: recorded decisions are replayed with the current code, and any change that
// chooses another server shows up as a difference.
import type { DecisionStep, ServerPicker } from "@endivebridge/core";
import test from "ava";
import { readdirSync, readFileSync } from "node:fs";
import { parseDecisionSteps, replaySteps } from "../../index";

const tracesFolder = new URL("../../../traces/", import.meta.url);

function load(name: string): readonly DecisionStep[] {
    return parseDecisionSteps(readFileSync(new URL(name, tracesFolder), "utf8"));
}

test("replays recorded decisions without differences", t => {
    const names = readdirSync(tracesFolder).filter(name => name.endsWith(".jsonl"));
    t.true(names.length > 0);
    for (const name of names) {
        const outcome = replaySteps(load(name));
        t.true(outcome.decisions > 50, name);
        t.deepEqual(outcome.differences, [], name);
        t.snapshot(outcome, name);
    }
});

test("reports differences when the server is picked by another policy", t => {
    const pickFirstFree: ServerPicker = (servers, options) =>
        [...servers].find(owned => owned.inFlight < owned.usableSlots && !options.excluded.has(owned.server));
    const [name] = readdirSync(tracesFolder);
    t.true(replaySteps(load(name!), pickFirstFree).differences.length > 0);
});
