import type { StruckRequest } from "@endivebridge/core";
import { monotonicMillis, type Teardown } from "@endivebridge/shared";
import type { MemberRecord, MemberReport, Members } from "@endivebridge/traffic";
import { createSocket } from "node:dgram";
import { array, boolean, Codec, type GetType, number, optional, record, string } from "purify-ts";
import type { EventLog } from "./EventLog";

const MemberRecordCodec = Codec.interface({
    name: string,
    host: string,
    peerPort: number,
    callerAddress: string,
    failureDomain: string,
    region: string
});

const PeerMessage = Codec.interface({
    record: MemberRecordCodec,
    incarnation: string,
    sequence: number,
    isReady: boolean,
    inFlight: record(string, number),
    awayShares: record(string, number),
    hasStoreMillis: optional(number),
    tableVersions: record(string, number),
    /** How many other instances the sender knows. */
    membersKnown: number,
    /** Some of them, for a receiver that knows fewer. */
    members: optional(array(MemberRecordCodec)),
    /** Requests under which backend servers crashed. */
    crashes: optional(array(Codec.interface({ fingerprint: string, servers: array(string) })))
});

/** One message between instances. */
export type PeerMessage = GetType<typeof PeerMessage>;

/** What the exchange between instances needs. */
export interface PeerExchangeParts {
    readonly own: MemberRecord;
    readonly incarnation: string;
    readonly members: Members;
    /** Where to look for instances that are not known yet. */
    readonly seeds: readonly { readonly host: string; readonly port: number; }[];
    readonly describeSelf: () => Omit<MemberReport, "record" | "incarnation" | "sequence">;
    readonly crashes: () => readonly StruckRequest[];
    readonly onReport: (report: MemberReport) => void;
    readonly onCrashes: (crashes: readonly StruckRequest[]) => void;
    readonly log: EventLog;
}

/** The exchange between instances. */
export interface PeerExchange {
    /** Sends a message to every known instance at once, for example on shutdown. */
    readonly announce: () => void;
    readonly close: Teardown;
}

/** Time between messages to an instance of the own region with few members; their requests in flight change as fast. */
const nearIntervalMillis = 100;
/** Time between messages to an instance of another region, whose load changes little by the time it is heard. */
const farIntervalMillis = 500;
/** Members beyond which intervals grow, so that messages a second do not grow with the square of the members. */
const membersAtFullRate = 8;
/** Intervals grow no further: an instance that ended must be noticed within seconds, however many there are. */
const maxIntervalMillis = 2_200;
/** Instances that were never heard are tried at this interval. */
const probeIntervalMillis = 1_000;
/** Keeps a message within one datagram. */
const maxMembersInMessage = 40;
/** An instance that knows fewer members than this one is told of some at most this often. */
const introductionIntervalMillis = 1_000;
const maxCrashesInMessage = 8;

/** Several messages may be lost before an instance of the own region, or of another one, is taken to be gone. */
const nearLivenessMillis = 1_200;
const farLivenessMillis = 2_500;
/** Messages that may be missed where intervals are long. */
const minLivenessIntervals = 3;

/** Time between two messages to a live member, of the own region or of another one. */
export function messageIntervalMillis(isNear: boolean, members: number): number {
    const factor = Math.max(1, members / membersAtFullRate);
    return Math.min(maxIntervalMillis, (isNear ? nearIntervalMillis : farIntervalMillis) * factor);
}

/** How long a member counts as live after it was last heard; longer where there are many and messages are rarer. */
export function memberLivenessMillis(ownRegion: string, member: MemberRecord, members: number): number {
    const isNear = member.region === ownRegion;
    return Math.max(
        isNear ? nearLivenessMillis : farLivenessMillis,
        messageIntervalMillis(isNear, members) * minLivenessIntervals
    );
}

