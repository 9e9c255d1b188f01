import { range } from "@endivebridge/shared";
import test from "ava";
import fc from "fast-check";
import { hashText, type Placed, type PlacementRequest, type Unplaced } from "../../index";
import { makePlacementSample, route } from "./Samples";

// Guards against cold caches and full servers: a key that spreads over many servers under load makes all their caches
// cold, and a cold or full server that receives too many requests delays them all.

const request = (changes: Partial<PlacementRequest> = {}): PlacementRequest => ({
    route: route({}),
    service: "desk",
    keyHash: hashText("grave-7"),
    triedServers: new Set(),
    waitedShare: 0,
    isFirstAttempt: true,
    latestSendMillis: Infinity,
    ...changes
});

function idOf(chosen: Placed | Unplaced): string {
    return typeof chosen === "string" ? chosen : chosen.tracked.server.id;
}

const sixServers = range(6).map(index => ({ id: `s${index}` }));

test("sends a key to the same server from every instance while it has free slots", t => {
    const firstInstance = makePlacementSample(sixServers);
    const secondInstance = makePlacementSample([...sixServers].reverse());
    for (const key of range(50)) {
        const keyHash = hashText(`key-${key}`);
        t.is(
            idOf(firstInstance.placement.choose(request({ keyHash }), 0)),
            idOf(secondInstance.placement.choose(request({ keyHash }), 0))
        );
    }
});

test("sends a key to the same server from different failure domains of a region", t => {
    const servers = range(12).map(index => ({ id: `s${index}`, failureDomain: index < 6 ? "fraser-a" : "fraser-b" }));
    const firstInstance = makePlacementSample(servers);
    const secondInstance = makePlacementSample(servers, { failureDomain: "fraser-b" });
    for (const key of range(50)) {
        const keyHash = hashText(`key-${key}`);
        t.is(
            idOf(firstInstance.placement.choose(request({ keyHash }), 0)),
            idOf(secondInstance.placement.choose(request({ keyHash }), 0))
        );
    }
});

test("uses the next server at once while other instances warm up a key's first server", t => {
    const servers = range(6).map(index => ({
        id: `s${index}`,
        failureDomain: index < 3 ? "fraser-a" : "fraser-b",
        coldRemainingMillis: index < 3 ? 0 : 3_000
    }));
    const { placement } = makePlacementSample(servers, {
        coldRateSharerCount: failureDomain => failureDomain === "fraser-a" ? 1 : 0
    });
    for (const key of range(50)) {
        const chosen = placement.choose(request({ keyHash: hashText(`key-${key}`) }), 0) as Placed;
        t.is(chosen.tracked.server.failureDomain, "fraser-a");
        t.is(chosen.rank, 0);
    }
});

test("sends a cold server its rate and other requests for its keys to the warm servers", t => {
    const coldServer = { id: "new", coldRemainingMillis: 3_000 };
    const { pool, placement } = makePlacementSample([...sixServers, coldServer]);
    const warmSample = makePlacementSample(sixServers);
    let coldServerRequests = 0;
    for (let nowMillis = 500; nowMillis < 1_500; nowMillis += 5) {
        const keyHash = hashText(`key-${nowMillis % 40}`);
        const chosen = placement.choose(request({ keyHash }), nowMillis) as Placed;
        if (idOf(chosen) === "new") {
            pool.get("new")!.coldRateLimiter.consumeToken();
            coldServerRequests += 1;
        }
        else {
            t.is(idOf(chosen), idOf(warmSample.placement.choose(request({ keyHash }), nowMillis)));
        }
    }
    t.true(coldServerRequests >= 3 && coldServerRequests <= 11, `${coldServerRequests} in a second at ten a second`);
});

test("waits for a busy first server before it uses the second one", t => {
    const { pool, placement } = makePlacementSample(sixServers);
    const first = idOf(placement.choose(request(), 0));
    pool.get(first)!.peersInFlight = 4;
    t.is(placement.choose(request({ isFirstAttempt: false }), 0), "all busy");
    const second = placement.choose(request({ waitedShare: 0.3, isFirstAttempt: false }), 0) as Placed;
    t.is(second.rank, 1);
});

