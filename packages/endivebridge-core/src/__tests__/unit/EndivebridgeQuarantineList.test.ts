import test from "ava";
import { makeQuarantineList } from "../../index";

// Guards against a request that crashes one backend server after another because it is sent again, and against the
// quarantine of requests that were only in flight beside it when a server crashed.

test("quarantines a request after two different servers crashed while running it", t => {
    const list = makeQuarantineList();
    t.false(list.recordCrash("f", "s1", false, 0));
    t.false(list.recordCrash("f", "s1", false, 0), "repeated reports of one server's crash count once");
    t.true(list.isSuspect("f", 1));
    t.false(list.isQuarantined("f", 1));
    t.true(list.recordCrash("f", "s2", true, 1));
    t.true(list.isQuarantined("f", 2));
});

test("combines the crashes recorded by two instances", t => {
    const list = makeQuarantineList();
    list.recordCrash("f", "s1", false, 0);
    list.merge({ fingerprint: "f", servers: ["s2"] }, 0);
    t.deepEqual(list.quarantined(1), [{ fingerprint: "f", servers: ["s1", "s2"] }]);
});

test("clears a request after a successful run, so that frequent ones are not quarantined for others", t => {
    const list = makeQuarantineList();
    list.recordCrash("popular", "s1", false, 0);
    list.clear("popular");
    t.false(list.recordCrash("popular", "s2", false, 10));
    t.false(list.isQuarantined("popular", 11));
});

test("expires recorded crashes after five minutes", t => {
    const list = makeQuarantineList();
    list.recordCrash("f", "s1", false, 0);
    list.recordCrash("f", "s2", true, 0);
    t.false(list.isQuarantined("f", 300_000));
    t.false(list.recordCrash("f", "s3", true, 300_000));
});

test("does not quarantine a request that was in flight on both servers by coincidence", t => {
    const list = makeQuarantineList();
    list.recordCrash("popular", "s1", false, 0);
    t.false(list.recordCrash("popular", "s2", false, 5));
    t.false(list.isQuarantined("popular", 6));
    t.true(list.isSuspect("popular", 6));
});
