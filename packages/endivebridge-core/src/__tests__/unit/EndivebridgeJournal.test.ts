import test from "ava";
import { makeJournal, type OperationId, steeringError } from "../../index";

// Guards against running an operation twice: a caller that lost the answer sends the operation again while the first
// run is in progress, after it finished, or after its outcome expired.

const id: OperationId = { instance: "a", incarnation: "1", mintEpoch: 0, random: "r", counter: "1" };

function makeTestJournal(time: { nowMillis: number; }, capacity = 10) {
    return makeJournal<string>({
        nowMillis: () => time.nowMillis,
        mintEpochMillis: 1_000,
        retentionMillis: 3_000,
        capacity
    });
}

test("returns the first run's answer when a finished operation is sent again", t => {
    const journal = makeTestJournal({ nowMillis: 0 });
    const first = journal.begin("a.1.0.r.1", id, "f");
    t.is(first.kind, "run");
    if (first.kind === "run") {
        first.finish({ kind: "answer", answer: "done" }, true);
    }
    t.deepEqual(journal.begin("a.1.0.r.1", id, "f"), { kind: "done", outcome: { kind: "answer", answer: "done" } });
});

test("joins the running operation when it is sent again", t => {
    const journal = makeTestJournal({ nowMillis: 0 });
    journal.begin("a.1.0.r.1", id, "f");
    t.is(journal.begin("a.1.0.r.1", id, "f").kind, "join");
});

test("refuses another body under the same id", t => {
    const journal = makeTestJournal({ nowMillis: 0 });
    journal.begin("a.1.0.r.1", id, "f");
    t.deepEqual(journal.begin("a.1.0.r.1", id, "g"), { kind: "refused", error: steeringError("operationMismatch") });
});

test("runs an operation again if its first attempt did not run", t => {
    const journal = makeTestJournal({ nowMillis: 0 });
    const first = journal.begin("a.1.0.r.1", id, "f");
    if (first.kind === "run") {
        first.finish({ kind: "error", error: steeringError("overloaded") }, false);
    }
    t.is(journal.begin("a.1.0.r.1", id, "f").kind, "run");
});

test("refuses an expired id as maybe run instead of running it as new", t => {
    const time = { nowMillis: 0 };
    const journal = makeTestJournal(time);
    const first = journal.begin("a.1.0.r.1", id, "f");
    if (first.kind === "run") {
        first.finish({ kind: "answer", answer: "done" }, true);
    }
    time.nowMillis = 3_999;
    journal.removeExpired();
    t.is(journal.begin("a.1.0.r.1", id, "f").kind, "done");
    time.nowMillis = 4_000;
    journal.removeExpired();
    t.is(journal.size(), 0);
    t.deepEqual(journal.begin("a.1.0.r.1", id, "f"), { kind: "refused", error: steeringError("operationExpired") });
});

test("refuses new operations as not run when full and keeps the existing ones", t => {
    const journal = makeTestJournal({ nowMillis: 0 }, 1);
    journal.begin("a.1.0.r.1", id, "f");
    t.deepEqual(journal.begin("a.1.0.r.2", id, "f"), { kind: "refused", error: steeringError("journalFull") });
    t.is(journal.begin("a.1.0.r.1", id, "f").kind, "join");
});
