import { range } from "@endivebridge/shared";
import test from "ava";
import { type Crash, makeCrashRecords } from "../../index";

// Guards against a request that crashes one backend server after another because it is sent again, and against the
// quarantine of requests that were only in flight beside it when a server crashed.

const makeRecords = () => makeCrashRecords(() => 0);

const crash = (server: string, sentMillis: number, crashedMillis: number, isIsolated = false): Crash => ({
    server,
    sentMillis,
    crashedMillis,
    isIsolated
});

test("quarantines a request after two different servers crashed while running it", t => {
    const records = makeRecords();
    t.false(records.recordCrash("f", crash("s1", 0, 0)));
    t.false(records.recordCrash("f", crash("s1", 0, 0)), "repeated reports of one server's crash count once");
    t.true(records.isSuspect("f", 1));
    t.false(records.isQuarantined("f", 1));
    t.true(records.recordCrash("f", crash("s2", 0, 1, true)));
    t.true(records.isQuarantined("f", 2));
});

test("quarantines a request after three crashes one after the other, whatever ran beside it", t => {
    const records = makeRecords();
    t.false(records.recordCrash("f", crash("s1", 0, 500)));
    t.false(records.recordCrash("f", crash("s2", 510, 1_000)));
    t.true(records.recordCrash("f", crash("s3", 1_010, 1_500)));
});

test("combines the crashes recorded by two instances", t => {
    const records = makeRecords();
    records.recordCrash("f", crash("s1", 0, 0));
    const reported = { server: "s2", sentAgeMillis: 0, crashAgeMillis: 0, isIsolated: true };
    t.true(records.merge({ fingerprint: "f", crashes: [reported], clearedAgeMillis: undefined }, 0));
    t.deepEqual(records.quarantined(1), [{ fingerprint: "f", servers: ["s1", "s2"] }]);
});

test("clears a request after a completed run, so that frequent ones are not quarantined for others", t => {
    const records = makeRecords();
    records.recordCrash("popular", crash("s1", 0, 0));
    records.recordCompletedRun("popular", 5);
    t.false(records.recordCrash("popular", crash("s2", 6, 10, true)));
    t.false(records.isQuarantined("popular", 11));
});

test("a completed run at one instance clears the crashes that others know", t => {
    const [first, second] = [makeRecords(), makeRecords()];
    first.recordCrash("popular", crash("s1", 0, 10));
    first.nextReports(20).forEach(report => second.merge(report, 20));
    second.recordCompletedRun("popular", 30);
    second.nextReports(40).forEach(report => first.merge(report, 40));
    t.false(first.isSuspect("popular", 50));
    first.nextReports(60).forEach(report => second.merge(report, 60));
    t.false(second.isSuspect("popular", 70));
});

test("expires recorded crashes after five minutes", t => {
    const records = makeRecords();
    records.recordCrash("f", crash("s1", 0, 0));
    records.recordCrash("f", crash("s2", 0, 0, true));
    t.false(records.isQuarantined("f", 300_000));
    t.false(records.recordCrash("f", crash("s3", 300_000, 300_000, true)));
});

test("does not quarantine a request that was in flight on both servers by coincidence", t => {
    const records = makeRecords();
    records.recordCrash("popular", crash("s1", 0, 0));
    t.false(records.recordCrash("popular", crash("s2", 0, 5)));
    t.false(records.isQuarantined("popular", 6));
    t.true(records.isSuspect("popular", 6));
});

test("does not quarantine a frequent request for servers that crashed at the same time", t => {
    const records = makeRecords();
    records.recordCrash("popular", crash("s1", 0, 400));
    records.recordCrash("popular", crash("s2", 100, 410));
    t.false(records.recordCrash("popular", crash("s3", 200, 420)));
});

test("reports each of many quarantined requests to peers", t => {
    let draws = 0;
    const records = makeCrashRecords(() => {
        draws += 1;
        return draws * 0.618 % 1;
    });
    const fingerprints = range(40).map(index => `f${index}`);
    for (const fingerprint of fingerprints) {
        records.recordCrash(fingerprint, crash("s1", 0, 0));
        records.recordCrash(fingerprint, crash("s2", 1, 1, true));
    }
    const restarted = makeRecords();
    for (let nowMillis = 10_000; nowMillis < 50_000; nowMillis += 100) {
        records.nextReports(nowMillis).forEach(report => restarted.merge(report, nowMillis));
    }
    t.deepEqual(fingerprints.filter(fingerprint => !restarted.isQuarantined(fingerprint, 50_000)), []);
});
