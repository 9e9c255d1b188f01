import test from "ava";
import {
    initialShareFactor,
    makeAttemptAgeEstimator,
    makeRegionBalance,
    makeRequestQueue,
    type Waiter
} from "../../index";

// Guards against an overload that sustains itself: slots spent on requests that are late anyway, idle slots while
// requests are queued, refusals of requests that could still be answered, and load that moves between regions in jumps.

interface Outcome {
    placedAtMillis?: number;
    refusedAtMillis?: number;
    retryAfterMillis?: number;
    reason?: string;
}

/** Simulates a service with a number of slots and a fixed service time. */
function makeSimulation(slots: number, workMillis: number) {
    const queue = makeRequestQueue();
    let free = slots;
    let nowMillis = 0;
    const ends: number[] = [];
    const outcomes: Outcome[] = [];

    const advance = (toMillis: number) => {
        while (nowMillis < toMillis) {
            nowMillis += 5;
            while (ends.length > 0 && ends[0]! <= nowMillis) {
                ends.shift();
                free += 1;
                queue.serve("desk", nowMillis);
            }
            queue.serveAll(nowMillis);
        }
    };
    const send = (
        priority: number,
        objectiveMillis: number,
        deadlineMillis: number,
        isRetryAfterRefusal = false
    ): Outcome => {
        const outcome: Outcome = {};
        const waiter: Waiter = {
            service: "desk",
            priority,
            latestOnTimeSendMillis: nowMillis + objectiveMillis - workMillis,
            isRetryAfterRefusal,
            latestSendMillis: nowMillis + deadlineMillis - workMillis,
            tryPlace: at => {
                if (free === 0) {
                    return false;
                }
                free -= 1;
                ends.push(at + workMillis);
                outcome.placedAtMillis = at;
                return true;
            },
            isWithinRateLimits: () => true,
            refuse: (reason, retryAfterMillis) => {
                outcome.reason = reason;
                outcome.refusedAtMillis = nowMillis;
                outcome.retryAfterMillis = retryAfterMillis;
            }
        };
        outcomes.push(outcome);
        queue.submit(waiter, nowMillis);
        return outcome;
    };
    return { queue, advance, send, outcomes, now: () => nowMillis };
}

test("keeps the slots busy at twice their capacity and gives every request one outcome", t => {
    const load = makeSimulation(4, 100);
    for (let step = 0; step < 400; step += 1) {
        load.send(step % 3, 400, 1_500);
        load.advance(load.now() + 12);
    }
    load.advance(load.now() + 3_000);
    const placed = load.outcomes.filter(outcome => outcome.placedAtMillis !== undefined);
    const refused = load.outcomes.filter(outcome => outcome.refusedAtMillis !== undefined);
    t.is(placed.length + refused.length, 400);
    // 400 x 12 ms at four slots of 100 ms serve 192 and the requests queued at the end.
    t.true(placed.length >= 190, `${placed.length} served`);
});

test("serves urgent requests first under load", t => {
    const load = makeSimulation(2, 100);
    const urgent: Outcome[] = [];
    const other: Outcome[] = [];
    for (let step = 0; step < 200; step += 1) {
        (step % 3 === 0 ? urgent : other).push(load.send(step % 3 === 0 ? 0 : 2, 400, 1_000));
        load.advance(load.now() + 20);
    }
    load.advance(load.now() + 2_000);
    const share = (outcomes: readonly Outcome[]) =>
        outcomes.filter(outcome => outcome.placedAtMillis !== undefined).length / outcomes.length;
    t.is(share(urgent), 1);
    t.true(share(other) < share(urgent));
});

test("refuses a request at once with a retry delay if the queue cannot reach it in time", t => {
    const load = makeSimulation(1, 200);
    for (let step = 0; step < 20; step += 1) {
        load.send(1, 5_000, 6_000);
    }
    load.advance(1_000);
    const served = load.outcomes.filter(outcome => outcome.placedAtMillis !== undefined).length;
    t.is(served, 6, "one at once and one each 200 ms");
    const late = load.send(2, 900, 1_200);
    t.is(late.refusedAtMillis, load.now());
    t.true(late.retryAfterMillis! >= 1_000, `${late.retryAfterMillis} ms`);
});

