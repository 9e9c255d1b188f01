// Guards against a log that blocks the process, grows without limit or loses bytes when its reader stalls, and against
// one kind of event that uses up the limit of the others.

import { range } from "@endivebridge/shared";
import test from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import { makeEventLog, makeLineWriter } from "../../index";

test("drops lines instead of blocking or growing when the reader stalls", async t => {
    let calls = 0;
    const writer = makeLineWriter(() => calls += 1);
    for (let index = 0; index < 20_000; index += 1) {
        writer.write(`${"x".repeat(100)}\n`);
        if (index === 100) {
            await sleep(100);
        }
    }
    t.is(calls, 1, "one write in flight that never completes");
    const dropped = writer.takeDroppedCount();
    t.true(dropped > 15_000, `${dropped} lines dropped`);
    t.is(writer.takeDroppedCount(), 0);
});

test("loses no bytes on partial writes and full pipes", async t => {
    let text = "";
    let calls = 0;
    const writer = makeLineWriter((bytes, done) => {
        calls += 1;
        if (calls === 2) {
            done(Object.assign(new Error("full"), { code: "EAGAIN" }), 0);
            return;
        }
        const part = bytes.subarray(0, Math.ceil(bytes.length / 2));
        text += part.toString("utf8");
        done(undefined, part.length);
    });
    const lines = range(20).map(index => `line ${index}\n`);
    lines.forEach(writer.write);
    while (text.length < lines.join("").length) {
        await sleep(20);
    }
    t.is(text, lines.join(""));
});

test("limits the rate of each kind of line and counts omitted lines", t => {
    const lines: string[] = [];
    const log = makeEventLog("endivebridged", "i1", { write: line => lines.push(line), takeDroppedCount: () => 3 });
    for (let index = 0; index < 1_000; index += 1) {
        log.info("answered", { index }, "request answered");
    }
    log.warn("store", {}, "lost the platform's store");
    const answered = lines.filter(line => line.includes("\"event\":\"answered\"")).length;
    t.true(answered >= 80 && answered < 200, `${answered}`);
    t.true(
        lines.some(line => line.includes("lost the platform's store")),
        "the limit of one kind does not affect other kinds"
    );
    log.reportOmitted();
    const { omitted, dropped } = JSON.parse(lines[lines.length - 1]!) as {
        readonly omitted: Readonly<Record<string, number>>;
        readonly dropped: number;
    };
    t.is(omitted["answered"], 1_000 - answered);
    t.is(dropped, 3);
});
