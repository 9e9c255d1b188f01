// Guards against a second attempt that starts too early, and against a failed attempt that wins over a successful one.

import test from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import { raceAttempts } from "../../RaceAttempts";

const isSuccess = (outcome: string) => outcome.startsWith("good");

test("starts no second attempt if the first ends within the delay", async t => {
    let seconds = 0;
    const startSecond = () => {
        seconds += 1;
        return undefined;
    };
    t.is(await raceAttempts({ first: sleep(5, "bad"), delayMillis: 60_000, startSecond, isSuccess }), "bad");
    t.is(seconds, 0);
});

test("resolves with the first good outcome of either attempt", async t => {
    const race = (firstMillis: number, secondMillis: number, second: string) =>
        raceAttempts({
            first: sleep(firstMillis, "good first"),
            delayMillis: 1,
            startSecond: () => sleep(secondMillis, second),
            isSuccess
        });
    t.is(await race(10_000, 5, "good second"), "good second");
    t.is(await race(100, 5, "bad second"), "good first");
});

test("waits for the first attempt if no second one is possible", async t => {
    const outcome = raceAttempts({
        first: sleep(50, "bad"),
        delayMillis: 1,
        startSecond: () => undefined,
        isSuccess
    });
    t.is(await outcome, "bad");
});
