import test from "ava";
import { makeServiceReachability } from "../../index";

// Guards against an instance that takes a few dead servers for a partition, or a partition for dead servers.

test("a service is cut off after new connections to three servers failed one after the other", t => {
    const reachability = makeServiceReachability(() => 10);
    t.false(reachability.recordConnection("desk", "s1", false));
    t.false(reachability.recordConnection("desk", "s1", false), "the same server again");
    t.false(reachability.recordConnection("desk", "s2", false));
    t.true(reachability.recordConnection("desk", "s3", false));
    t.deepEqual(reachability.cutOffServices(), ["desk"]);
    t.false(reachability.isCutOff("other"));
});

test("servers that fail between others that accept connections leave the service reachable", t => {
    const reachability = makeServiceReachability(() => 10);
    for (const server of ["s1", "s2", "s3", "s4"]) {
        reachability.recordConnection("desk", server, false);
        reachability.recordConnection("desk", "s5", true);
    }
    t.false(reachability.isCutOff("desk"));
});

test("a service is reachable again once two servers accept connections", t => {
    const reachability = makeServiceReachability(() => 10);
    ["s1", "s2", "s3"].forEach(server => reachability.recordConnection("desk", server, false));
    reachability.recordConnection("desk", "s1", true);
    reachability.recordConnection("desk", "s2", false);
    t.false(reachability.recordConnection("desk", "s3", true));
    t.true(reachability.recordConnection("desk", "s1", true));
    t.false(reachability.isCutOff("desk"));
});

test("the only server of a service decides alone", t => {
    const reachability = makeServiceReachability(() => 1);
    t.true(reachability.recordConnection("desk", "s1", false));
    t.true(reachability.recordConnection("desk", "s1", true));
});
