import test from "ava";
import { makeFirstBeliefs } from "../../FirstBeliefs";

test("requests wait until the instance is informed, and no longer", async t => {
    let isInformed = false;
    const beliefs = makeFirstBeliefs(() => isInformed);
    const waiting = beliefs.whenInformed();
    t.truthy(waiting);
    beliefs.check();
    t.truthy(beliefs.whenInformed(), "half of what is needed is not enough");
    isInformed = true;
    beliefs.check();
    await waiting;
    t.is(beliefs.whenInformed(), undefined);
});

test("with the source of what is missing lost, nobody waits", async t => {
    const beliefs = makeFirstBeliefs(() => false);
    const waiting = beliefs.whenInformed();
    beliefs.giveUp();
    await waiting;
    t.is(beliefs.whenInformed(), undefined);
});
