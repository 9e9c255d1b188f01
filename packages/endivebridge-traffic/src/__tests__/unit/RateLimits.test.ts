import { range } from "@endivebridge/shared";
import test, { type ExecutionContext } from "ava";
import fc from "fast-check";
import {
    type BackendServer,
    computeRateLimitShare,
    hashText,
    makeRequestQueue,
    makeServerRateLimit,
    type Placed,
    type RateLimitSharer
} from "../../index";
import { makePlacementSample, route } from "./Samples";

// Guards against instances that keep a server's rate limit each for itself, so that all together exceed it.

const windowMillis = 4_000;
const regions = ["fraser", "kootenay", "northcoast"];

function makeSharers(count: number): readonly RateLimitSharer[] {
    return range(count).map(index => ({ name: `edge-${index}`, region: regions[index % regions.length]! }));
}

/** Requests per second that the limit permits in any window, as callers of the server count them. */
function allowedInWindow(requestsPerSecond: number): number {
    return requestsPerSecond * 1.5 * windowMillis / 1_000 + 5;
}

function largestWindowCount(atMillis: readonly number[]): number {
    return Math.max(
        0,
        ...atMillis.map(start => atMillis.filter(at => at >= start && at < start + windowMillis).length)
    );
}

test("the shares of all instances add up to a server's rate limit", t => {
    fc.assert(
        fc.property(
            fc.integer({ min: 1, max: 80 }),
            fc.double({ min: 0.1, max: 50, noNaN: true }),
            fc.constantFrom(...regions, "elsewhere"),
            fc.integer({ min: 0, max: 9 }),
            (count, requestsPerSecond, region, turn) => {
                const sharers = makeSharers(count);
                const sum = sharers
                    .map(own => {
                        const others = sharers.filter(other => other !== own);
                        return computeRateLimitShare(own, others, { id: "s1", region }, { requestsPerSecond, turn });
                    })
                    .reduce((total, share) => total + share, 0);
                const isServedFromElsewhere = region === "elsewhere" || (count < 3 && region !== "fraser");
                return sum <= requestsPerSecond * (1 + 1e-9)
                    && (isServedFromElsewhere || sum >= requestsPerSecond * 0.79);
            }
        )
    );
    t.pass();
});

/** Instances that all know the same servers and share their limits. */
function makeInstances(sharers: readonly RateLimitSharer[], servers: readonly Partial<BackendServer>[]) {
    return sharers.map(own => {
        const others = sharers.filter(other => other !== own);
        const shares = new Map<string, number>();
        return makePlacementSample(servers, {
            region: own.region,
            regionInstanceCount: () => sharers.filter(({ region }) => region === own.region).length,
            rateLimitShare: (limit, server) => {
                const key = `${server.id} ${limit.requestsPerSecond} ${limit.turn}`;
                const share = shares.get(key) ?? computeRateLimitShare(own, others, server, limit);
                shares.set(key, share);
                return share;
            }
        });
    });
}

/** Sends of all instances by server when each of them gets a request every 20 ms. */
function sendFromAll(
    instances: ReturnType<typeof makeInstances>,
    fromMillis: number,
    toMillis: number
): ReadonlyMap<string, readonly number[]> {
    const sendsMillis = new Map<string, number[]>();
    for (let nowMillis = fromMillis; nowMillis < toMillis; nowMillis += 20) {
        for (const { placement } of instances) {
            const chosen = placement.choose({
                route: route({}),
                service: "desk",
                keyHash: hashText(`key ${nowMillis % 700}`),
                triedServers: new Set(),
                waitedShare: 1,
                isFirstAttempt: true,
                latestSendMillis: nowMillis + 1_000
            }, nowMillis);
            if (typeof chosen !== "string") {
                placement.reserve(chosen, nowMillis);
                chosen.tracked.ownInFlight -= 1;
                const { id } = chosen.tracked.server;
                sendsMillis.set(id, [...sendsMillis.get(id) ?? [], nowMillis]);
            }
        }
    }
    return sendsMillis;
}

const limits = [0.4, 1, 1.8, 3, 7, 20];
const limitedServers = range(limits.length).map(index => ({ id: `s${index}` }));

function recordLimits(
    instances: ReturnType<typeof makeInstances>,
    limitOf: (index: number) => number,
    nowMillis: number
): void {
    for (const { pool } of instances) {
        range(limits.length).forEach(index =>
            pool.get(`s${index}`)!.rateLimit.record(
                { requestsPerSecond: limitOf(index), atMillis: nowMillis },
                nowMillis
            )
        );
    }
}

function assertLimitsKept(t: ExecutionContext, sendsMillis: ReadonlyMap<string, readonly number[]>): void {
    limits.forEach((requestsPerSecond, index) => {
        const inWindow = largestWindowCount(sendsMillis.get(`s${index}`) ?? []);
        t.true(
            inWindow <= allowedInWindow(requestsPerSecond),
            `${inWindow} in four seconds at a limit of ${requestsPerSecond}`
        );
    });
}

