// Guards against instances that never learn of some members, send member records without need, or take a member for
// stopped after a few lost messages.

import { range } from "@endivebridge/shared";
import { makeMembers, type MemberRecord } from "@endivebridge/traffic";
import test from "ava";
import { createSocket, type Socket } from "node:dgram";
import { once } from "node:events";
import { makeEventLog } from "../../EventLog";
import { memberLivenessMillis, messageIntervalMillis, type PeerMessage, startPeerExchange } from "../../PeerExchange";

const host = "127.0.0.1";

function memberRecord(name: string, peerPort: number): MemberRecord {
    return { name, host, peerPort, callerAddress: `${host}:1`, failureDomain: "fraser-a", region: "fraser" };
}

function portOf(socket: Socket): number {
    return socket.address().port;
}

async function openSocket(): Promise<Socket> {
    const socket = createSocket("udp4");
    socket.bind(0, host);
    await once(socket, "listening");
    return socket;
}

/** Answers an instance's messages as a peer that knows the given number of members; returns the received messages. */
async function talkToInstance(membersKnown: number, messages: number): Promise<readonly PeerMessage[]> {
    const peer = await openSocket();
    const instance = await openSocket();
    const instancePort = portOf(instance);
    await new Promise<void>(resolve => instance.close(resolve));
    const members = makeMembers("own", () => 60_000);
    const own = memberRecord("own", instancePort);
    const record = memberRecord("peer", portOf(peer));
    // No process listens at these addresses; they only fill the member list.
    range(5).forEach(index => members.addMember(memberRecord(`other-${index}`, 9), 0));
    members.addMember(record, 0);
    const exchange = startPeerExchange({
        own,
        incarnation: "first",
        members,
        seeds: [],
        describeSelf: () => ({
            isReady: true,
            inFlight: {},
            awayShares: {},
            hasStoreMillis: undefined,
            tableVersions: {}
        }),
        crashReports: () => [],
        rateLimits: () => [],
        onRateLimits: () => undefined,
        onReport: () => undefined,
        onCrashReports: () => undefined,
        log: makeEventLog("test", "own", { write: () => undefined, takeDroppedCount: () => 0 })
    });
    const seen: PeerMessage[] = [];
    await new Promise<void>(resolve => {
        peer.on("message", datagram => {
            seen.push(JSON.parse(datagram.toString("utf8")) as PeerMessage);
            const answer: PeerMessage = {
                record,
                incarnation: "life",
                sequence: seen.length,
                isReady: true,
                inFlight: {},
                awayShares: {},
                hasStoreMillis: undefined,
                tableVersions: {},
                membersKnown,
                members: undefined,
                cutOffServices: undefined,
                crashes: undefined,
                silentMembers: undefined,
                rateLimits: undefined,
                storeEra: undefined,
                tableConfirmations: undefined,
                configurationVersion: undefined
            };
            peer.send(JSON.stringify(answer), instancePort, host);
            if (seen.length === messages) {
                resolve();
            }
        });
    });
    exchange.close();
    await new Promise<void>(resolve => peer.close(resolve));
    return seen;
}

test("sends member records to an instance that knows fewer members", async t => {
    const messages = await talkToInstance(1, 4);
    const named = messages.flatMap(message => message.members ?? []).map(({ name }) => name);
    t.deepEqual([...new Set(named)].sort(), range(5).map(index => `other-${index}`));
});

test("sends no member records to an instance that knows as many", async t => {
    const messages = await talkToInstance(6, 15);
    t.is(messages.filter(message => message.members !== undefined).length, 0);
});

test("a member stays live over two lost messages and expires within seven seconds for any member count", t => {
    const maxLivenessMillis = 7_000;
    for (const members of range(700)) {
        for (const isNear of [true, false]) {
            const record = { ...memberRecord("other", 9), region: isNear ? "fraser" : "kootenay" };
            const liveMillis = memberLivenessMillis("fraser", record, members);
            t.true(liveMillis >= 3 * messageIntervalMillis(isNear, members), `${members} members`);
            t.true(liveMillis <= maxLivenessMillis, `${members} members`);
        }
    }
});
