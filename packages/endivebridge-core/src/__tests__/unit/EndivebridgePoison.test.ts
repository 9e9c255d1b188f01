import test from "ava";
import { makePoisonList } from "../../index";

test("a request is quarantined after two different servers died under it", t => {
    const list = makePoisonList();
    t.false(list.strike("f", "s1", false, 0));
    t.false(list.strike("f", "s1", false, 0), "four requests cut by one death are one death");
    t.true(list.isSuspect("f", 1));
    t.false(list.isQuarantined("f", 1));
    t.true(list.strike("f", "s2", true, 1));
    t.true(list.isQuarantined("f", 2));
});

test("what two instances saw adds up", t => {
    const list = makePoisonList();
    list.strike("f", "s1", false, 0);
    list.learn({ fingerprint: "f", servers: ["s2"] }, 0);
    t.deepEqual(list.quarantined(1), [{ fingerprint: "f", servers: ["s1", "s2"] }]);
});

test("a request that ran well is cleared, so that popular ones are not blamed for their neighbours", t => {
    const list = makePoisonList();
    list.strike("popular", "s1", false, 0);
    list.clear("popular");
    t.false(list.strike("popular", "s2", false, 10));
    t.false(list.isQuarantined("popular", 11));
});

test("strikes are forgotten after five minutes", t => {
    const list = makePoisonList();
    list.strike("f", "s1", false, 0);
    list.strike("f", "s2", true, 0);
    t.false(list.isQuarantined("f", 300_000));
    t.false(list.strike("f", "s3", true, 300_000));
});

test("a request that was in flight on both servers by chance is not quarantined", t => {
    const list = makePoisonList();
    list.strike("popular", "s1", false, 0);
    t.false(list.strike("popular", "s2", false, 5));
    t.false(list.isQuarantined("popular", 6));
    t.true(list.isSuspect("popular", 6));
});
