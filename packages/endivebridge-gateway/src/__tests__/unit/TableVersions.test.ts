import test from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import { makeTableVersions } from "../../TableVersions";

test("reports how long ago a table was confirmed, also if the time of day was set back since", async t => {
    const versions = makeTableVersions();
    versions.record("op", 7, 0);
    versions.recordConfirmation("op", { version: 7, era: 0, ageMillis: 100 });
    const timeOfDay = Date.now;
    t.teardown(() => Date.now = timeOfDay);
    Date.now = () => timeOfDay() - 60_000;
    await sleep(50);
    const { version, ageMillis } = versions.current().tableConfirmations!["op"]!;
    t.is(version, 7);
    t.true(ageMillis >= 145 && ageMillis < 5_000, `${ageMillis} ms`);
});

test("counts the time in which the machine was suspended, which the monotonic clock does not show", t => {
    const versions = makeTableVersions();
    versions.recordConfirmation("op", { version: 7, era: 0, ageMillis: 0 });
    const timeOfDay = Date.now;
    t.teardown(() => Date.now = timeOfDay);
    Date.now = () => timeOfDay() + 8_000;
    t.deepEqual(versions.current().tableConfirmations, {});
    Date.now = () => timeOfDay() + 1_000;
    t.true(versions.current().tableConfirmations!["op"]!.ageMillis >= 1_000);
});

test("reports no confirmation from before the store's return from a copy", t => {
    const versions = makeTableVersions();
    versions.recordConfirmation("op", { version: 7, era: 1, ageMillis: 0 });
    versions.record("op", 3, 2);
    t.deepEqual(versions.current().tableConfirmations, {});
});