test("does not refuse a burst after a quiet period because few requests were placed before it", t => {
    const load = makeSimulation(4, 100);
    for (let step = 0; step < 4; step += 1) {
        load.send(1, 400, 1_500);
        load.advance(load.now() + 500);
    }
    for (let step = 0; step < 20; step += 1) {
        load.send(1, 400, 1_500);
    }
    load.advance(load.now() + 1_000);
    t.true(load.outcomes.every(outcome => outcome.placedAtMillis !== undefined));
});

test("serves a retry after a refusal before other late requests", t => {
    const load = makeSimulation(1, 200);
    load.send(1, 400, 1_000);
    const waiting = load.send(1, 100, 2_000);
    const returned = load.send(1, 100, 2_000, true);
    load.advance(1_500);
    t.true(returned.placedAtMillis! < waiting.placedAtMillis!);
});

test("treats a request with clearly less time than the route's first attempts as a later attempt", t => {
    const ages = makeAttemptAgeEstimator();
    t.is(ages.sinceFirstMillis("r", 2_000), 0);
    t.is(ages.sinceFirstMillis("r", 1_700), 0);
    t.is(ages.sinceFirstMillis("r", 1_400), 400);
    t.is(ages.sinceFirstMillis("other", 1_400), 0);
    t.is(ages.sinceFirstMillis("r", undefined), 0);
});

test("gives a free slot to a new request if the queued ones cannot use it", t => {
    const queue = makeRequestQueue();
    const waiter = (placeable: boolean): Waiter & { wasPlaced: boolean; } => {
        const made = {
            service: "desk",
            priority: 1,
            latestOnTimeSendMillis: 300,
            isRetryAfterRefusal: false,
            latestSendMillis: 900,
            wasPlaced: false,
            tryPlace: () => made.wasPlaced = placeable,
            isWithinRateLimits: () => true,
            refuse: () => t.fail()
        };
        return made;
    };
    const blocked = waiter(false);
    const fitting = waiter(true);
    queue.submit(blocked, 0);
    queue.submit(fitting, 1);
    t.false(blocked.wasPlaced);
    t.true(fitting.wasPlaced);
});

test("limits the rate of change of the share sent to other regions under any load", t => {
    const stepPerSecond = 0.04;
    const balance = makeRegionBalance(stepPerSecond, 0.04);
    balance.initialize("desk", 0.3);
    const shares: number[] = [];
    for (let step = 0; step < 300; step += 1) {
        const isBusy = Math.floor(step / 40) % 2 === 0;
        balance.adjust("desk", { own: isBusy ? 1 : 0, others: isBusy ? 0.1 : 0.9 }, isBusy ? 1 : 0, step * 200);
        shares.push(balance.awayShare("desk"));
    }
    const steps = shares.slice(10).map((share, index) => Math.abs(share - shares[index]!));
    t.true(Math.max(...steps) <= stepPerSecond * 2 + 1e-9, `${Math.max(...steps)} in two seconds`);
    t.true(Math.max(...shares) > 0.5 && Math.min(...shares) < 0.3);
});

test("moves keys to other regions before their first servers are often full and back when load falls", t => {
    const balance = makeRegionBalance(0.04, 0.04);
    balance.initialize("desk", 0);
    const shareChangeAt = (ownUse: number) => {
        const from = balance.awayShare("desk");
        for (let step = 0; step < 20; step += 1) {
            nowMillis += 200;
            balance.adjust("desk", { own: ownUse, others: 0.2 }, undefined, nowMillis);
        }
        return balance.awayShare("desk") - from;
    };
    let nowMillis = 0;
    // With four slots per server, at a utilization of 0.6 every fourth request finds its key's server full.
    t.true(shareChangeAt(0.6) > 0.02);
    t.true(shareChangeAt(0.3) < -0.02);
});

test("starts with a smaller remote share the more of the objective the round trip takes", t => {
    t.true(initialShareFactor(110, 1_000) > 0.95);
    t.true(initialShareFactor(110, 300) < initialShareFactor(110, 400));
    t.true(initialShareFactor(110, 200) < 0.75);
    t.is(initialShareFactor(110, 110), 0);
    t.is(initialShareFactor(110, 60), 0);
});
