// Guards against too many requests to a cold server: instances that miscount the others sharing its request limit
// exceed the limit together, for example right after the start while no member is known.

import { makeMembers, type MemberRecord } from "@endivebridge/traffic";
import test from "ava";
import { makeColdSharers } from "../../ColdSharers";

const member = (name: string, failureDomain: string, region = "fraser"): MemberRecord => ({
    name,
    host: "10.0.0.1",
    peerPort: 1,
    callerAddress: name,
    failureDomain,
    region
});
const own = member("own", "fraser-a");
const longAgo = -60_000;

test("counts the instances of the server's failure domain, or of the region if it has none", t => {
    const members = makeMembers("own", () => 1_000);
    const sharers = makeColdSharers(own, members, longAgo);
    t.is(sharers("fraser-a"), 0, "the platform has not told of others");
    members.recordListed();
    t.is(sharers("fraser-a"), 1);
    members.addMember(member("near", "fraser-a"), 0);
    t.is(sharers("fraser-a"), 2);
    t.is(sharers("fraser-b"), 2, "no instance known in the failure domain: shared by the region");
    members.addMember(member("beside", "fraser-b"), 0);
    t.is(sharers("fraser-b"), 0, "left to the instance of that failure domain");
    t.is(sharers("fraser-a"), 2);
});

test("counts a member in its new failure domain after a restart there", t => {
    const members = makeMembers("own", () => 1_000);
    const sharers = makeColdSharers(own, members, longAgo);
    members.addMember(member("near", "fraser-a"), 0);
    t.is(sharers("fraser-a"), 2);
    members.recordReport({
        record: member("near", "fraser-b"),
        incarnation: "second",
        sequence: 1,
        isReady: true,
        inFlight: {},
        awayShares: {},
        hasStoreMillis: undefined,
        tableVersions: {}
    }, 0);
    t.is(sharers("fraser-a"), 1);
    t.is(sharers("fraser-b"), 0);
});

test("uses no cold server right after the start while no member is known", t => {
    t.is(makeColdSharers(own, makeMembers("own", () => 1_000), performance.now())("fraser-a"), 0);
});
