// Guards against memory held for clients that has a limit for each kind alone, and none for all together.

import test from "ava";
import { makeHeldMemory } from "../../HeldMemory";

const none = () => undefined;

test("sheds the largest claim that can be given up", t => {
    const memory = makeHeldMemory(100);
    const shed: string[] = [];
    memory.claim(10, () => shed.push("small"));
    const large = memory.claim(40, () => shed.push("large"));
    memory.claim(60, () => shed.push("kept")).keep();
    t.deepEqual(shed, ["large"]);
    t.is(memory.claimedBytes(), 70);
    large.release();
    large.resize(1_000);
    t.is(memory.claimedBytes(), 70);
    t.deepEqual(shed, ["large"]);
});

test("sheds the claim without progress for longest among those of similar size", t => {
    const memory = makeHeldMemory(100);
    const shed: string[] = [];
    const first = memory.claim(33, () => shed.push("first"));
    memory.claim(40, () => shed.push("second"));
    first.touch();
    memory.claim(35, () => shed.push("third"));
    t.deepEqual(shed, ["second"]);
    first.resize(60);
    t.deepEqual(shed, ["second"]);
    first.resize(70);
    t.deepEqual(shed, ["second", "first"]);
});

test("sheds a new claim when the others are kept", t => {
    const memory = makeHeldMemory(100);
    memory.claim(90, none).keep();
    let isShed = false;
    const claim = memory.claim(20, () => isShed = true);
    t.true(isShed);
    claim.release();
    t.is(memory.claimedBytes(), 90);
});

test("exceeds the limit only by claims that are kept", t => {
    const memory = makeHeldMemory(100);
    const kept = memory.claim(60, none);
    kept.keep();
    kept.resize(120);
    let isShed = false;
    memory.claim(1, () => isShed = true);
    t.true(isShed);
    t.is(memory.claimedBytes(), 120);
    t.true(memory.isShort());
    kept.release();
    kept.release();
    t.is(memory.claimedBytes(), 0);
    t.false(memory.isShort());
});