for (const instanceCount of [1, 12, 65]) {
    test(`${instanceCount} instances with more requests than rate limits allow exceed none of them`, t => {
        const instances = makeInstances(makeSharers(instanceCount), limitedServers);
        recordLimits(instances, index => limits[index]!, 0);
        const sendsMillis = sendFromAll(instances, 0, 30_000);
        assertLimitsKept(t, sendsMillis);
        limits.forEach((requestsPerSecond, index) => {
            const { length } = sendsMillis.get(`s${index}`) ?? [];
            t.true(length >= requestsPerSecond * 30 * 0.7, `${length} at ${requestsPerSecond} a second`);
        });
    });

    test(`${instanceCount} instances that get requests after a pause without answers exceed no rate limit`, t => {
        const instances = makeInstances(makeSharers(instanceCount), limitedServers);
        recordLimits(instances, index => limits[index]!, 0);
        sendFromAll(instances, 0, 40);
        assertLimitsKept(t, sendFromAll(instances, 56_000, 68_000));
    });

    test(`${instanceCount} instances with unused tokens exceed no rate limit that has fallen`, t => {
        const instances = makeInstances(makeSharers(instanceCount), limitedServers);
        recordLimits(instances, index => limits[index]! * 10, 0);
        sendFromAll(instances, 0, 40);
        for (const { pool, placement } of instances) {
            limitedServers.forEach(({ id }) =>
                placement.canHedge({ tracked: pool.get(id)!, rank: 0, isRemote: false, expectedMillis: 0 }, 20_000)
            );
        }
        recordLimits(instances, index => limits[index]!, 20_000);
        assertLimitsKept(t, sendFromAll(instances, 20_000, 28_000));
    });
}

test("many instances use a rate limit of few requests, though each gets few requests for the server", t => {
    const sharers = makeSharers(65);
    const limitedCount = 20;
    const requestsPerSecond = 2;
    const servers = range(30).map(index => ({ id: `s${index}` }));
    const everywhere = makeInstances(sharers, servers);
    const instances = range(sharers.length)
        .filter(index => sharers[index]!.region === "fraser")
        .map(index => everywhere[index]!);
    for (const { pool } of instances) {
        range(limitedCount).forEach(index =>
            pool.get(`s${index}`)!.rateLimit.record({ requestsPerSecond, atMillis: 0 }, 0)
        );
    }
    let limitedSends = 0;
    const seconds = 30;
    for (let nowMillis = 0; nowMillis < seconds * 1_000; nowMillis += 60) {
        instances.forEach(({ placement }, index) => {
            const chosen = placement.choose({
                route: route({}),
                service: "desk",
                keyHash: hashText(`key ${hashText(`${nowMillis} ${index}`) % 3_000}`),
                triedServers: new Set(),
                waitedShare: 0,
                isFirstAttempt: true,
                latestSendMillis: Infinity
            }, nowMillis);
            if (typeof chosen !== "string") {
                placement.reserve(chosen, nowMillis);
                chosen.tracked.ownInFlight -= 1;
                limitedSends += Number(chosen.tracked.server.id.slice(1)) < limitedCount ? 1 : 0;
            }
        });
    }
    const usedShare = limitedSends / (limitedCount * requestsPerSecond * seconds);
    // All servers are used at five sixths, half of the requests find no token, and a fifth is left to other regions.
    t.true(usedShare > 5 / 6 / 2 * 0.8 && usedShare <= 1, `${usedShare} of the limits`);
});

test("the least urgent requests are refused when rate limits do not allow all", t => {
    const { pool, placement } = makePlacementSample([{ id: "s1" }, { id: "s2" }]);
    for (const id of ["s1", "s2"]) {
        pool.get(id)!.rateLimit.record({ requestsPerSecond: 3, atMillis: 0 }, 0);
    }
    const queue = makeRequestQueue();
    const refused: Record<number, number> = { 0: 0, 2: 0 };
    const submit = (priority: number, index: number, nowMillis: number) => {
        let isWithinRateLimits = true;
        const latestSendMillis = nowMillis + 1_500;
        queue.submit({
            service: "desk",
            priority,
            isRetryAfterRefusal: false,
            latestOnTimeSendMillis: nowMillis + 500,
            latestSendMillis,
            tryPlace: atMillis => {
                const chosen = placement.choose({
                    route: route({ priority }),
                    service: "desk",
                    keyHash: hashText(`key ${index}`),
                    triedServers: new Set(),
                    waitedShare: (atMillis - nowMillis) / 500,
                    isFirstAttempt: true,
                    latestSendMillis
                }, atMillis);
                isWithinRateLimits = chosen !== "rate limited";
                if (typeof chosen === "string") {
                    return false;
                }
                placement.reserve(chosen, atMillis);
                chosen.tracked.ownInFlight -= 1;
                return true;
            },
            isWithinRateLimits: () => isWithinRateLimits,
            refuse: () => refused[priority]! += 1
        }, nowMillis);
    };
    for (let nowMillis = 0; nowMillis < 20_000; nowMillis += 25) {
        if (nowMillis % 250 === 0) {
            submit(0, nowMillis, nowMillis);
        }
        if (nowMillis % 100 === 0) {
            submit(2, nowMillis + 1, nowMillis);
        }
        queue.serveAll(nowMillis);
    }
    t.is(refused[0], 0, "of 80 urgent requests");
    t.true(refused[2]! > 0, "of 200 less urgent requests");
});

