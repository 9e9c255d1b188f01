import test from "ava";
import { makeSlotPool, pickLeastCost, type WaitOutcome } from "../../index";

const none: ReadonlySet<string> = new Set();

function makePool(allowed = { dispatch: true }) {
    return makeSlotPool({ pickServer: pickLeastCost, mayDispatch: () => allowed.dispatch, nowMillis: () => 0 });
}

function owned(server: string, usableSlots: number, leaving = false) {
    return { server, address: "127.0.0.1:1", usableSlots, leaving };
}

test("grants no more slots than are owned", t => {
    const pool = makePool();
    pool.assign([owned("s1", 2), owned("s2", 1)]);
    const held = [1, 2, 3].map(() => pool.tryAcquire(none));
    t.true(held.every(slot => slot !== undefined));
    t.is(pool.tryAcquire(none), undefined);
    held[0]!.release();
    held[0]!.release();
    t.not(pool.tryAcquire(none), undefined);
    t.is(pool.tryAcquire(none), undefined);
});

test("gives a freed slot to the longest waiting request", t => {
    const pool = makePool();
    pool.assign([owned("s1", 1)]);
    const held = pool.tryAcquire(none)!;
    const order: string[] = [];
    const recordOutcome = (name: string) => (outcome: WaitOutcome) => order.push(`${name} ${outcome.kind}`);
    pool.wait(none, 1, recordOutcome("first"));
    pool.wait(none, 2, recordOutcome("second"));
    held.release();
    t.deepEqual(order, ["first slot"]);
    t.is(pool.waiting(), 1);
});

test("dispatches nothing without the lease and resumes waiters once it is held again", t => {
    const allowed = { dispatch: false };
    const pool = makePool(allowed);
    pool.assign([owned("s1", 1)]);
    const outcomes: string[] = [];
    pool.wait(none, 0, outcome => outcomes.push(outcome.kind));
    t.is(pool.tryAcquire(none), undefined);
    t.is(pool.freeSlots(), 0);
    allowed.dispatch = true;
    pool.resumeWaiters();
    t.deepEqual(outcomes, ["slot"]);
});

test("sends no new request to a removed server, also after its requests end", t => {
    const pool = makePool();
    pool.assign([owned("s1", 1)]);
    const held = pool.tryAcquire(none)!;
    pool.assign([]);
    held.release();
    t.is(pool.tryAcquire(none), undefined);
});

test("sends no new request to a leaving server", t => {
    const pool = makePool();
    pool.assign([owned("s1", 1, true)]);
    t.is(pool.tryAcquire(none), undefined);
    t.is(pool.freeSlots(), 0);
});

test("serves later waiters when the first one excludes the only free server", t => {
    const pool = makePool();
    pool.assign([owned("s1", 1)]);
    const held = pool.tryAcquire(none)!;
    const outcomes: string[] = [];
    pool.wait(new Set(["s1"]), 0, () => outcomes.push("excluding"));
    pool.wait(none, 1, () => outcomes.push("ordinary"));
    held.release();
    t.deepEqual(outcomes, ["ordinary"]);
});

test("keeps the queue position of a request that returns from trying peers", t => {
    const pool = makePool();
    pool.assign([owned("s1", 1)]);
    const held = pool.tryAcquire(none)!;
    const order: string[] = [];
    pool.wait(none, 1, outcome => order.push(`first ${outcome.kind}`));
    pool.wait(none, 2, outcome => order.push(`second ${outcome.kind}`));
    pool.redirectWaiters(1);
    pool.wait(none, 1, outcome => order.push(`first ${outcome.kind}`));
    held.release();
    t.deepEqual(order, ["first elsewhere", "first slot"]);
});
