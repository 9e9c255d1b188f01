import test from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import { raceAttempts } from "../../RaceAttempts";

const isGood = (outcome: string) => outcome.startsWith("good");

test("a first attempt that ends in time is the only one", async t => {
    let seconds = 0;
    const startSecond = () => {
        seconds += 1;
        return undefined;
    };
    t.is(await raceAttempts({ first: sleep(5, "bad"), delayMillis: 60_000, startSecond, isGood }), "bad");
    t.is(seconds, 0);
});

test("the first good outcome counts, whichever attempt it is of", async t => {
    const race = (firstMillis: number, secondMillis: number, second: string) =>
        raceAttempts({
            first: sleep(firstMillis, "good first"),
            delayMillis: 1,
            startSecond: () => sleep(secondMillis, second),
            isGood
        });
    t.is(await race(10_000, 5, "good second"), "good second");
    t.is(await race(100, 5, "bad second"), "good first");
});

test("where no second attempt can be made, the first is waited for", async t => {
    const outcome = raceAttempts({ first: sleep(50, "bad"), delayMillis: 1, startSecond: () => undefined, isGood });
    t.is(await outcome, "bad");
});
