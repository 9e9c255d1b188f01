// Guards against rate limits that are exceeded by instances which miscount the others, or left unused for good because
// instances count that have ended.

import { range } from "@endivebridge/shared";
import {
    type BackendServer,
    makeMembers,
    makeRetryBudget,
    makeServerPool,
    type MemberRecord,
    type Members
} from "@endivebridge/traffic";
import test from "ava";
import { makeInstanceCount } from "../../InstanceCount";
import { makeRateLimitReports } from "../../RateLimitReports";
import { makeRateLimitShares } from "../../RateLimitSharing";

const record = (name: string): MemberRecord => ({
    name,
    host: "10.0.0.1",
    peerPort: 1,
    callerAddress: name,
    failureDomain: "fraser-a",
    region: "fraser"
});
const server: BackendServer = {
    id: "s1",
    service: "desk",
    host: "10.0.0.1",
    port: 80,
    failureDomain: "fraser-a",
    region: "fraser",
    slots: 4,
    isLeaving: false,
    coldRemainingMillis: 0,
    bornEpochMillis: 0
};
const own = record("own");
const longAgo = -60_000;

function report(
    members: Members,
    name: string,
    silentMembers: readonly string[],
    nowMillis: number,
    membersKnown = 0
): void {
    members.recordReport({
        record: record(name),
        incarnation: "first",
        sequence: nowMillis,
        isReady: true,
        inFlight: {},
        awayShares: {},
        hasStoreMillis: undefined,
        tableVersions: {},
        silentMembers,
        membersKnown
    }, nowMillis);
}

test("uses no rate limit right after the start while no member is known, and the whole limit when alone", t => {
    const members = makeMembers("own", () => 1_000);
    members.recordListed();
    t.is(makeRateLimitShares(own, members, performance.now()).shareOf({ requestsPerSecond: 4, turn: 0 }, server), 0);
    t.is(makeRateLimitShares(own, members, longAgo).shareOf({ requestsPerSecond: 4, turn: 0 }, server), 4);
});

test("an instance that the platform has not told of others does not take the whole rate limit", t => {
    t.is(
        makeRateLimitShares(own, makeMembers("own", () => 1_000), longAgo).shareOf(
            { requestsPerSecond: 4, turn: 0 },
            server
        ),
        0
    );
});

test("a new instance uses no share of a rate limit before the others know of it", t => {
    const members = makeMembers("own", () => 60_000);
    members.addMember(record("peer"), performance.now());
    const limit = { requestsPerSecond: 4, turn: 0 };
    t.is(makeRateLimitShares(own, members, performance.now()).shareOf(limit, server), 0);
    t.is(makeRateLimitShares(own, members, performance.now() - 3_000).shareOf(limit, server), 2);
});

test("a restarted instance that knows one of many members does not take half of the rate limit", t => {
    const startedMillis = performance.now() - 3_000;
    const members = makeMembers("own", () => 60_000);
    report(members, "peer", [], performance.now(), 64);
    t.is(makeRateLimitShares(own, members, startedMillis).shareOf({ requestsPerSecond: 64, turn: 0 }, server), 0);
    range(63).forEach(index => members.addMember(record(`other-${index}`), startedMillis));
    t.true(makeRateLimitShares(own, members, startedMillis).shareOf({ requestsPerSecond: 64, turn: 0 }, server) <= 1);
});

test("shares a rate limit with silent members that may still run", t => {
    const members = makeMembers("own", () => 1_000);
    members.addMember(record("unheard"), performance.now());
    t.is(makeRateLimitShares(own, members, longAgo).shareOf({ requestsPerSecond: 4, turn: 0 }, server), 2);
});

