import test from "ava";
import { makeStartupWait } from "../../StartupWait";

test("holds requests until the instance has the state it needs", async t => {
    let isInformed = false;
    const beliefs = makeStartupWait(() => isInformed);
    const waiting = beliefs.whenInformed();
    t.truthy(waiting);
    beliefs.check();
    t.truthy(beliefs.whenInformed(), "incomplete state does not release requests");
    isInformed = true;
    beliefs.check();
    await waiting;
    t.is(beliefs.whenInformed(), undefined);
});

test("releases held requests when the store is lost", async t => {
    const beliefs = makeStartupWait(() => false);
    const waiting = beliefs.whenInformed();
    beliefs.giveUp();
    await waiting;
    t.is(beliefs.whenInformed(), undefined);
});
