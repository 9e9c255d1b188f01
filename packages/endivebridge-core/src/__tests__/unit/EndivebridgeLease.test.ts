import test from "ava";
import { makeLease } from "../../index";

// Guards against two instances that use the same slots: an instance that was paused or lost contact continues to use
// its slots after its siblings have claimed them. An isolated instance that resumes from a pause may extend its lease
// only from an attempt to reach the platform that it made after the pause.

const leaseMillis = 1_000;
const noSiblings = { siblings: [] as string[], isUnreachable: () => false };

test("expires a lease confirmed by the row without further calls, so that a paused holder loses it", t => {
    const lease = makeLease(() => leaseMillis);
    t.false(lease.holds(0));
    lease.confirmByRow(100);
    t.true(lease.holds(1_099));
    t.false(lease.holds(1_100));
});

test("requires promises of all siblings while the platform is down", t => {
    const lease = makeLease(() => leaseMillis);
    lease.confirmBySibling("b", 500, leaseMillis);
    const evidence = {
        nowMillis: 600,
        siblings: ["b", "c"],
        platformFailedSinceMillis: 550,
        isUnreachable: () => false
    };
    lease.evaluate(evidence);
    t.false(lease.holds(600));
    lease.confirmBySibling("c", 520, leaseMillis);
    lease.evaluate(evidence);
    t.true(lease.holds(1_499));
    t.false(lease.holds(1_500));
});

test("ignores promises of siblings while the platform responds", t => {
    const lease = makeLease(() => leaseMillis);
    lease.confirmBySibling("b", 500, leaseMillis);
    lease.evaluate({ ...noSiblings, nowMillis: 600, siblings: ["b"], platformFailedSinceMillis: undefined });
    t.false(lease.holds(600));
});

test("extends the lease of an isolated instance by the lease time from the start of a failed platform attempt", t => {
    const lease = makeLease(() => leaseMillis);
    lease.evaluate({ nowMillis: 5_000, siblings: ["b"], platformFailedSinceMillis: 3_000, isUnreachable: () => true });
    t.false(lease.holds(5_000));
    lease.evaluate({ nowMillis: 5_100, siblings: ["b"], platformFailedSinceMillis: 5_050, isUnreachable: () => true });
    t.true(lease.holds(5_100));
});

test("drops promises when the lease is revoked", t => {
    const lease = makeLease(() => leaseMillis);
    lease.confirmBySibling("b", 500, leaseMillis);
    lease.revoke();
    lease.evaluate({ ...noSiblings, nowMillis: 600, siblings: ["b"], platformFailedSinceMillis: 590 });
    t.false(lease.holds(600));
});
