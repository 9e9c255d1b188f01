import test from "ava";
import fc from "fast-check";
import {
    makeMembers,
    makeRetryBudget,
    makeRouteTable,
    makeSingleTokenBucket,
    makeTrafficSplit,
    type MemberReport,
    type Route
} from "../../index";
import { makeSingleServerPool, route } from "./Samples";

test("matches the longest prefix among the routes of the host only", t => {
    const table = makeRouteTable([
        route({ name: "root", host: "a.example", pathPrefix: "/" }),
        route({ name: "deep", host: "a.example", pathPrefix: "/x/y/" }),
        route({ name: "other", host: "b.example", pathPrefix: "/x/" })
    ]);
    t.is(table.match("a.example", "/x/y/z")?.name, "deep");
    t.is(table.match("A.example", "/x/z")?.name, "root");
    t.is(table.match("b.example", "/x/1")?.name, "other");
    t.is(table.match("b.example", "/y/1"), undefined);
    t.is(table.match("c.example", "/"), undefined);
});

test("keeps each service's count within one request per service of its weight, for any initial credit", t => {
    t.notThrows(() =>
        fc.assert(fc.property(
            fc.array(fc.integer({ min: 1, max: 90 }), { minLength: 2, maxLength: 4 }),
            fc.integer({ min: 1, max: 400 }),
            fc.double({ min: 0, max: 0.99, noNaN: true }),
            (weights, requests, start) => {
                const split: Route = route({
                    targets: weights.map((weight, index) => ({ service: `s${index}`, weight }))
                });
                const choice = makeTrafficSplit(() => start);
                const counts = new Map<string, number>();
                for (let index = 0; index < requests; index += 1) {
                    const service = choice.choose(split);
                    counts.set(service, (counts.get(service) ?? 0) + 1);
                }
                const total = weights.reduce((sum, weight) => sum + weight, 0);
                return split.targets.every(({ service, weight }) =>
                    Math.abs((counts.get(service) ?? 0) - requests * weight / total) <= weights.length
                );
            }
        ))
    );
});

test("never exceeds the retry budget of all instances in any sliding window", t => {
    const limits = { ratio: 0.2, slack: 60, windowMillis: 10_000 };
    t.notThrows(() =>
        fc.assert(fc.property(
            fc.integer({ min: 1, max: 12 }),
            fc.array(fc.tuple(fc.nat({ max: 11 }), fc.nat({ max: 400 }), fc.boolean()), { maxLength: 600 }),
            (instances, events) => {
                const budgets = Array.from({ length: instances }, () => makeRetryBudget(limits));
                const requests: number[] = [];
                const spent: number[] = [];
                let nowMillis = 0;
                for (const [which, pauseMillis, isRetry] of events) {
                    nowMillis += pauseMillis;
                    const budget = budgets[which % instances]!;
                    if (!isRetry) {
                        budget.countRequest("s", nowMillis);
                        requests.push(nowMillis);
                    }
                    else if (budget.trySpend("s", instances, nowMillis)) {
                        spent.push(nowMillis);
                    }
                }
                return spent.every(endMillis => {
                    const startMillis = endMillis - limits.windowMillis;
                    const inWindow = (times: readonly number[], from: number) =>
                        times.filter(at => at > from && at <= endMillis).length;
                    // Requests of the previous window count too, as in the verification of the budget.
                    const counted = inWindow(requests, startMillis - limits.windowMillis);
                    return inWindow(spent, startMillis) <= limits.ratio * counted + limits.slack;
                });
            }
        ))
    );
});

test("limits a cold server to 1.5 times its rate plus 5 requests in any second over all instances", t => {
    const requestsPerSecond = 11;
    t.notThrows(() =>
        fc.assert(
            fc.property(
                fc.integer({ min: 1, max: 9 }),
                fc.array(fc.nat({ max: 8 }), { maxLength: 800 }),
                (sharers, which) => {
                    const limits = Array.from({ length: sharers }, () => makeSingleTokenBucket(0));
                    const taken: number[] = [];
                    which.forEach((index, step) => {
                        const nowMillis = step * 5;
                        const limit = limits[index % sharers]!;
                        if (limit.hasToken(requestsPerSecond / sharers, nowMillis)) {
                            limit.consumeToken();
                            taken.push(nowMillis);
                        }
                    });
                    return taken.every(at =>
                        taken.filter(other => other > at - 1_000 && other <= at).length <= requestsPerSecond * 1.5 + 5
                    );
                }
            )
        )
    );
});

