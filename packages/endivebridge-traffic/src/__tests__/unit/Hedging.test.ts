import { range } from "@endivebridge/shared";
import test from "ava";
import fc from "fast-check";
import { makeHedging, type Placed } from "../../index";
import { makePlacementSample, route } from "./Samples";

// Guards against hedges that add load to slow, cold or full servers. With too short a delay, ordinary requests are sent
// twice; with too long a delay, little of a straggler's time is left when its hedge is sent.

test("limits hedges to 5% of the requests for any order of events", t => {
    t.notThrows(() =>
        fc.assert(fc.property(
            fc.array(fc.tuple(fc.boolean(), fc.nat({ max: 500 })), { maxLength: 400 }),
            events => {
                const hedging = makeHedging();
                let nowMillis = 0;
                let requests = 0;
                let hedges = 0;
                for (const [isRequest, stepMillis] of events) {
                    nowMillis += stepMillis;
                    if (isRequest) {
                        hedging.countRequest("desk", nowMillis);
                        requests += 1;
                    }
                    else if (hedging.trySpend("desk", nowMillis)) {
                        hedges += 1;
                    }
                }
                return hedges <= requests * 0.05;
            }
        ))
    );
});

test("delays a hedge by 1.5 to 3 times the expected time", t => {
    const hedging = makeHedging();
    t.true(hedging.delayMillis(200) >= 300);
    t.true(hedging.delayMillis(200) <= 600);
});

test("does not hedge on a server that is full, leaving or cold", t => {
    const { pool, placement } = makePlacementSample([{ id: "s1" }]);
    const chosen = placement.choose({
        route: route({}),
        service: "desk",
        keyHash: 7,
        triedServers: new Set(),
        waitedShare: 0,
        isFirstAttempt: true,
        latestSendMillis: Infinity
    }, 0) as Placed;
    const tracked = pool.get("s1")!;
    t.true(placement.canHedge(chosen, 0));
    range(4).forEach(() => tracked.ownInFlight += 1);
    t.false(placement.canHedge(chosen, 0));
    tracked.ownInFlight = 1;
    tracked.coldUntilMillis = 100;
    t.false(placement.canHedge(chosen, 0));
    t.true(placement.canHedge(chosen, 200));
    tracked.server = { ...tracked.server, isLeaving: true };
    t.false(placement.canHedge(chosen, 200));
});