/** Starts the exchange on the own peer address. */
export function startPeerExchange(parts: PeerExchangeParts): PeerExchange {
    const socket = createSocket("udp4");
    let sequence = 0;
    let isClosed = false;
    const lastSentMillis = new Map<string, number>();
    const introductions = makeMemberIntroductions(parts.members);
    let lastSeedContactMillis = 0;

    socket.on("error", error => parts.log.warn("peer socket", { error: error.message }, "peer socket failed"));
    socket.on("message", datagram => {
        const message = decode(datagram);
        if (message === undefined) {
            parts.log.warn("peer message", { bytes: datagram.length }, "malformed peer message ignored");
            return;
        }
        const nowMillis = monotonicMillis();
        const report: MemberReport = { ...message, hasStoreMillis: message.hasStoreMillis };
        const isNewer = parts.members.hear(report, nowMillis);
        message.members?.forEach(parts.members.introduce);
        if (isNewer) {
            introductions.recordMembersKnown(report.record.name, message.membersKnown);
            parts.onReport(report);
        }
        if (message.crashes !== undefined && message.crashes.length > 0) {
            parts.onCrashes(message.crashes);
        }
    });

    const encodeMessage = (memberRecords: readonly MemberRecord[]): Buffer => {
        sequence += 1;
        const crashes = parts.crashes().slice(-maxCrashesInMessage);
        const { isReady, inFlight, awayShares, hasStoreMillis, tableVersions } = parts.describeSelf();
        const content: PeerMessage = {
            record: parts.own,
            incarnation: parts.incarnation,
            sequence,
            isReady,
            inFlight: { ...inFlight },
            awayShares: { ...awayShares },
            hasStoreMillis,
            tableVersions: { ...tableVersions },
            membersKnown: parts.members.known().length,
            members: memberRecords.length > 0 ? [...memberRecords] : undefined,
            crashes: crashes.length > 0 ? crashes.map(crash => ({ ...crash, servers: [...crash.servers] })) : undefined
        };
        return Buffer.from(JSON.stringify(content));
    };

    const transmit = (bytes: Buffer, host: string, port: number) => {
        if (!isClosed) {
            // A failed send equals a lost datagram; the next message replaces it.
            socket.send(bytes, port, host, () => undefined);
        }
    };

    const sendDueMessages = (sendToAll: boolean) => {
        const nowMillis = monotonicMillis();
        const live = new Set(parts.members.live(nowMillis).map(member => member.name));
        let bytes: Buffer | undefined;
        for (const member of parts.members.known()) {
            const intervalMillis = !live.has(member.name)
                ? probeIntervalMillis
                : messageIntervalMillis(member.region === parts.own.region, live.size);
            const dueMillis = (lastSentMillis.get(member.name) ?? -Infinity) + intervalMillis - checkIntervalMillis / 2;
            if (sendToAll || nowMillis >= dueMillis) {
                lastSentMillis.set(member.name, nowMillis);
                const memberRecords = introductions.nextRecords(member.name, nowMillis);
                if (memberRecords.length > 0) {
                    transmit(encodeMessage(memberRecords), member.host, member.peerPort);
                    continue;
                }
                bytes ??= encodeMessage([]);
                transmit(bytes, member.host, member.peerPort);
            }
        }
        if (live.size === 0 && nowMillis - lastSeedContactMillis >= probeIntervalMillis) {
            lastSeedContactMillis = nowMillis;
            for (const seed of parts.seeds) {
                transmit(encodeMessage([]), seed.host, seed.port);
            }
        }
    };

    const checkIntervalMillis = nearIntervalMillis;
    const timer = setInterval(() => sendDueMessages(false), checkIntervalMillis);
    socket.bind(parts.own.peerPort, parts.own.host);
    return {
        announce: () => sendDueMessages(true),
        close: () => {
            isClosed = true;
            clearInterval(timer);
            socket.close();
        }
    };
}

/** Selects the member records to send to another instance. */
interface MemberIntroductions {
    readonly recordMembersKnown: (name: string, membersKnown: number) => void;
    readonly nextRecords: (name: string, nowMillis: number) => readonly MemberRecord[];
}

/** Sends batches of member records to instances that know fewer members, which then contact these themselves. */
function makeMemberIntroductions(members: Members): MemberIntroductions {
    const recipients = new Map<string, { membersKnown: number; sentCount: number; atMillis: number; }>();
    return {
        recordMembersKnown: (name, membersKnown) => {
            const recipient = recipients.get(name);
            if (recipient === undefined) {
                recipients.set(name, { membersKnown, sentCount: 0, atMillis: -Infinity });
            }
            else {
                recipient.membersKnown = membersKnown;
            }
        },
        nextRecords: (name, nowMillis) => {
            const known = members.known();
            const recipient = recipients.get(name);
            if (
                recipient === undefined || recipient.membersKnown >= known.length
                || nowMillis - recipient.atMillis < introductionIntervalMillis
            ) {
                return [];
            }
            const first = recipient.sentCount % known.length;
            const batch = known.slice(first, first + maxMembersInMessage);
            recipient.sentCount = first + batch.length;
            recipient.atMillis = nowMillis;
            return batch.filter(member => member.name !== name);
        }
    };
}

function decode(datagram: Buffer): PeerMessage | undefined {
    try {
        return PeerMessage.decode(JSON.parse(datagram.toString("utf8"))).toMaybe().extract();
    }
    catch {
        // Not JSON: the caller logs it.
        return undefined;
    }
}