test("uses only the first two servers of a key under load", t => {
    const { pool, placement } = makePlacementSample(sixServers);
    const used = new Set<string>();
    for (let step = 0; step < 12; step += 1) {
        const chosen = placement.choose(request({ waitedShare: 1, isFirstAttempt: false }), 0);
        if (typeof chosen !== "string") {
            chosen.tracked.ownInFlight += 1;
            used.add(idOf(chosen));
        }
    }
    t.is(used.size, 2);
    t.true([...pool.all()].every(tracked => tracked.ownInFlight <= tracked.server.slots));
});

test("replaces an unusable first server at once", t => {
    const { pool, placement } = makePlacementSample(sixServers);
    const first = idOf(placement.choose(request(), 0));
    pool.get(first)!.avoidUntilMillis = 1_000;
    const next = placement.choose(request(), 0) as Placed;
    t.not(idOf(next), first);
    t.is(next.rank, 0);
});

test("never exceeds a server's slots under any load", t => {
    t.notThrows(() =>
        fc.assert(fc.property(
            fc.array(fc.tuple(fc.nat({ max: 30 }), fc.double({ min: 0, max: 1, noNaN: true })), { maxLength: 200 }),
            loads => {
                const { pool, placement } = makePlacementSample(sixServers);
                for (const [key, waitedShare] of loads) {
                    const chosen = placement.choose(request({ keyHash: hashText(`k${key}`), waitedShare }), 0);
                    if (typeof chosen !== "string") {
                        chosen.tracked.ownInFlight += 1;
                    }
                }
                return [...pool.all()].every(tracked => tracked.ownInFlight <= tracked.server.slots);
            }
        ))
    );
});

test("sends no request to leaving or evacuated servers", t => {
    const { pool, placement, evacuated } = makePlacementSample([
        { id: "s1" },
        { id: "s2", failureDomain: "fraser-b" },
        { id: "s3", isLeaving: true }
    ]);
    evacuated.add("fraser-b");
    for (const key of range(20)) {
        t.is(idOf(placement.choose(request({ keyHash: hashText(`k${key}`) }), 0)), "s1");
    }
    pool.remove("s1");
    t.is(placement.choose(request(), 0), "no servers");
});

test("keeps requests of a route with home regions inside them", t => {
    const { balance, placement } = makePlacementSample([
        { id: "s1" },
        { id: "far", region: "kootenay", failureDomain: "kootenay-a" }
    ]);
    balance.initialize("desk", 1);
    const homeRoute = route({ homeRegions: ["fraser"] });
    for (const key of range(20)) {
        t.is(idOf(placement.choose(request({ route: homeRoute, keyHash: hashText(`k${key}`) }), 0)), "s1");
    }
});

test("sends the share of keys to other regions that the balance sets", t => {
    const { balance, placement } = makePlacementSample([
        { id: "s1", slots: 100 },
        { id: "far", region: "kootenay", failureDomain: "kootenay-a", slots: 100 }
    ]);
    balance.initialize("desk", 0.4);
    const remoteChoices = range(1_000).filter(key => {
        const chosen = placement.choose(request({ keyHash: hashText(`key ${key}`) }), 0) as Placed;
        return chosen.isRemote;
    });
    t.true(Math.abs(remoteChoices.length - 400) < 60, `${remoteChoices.length} of 1000`);
});

test("sends a cold server this instance's share of its rate at most and nothing from other regions", t => {
    const { placement } = makePlacementSample([{ id: "s1", coldRemainingMillis: 10_000, slots: 100 }]);
    let taken = 0;
    for (let nowMillis = 0; nowMillis <= 3_000; nowMillis += 10) {
        const chosen = placement.choose(request(), nowMillis);
        if (typeof chosen !== "string") {
            chosen.tracked.coldRateLimiter.consumeToken();
            taken += 1;
        }
    }
    t.true(taken <= 30 && taken >= 25, `${taken} in three seconds at ten a second`);
    const remote = makePlacementSample([{
        id: "far",
        region: "kootenay",
        failureDomain: "kootenay-a",
        coldRemainingMillis: 10_000
    }]);
    t.is(remote.placement.choose(request(), 5_000), "all busy");
});
