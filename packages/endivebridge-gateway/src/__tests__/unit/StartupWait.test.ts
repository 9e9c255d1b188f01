// Guards against requests that are released before a starting instance can serve them, or held although the store, the
// source of the missing state, is lost.

import test from "ava";
import { makeStartupWait } from "../../StartupWait";

test("holds requests until the instance has the state it needs", async t => {
    let isStateComplete = false;
    const beliefs = makeStartupWait(() => isStateComplete);
    const waiting = beliefs.whenStateComplete();
    t.truthy(waiting);
    beliefs.releaseIfComplete();
    t.truthy(beliefs.whenStateComplete(), "incomplete state does not release requests");
    isStateComplete = true;
    beliefs.releaseIfComplete();
    await waiting;
    t.is(beliefs.whenStateComplete(), undefined);
});

test("releases held requests when the store is unavailable", async t => {
    const beliefs = makeStartupWait(() => false);
    const waiting = beliefs.whenStateComplete();
    beliefs.releaseNow();
    await waiting;
    t.is(beliefs.whenStateComplete(), undefined);
});