test("leaves a share to a member that another one hears, and none to one that all miss for a long time", t => {
    const members = makeMembers("own", () => 1_000);
    report(members, "ended", [], 0);
    report(members, "partitioned", [], 0);
    report(members, "live", ["ended"], 60_000);
    report(members, "alsoLive", ["ended"], 60_000);
    const running = (nowMillis: number) => members.possiblyRunning(nowMillis).map(({ name }) => name);
    t.deepEqual(running(10_000), ["ended", "partitioned", "live", "alsoLive"]);
    t.deepEqual(running(60_000), ["partitioned", "live", "alsoLive"]);
    report(members, "ended", [], 61_000);
    t.deepEqual(running(61_000), ["ended", "partitioned", "live", "alsoLive"]);
});

test("an instance that is cut off from most others does not take over their shares of a rate limit", t => {
    const members = makeMembers("own", () => 1_000);
    const names = range(11).map(index => `other-${index}`);
    names.forEach(name => report(members, name, [], 0));
    const countRunning = (nowMillis: number) => members.possiblyRunning(nowMillis).length;
    t.is(countRunning(60_000), 11, "no other one is heard");
    names.slice(0, 4).forEach(name => report(members, name, names.slice(4), 70_000));
    t.is(countRunning(70_000), 11, "four others are heard");
    names.slice(0, 6).forEach(name => report(members, name, names.slice(6), 80_000));
    t.is(countRunning(80_000), 6, "a majority is heard");
    names.slice(0, 5).forEach(name => report(members, name, names.slice(5), 90_000));
    t.is(countRunning(110_000), 6, "all are silent after others have ended");
});

test("peers learn a rate limit and its end from the reports of an instance that gets answers", t => {
    const pools = [makeServerPool(), makeServerPool()] as const;
    pools.forEach(pool => pool.upsert(server, 0));
    const [sender, receiver] = [makeRateLimitReports(pools[0]), makeRateLimitReports(pools[1])];
    const limitAtReceiver = (nowMillis: number) => pools[1].get("s1")!.rateLimit.current(nowMillis)?.requestsPerSecond;
    sender.recordAnswer("s1", { requestsPerSecond: 3, atMillis: 1_000 }, 1_000);
    receiver.recordReports(sender.nextReports(1_100), 1_200);
    t.is(limitAtReceiver(1_200), 3);
    t.deepEqual(sender.nextReports(20_000), [{ server: "s1", requestsPerSecond: 3, ageMillis: 19_000 }]);
    sender.recordAnswer("s1", { requestsPerSecond: undefined, atMillis: 20_100 }, 20_200);
    receiver.recordReports(sender.nextReports(20_300), 20_300);
    t.is(limitAtReceiver(20_300), undefined);
    t.deepEqual(sender.nextReports(60_000), []);
});

test("peers learn the end of a rate limit from an instance that knew the limit from peers only", t => {
    const pools = [makeServerPool(), makeServerPool()] as const;
    pools.forEach(pool => pool.upsert(server, 0));
    const [sender, receiver] = [makeRateLimitReports(pools[0]), makeRateLimitReports(pools[1])];
    const limited = [{ server: "s1", requestsPerSecond: 3, ageMillis: 0 }];
    sender.recordReports(limited, 1_000);
    receiver.recordReports(limited, 1_000);
    sender.recordAnswer("s1", { requestsPerSecond: undefined, atMillis: 2_000 }, 2_100);
    receiver.recordReports(sender.nextReports(2_200), 2_200);
    t.is(pools[1].get("s1")!.rateLimit.current(2_200), undefined);
});

test("instances that have just restarted together do not spend the retry budget of all, each for itself", t => {
    const slack = 60;
    const spent = range(12).map(() => {
        const instanceCount = makeInstanceCount(makeMembers("own", () => 1_000), performance.now());
        const budget = makeRetryBudget({ ratio: 0.2, slack, windowMillis: 10_000 });
        return range(slack).filter(() => budget.trySpend("desk", instanceCount(), 0)).length;
    });
    t.true(spent.reduce((sum, count) => sum + count, 0) <= slack, `${spent.join(" ")} of ${slack}`);
    const members = makeMembers("own", () => 1_000);
    members.recordListed();
    t.is(makeInstanceCount(members, longAgo)(), 1, "alone");
});