const report = (name: string, changes: Partial<MemberReport>): MemberReport => ({
    record: {
        name,
        host: "10.0.0.1",
        peerPort: 1,
        callerAddress: `${name}:1`,
        failureDomain: "fraser-a",
        region: "fraser"
    },
    incarnation: "first",
    sequence: 1,
    isReady: true,
    inFlight: {},
    awayShares: {},
    hasStoreMillis: undefined,
    tableVersions: {},
    ...changes
});

test("counts a member as live only while it reports and ignores old reports of an incarnation", t => {
    const members = makeMembers("self", () => 1_000);
    members.addMember(report("a", {}).record, 0);
    t.deepEqual(members.live(0), [], "no report yet");
    t.true(members.recordReport(report("a", { sequence: 2, inFlight: { s1: 3 } }), 100));
    t.false(members.recordReport(report("a", { sequence: 1, inFlight: { s1: 9 } }), 200));
    t.is(members.inFlight(200).get("s1"), 3);
    t.true(members.recordReport(report("a", { incarnation: "second", sequence: 0 }), 300));
    t.is(members.inFlight(300).get("s1"), undefined);
    t.deepEqual(members.ready(1_400), [], "silent for longer than it counts as live");
    t.false(members.recordReport(report("self", {}), 0), "an instance is not a member of its own list");
});

test("the sums of requests in flight cover the last report of each live member, whatever order reports arrive in", t => {
    const arbitraryReport = fc.record({
        member: fc.nat({ max: 3 }),
        afterMillis: fc.nat({ max: 700 }),
        incarnation: fc.constantFrom("first", "second"),
        sequence: fc.nat({ max: 5 }),
        inFlight: fc.dictionary(fc.constantFrom("s1", "s2", "s3"), fc.integer({ min: 1, max: 5 }))
    });
    t.notThrows(() =>
        fc.assert(
            fc.property(fc.array(arbitraryReport, { maxLength: 30 }), reports => {
                const livenessMillis = 1_000;
                const members = makeMembers("self", () => livenessMillis);
                const lastReports = new Map<string, { atMillis: number; inFlight: Record<string, number>; }>();
                let nowMillis = 0;
                for (const { member, afterMillis, incarnation, sequence, inFlight } of reports) {
                    nowMillis += afterMillis;
                    if (members.recordReport(report(`m${member}`, { incarnation, sequence, inFlight }), nowMillis)) {
                        lastReports.set(`m${member}`, { atMillis: nowMillis, inFlight });
                    }
                    const expected: Record<string, number> = {};
                    for (const last of lastReports.values()) {
                        const isLive = nowMillis - last.atMillis <= livenessMillis;
                        for (const [server, count] of Object.entries(isLive ? last.inFlight : {})) {
                            expected[server] = (expected[server] ?? 0) + count;
                        }
                    }
                    const sums = Object.fromEntries(members.inFlight(nowMillis));
                    if (
                        JSON.stringify(Object.entries(sums).sort()) !== JSON.stringify(Object.entries(expected).sort())
                    ) {
                        return false;
                    }
                }
                return true;
            })
        )
    );
});

test("recognizes a store outage as local if a live member has reached the store for long enough", t => {
    const members = makeMembers("self", () => 1_000);
    members.recordReport(report("a", { hasStoreMillis: 20_000 }), 0);
    t.true(members.hasMemberWithStoreFor(12_000, 10));
    t.false(members.hasMemberWithStoreFor(21_000, 10));
    t.false(members.hasMemberWithStoreFor(12_000, 2_000), "a member that is not live does not count");
});

test("starts a new incarnation under a known id with fresh load and health", t => {
    const { pool } = makeSingleServerPool({ id: "s1", bornEpochMillis: 1 });
    const first = pool.get("s1")!;
    first.ownInFlight = 3;
    first.slowness = 2;
    pool.upsert({ ...first.server, isLeaving: true }, 10);
    t.is(pool.get("s1"), first, "an update keeps the tracked server");
    t.is(pool.get("s1")!.ownInFlight, 3);
    pool.upsert({ ...first.server, bornEpochMillis: 2, isLeaving: false }, 20);
    t.not(pool.get("s1"), first);
    t.is(pool.get("s1")!.ownInFlight, 0);
    t.is(pool.ofService("desk").length, 1);
});
