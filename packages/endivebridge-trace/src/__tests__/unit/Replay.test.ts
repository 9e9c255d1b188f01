import type { DecisionStep, ServerPicker } from "@endivebridge/core";
import test from "ava";
import { readdirSync, readFileSync } from "node:fs";
import { readSteps, replay } from "../../index";

const traces = new URL("../../../traces/", import.meta.url);

function load(name: string): readonly DecisionStep[] {
    return readSteps(readFileSync(new URL(name, traces), "utf8"));
}

test("recorded decisions come out as they were recorded", t => {
    const names = readdirSync(traces).filter(name => name.endsWith(".jsonl"));
    t.true(names.length > 0);
    for (const name of names) {
        const outcome = replay(load(name));
        t.true(outcome.decisions > 50, name);
        t.deepEqual(outcome.differences, [], name);
        t.snapshot(outcome, name);
    }
});

test("a replay tells where another policy decides differently", t => {
    const first: ServerPicker = (servers, options) =>
        [...servers].find(owned => owned.inFlight < owned.usableSlots && !options.excluded.has(owned.server));
    const [name] = readdirSync(traces);
    t.true(replay(load(name!), first).differences.length > 0);
});
