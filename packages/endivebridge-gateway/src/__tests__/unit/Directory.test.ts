// Guards against directing callers to instances that are not ready or no longer send messages, or to a distant region
// while nearer instances are ready.

import { makeMembers, type MemberRecord } from "@endivebridge/traffic";
import test from "ava";
import { makeDirectory } from "../../Directory";

const member = (name: string, failureDomain: string, region: string): MemberRecord => ({
    name,
    host: "10.0.0.1",
    peerPort: 1,
    callerAddress: name,
    failureDomain,
    region
});

function directoryOf(others: readonly MemberRecord[], isOwnReady = true) {
    const members = makeMembers("self", () => 1_000);
    for (const record of others) {
        members.recordReport({
            record,
            incarnation: "one",
            sequence: 1,
            isReady: true,
            inFlight: {},
            awayShares: {},
            hasStoreMillis: undefined,
            tableVersions: {}
        }, 0);
    }
    return makeDirectory(member("self", "fraser-a", "fraser"), () => isOwnReady, members);
}

const caller = { region: "fraser", failureDomain: "fraser-a" };

test("lists instances of the caller's failure domain if it has two, else of its region, else of any region", t => {
    const near = member("near", "fraser-a", "fraser");
    const beside = member("beside", "fraser-b", "fraser");
    const far = member("far", "kootenay-a", "kootenay");
    t.deepEqual(directoryOf([near, beside, far]).addressesFor(caller, 0), ["self", "near"]);
    t.deepEqual(directoryOf([beside, far]).addressesFor(caller, 0), ["self", "beside"]);
    t.deepEqual(directoryOf([far], false).addressesFor(caller, 0), ["far"]);
});

test("omits instances without a recent message and always lists at least one address", t => {
    const near = member("near", "fraser-a", "fraser");
    t.deepEqual(directoryOf([near]).addressesFor(caller, 5_000), ["self"]);
    t.deepEqual(directoryOf([], false).addressesFor(caller, 0), ["self"]);
});