test("a hedge is sent only within the rate limit of its server", t => {
    const { pool, placement } = makePlacementSample([{ id: "s1" }]);
    pool.get("s1")!.rateLimit.record({ requestsPerSecond: 1, atMillis: 0 }, 0);
    const placed: Placed = { tracked: pool.get("s1")!, rank: 0, isRemote: false, expectedMillis: 100 };
    t.true(placement.canHedge(placed, 1_000));
    placement.reserve(placed, 1_000);
    t.false(placement.canHedge(placed, 1_900));
    t.true(placement.canHedge(placed, 2_000));
});

test("a rate limit holds until a request sent after the last answer with a limit is answered without one", t => {
    const limit = makeServerRateLimit(0);
    const requestsPerSecond = (nowMillis: number) => limit.current(nowMillis)?.requestsPerSecond;
    t.true(limit.record({ requestsPerSecond: 3, atMillis: 1_000 }, 1_000));
    t.false(limit.record({ requestsPerSecond: undefined, atMillis: 900 }, 1_100), "answers in another order");
    t.is(requestsPerSecond(1_100), 3);
    t.true(limit.record({ requestsPerSecond: 2, atMillis: 1_200 }, 1_200));
    t.true(limit.record({ requestsPerSecond: undefined, atMillis: 1_300 }, 1_400));
    t.is(requestsPerSecond(1_400), undefined);
    t.false(limit.record({ requestsPerSecond: 2, atMillis: 1_250 }, 1_500), "a peer's report from before");
    t.true(limit.record({ requestsPerSecond: 2, atMillis: 1_500 }, 1_500));
    t.is(requestsPerSecond(600_000), 2, "no answer for a long time");
});

test("without answers of a server, each instance has a share of its rate limit in some turn", t => {
    const limit = makeServerRateLimit(0);
    limit.record({ requestsPerSecond: 0.1, atMillis: 0 }, 0);
    const sharers = makeSharers(12);
    const holders = new Set<string>();
    for (let nowMillis = 0; nowMillis < 3_600_000; nowMillis += 30_000) {
        const inTurn = sharers.filter(own => {
            const others = sharers.filter(other => other !== own);
            return computeRateLimitShare(own, others, { id: "s1", region: "fraser" }, limit.current(nowMillis)!) > 0;
        });
        t.is(inTurn.length, 1);
        inTurn.forEach(({ name }) => holders.add(name));
    }
    t.is(holders.size, 4, "the instances of the server's region");
});

test("most keys leave a server with a low rate limit for servers without one, the same at every instance", t => {
    const servers = range(10).map(index => ({ id: `s${index}` }));
    const [first, second] = [makePlacementSample(servers), makePlacementSample([...servers].reverse())];
    const placeKeys = ({ placement }: typeof first, nowMillis: number) =>
        range(300).map(key => {
            const chosen = placement.choose(
                {
                    route: route({}),
                    service: "desk",
                    keyHash: hashText(`key ${key}`),
                    triedServers: new Set(),
                    waitedShare: 0,
                    isFirstAttempt: true,
                    latestSendMillis: Infinity
                },
                nowMillis
            ) as Placed;
            return chosen.tracked.server.id;
        });
    const before = placeKeys(first, 0);
    for (const { pool } of [first, second]) {
        range(5).forEach(index => pool.get(`s${index}`)!.rateLimit.record({ requestsPerSecond: 5, atMillis: 0 }, 0));
    }
    const placed = placeKeys(first, 1_000);
    t.deepEqual(placeKeys(second, 1_000), placed);
    const atLimited = placed.filter(id => Number(id.slice(1)) < 5).length;
    t.true(atLimited > 10 && atLimited < 60, `${atLimited} of 300 keys; all servers without a limit: 150`);
    const movedBetweenUnlimited = placed.filter((id, key) => Number(before[key]!.slice(1)) >= 5 && id !== before[key]);
    t.is(movedBetweenUnlimited.length, 0, "keys of servers without a limit stay");
});
