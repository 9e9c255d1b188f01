import type { CrashReport } from "@endivebridge/core";
import {
    decodeUntrustedJson,
    IpAddress,
    monotonicMillis,
    PortNumber,
    type Teardown,
    validEntries
} from "@endivebridge/shared";
import type { MemberRecord, MemberReport, Members } from "@endivebridge/traffic";
import { createSocket } from "node:dgram";
import { array, boolean, Codec, type GetType, number, optional, record, string } from "purify-ts";
import type { EventLog } from "./EventLog";
import type { RateLimitReport } from "./RateLimitReports";

const MemberRecordCodec = Codec.interface({
    name: string,
    host: IpAddress,
    peerPort: PortNumber,
    callerAddress: string,
    failureDomain: string,
    region: string
});

const CrashReportCodec = Codec.interface({
    fingerprint: string,
    servers: array(string),
    /** One for each server; instances of earlier versions do not send them. */
    crashes: optional(array(
        Codec.interface({ sentAgeMillis: number, crashAgeMillis: number, isIsolated: boolean })
    )),
    clearedAgeMillis: optional(number)
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
    storeEra: optional(number),
    /** When the sender last knew all changes of a table; instances of earlier versions do not send them. */
    tableConfirmations: optional(record(string, Codec.interface({ version: number, ageMillis: number }))),
    configurationVersion: optional(number),
    /** Instances that the sender knows but does not hear. */
    silentMembers: optional(array(string)),
    /** Rate limits that answers to the sender stated. */
    rateLimits: optional(validEntries(
        Codec.interface({ server: string, requestsPerSecond: optional(number), ageMillis: number })
    )),
    /** Services whose backend servers the sender cannot reach. */
    cutOffServices: optional(array(string)),
    /** Number of other instances that the sender knows. */
    membersKnown: number,
    /** Records of some of these instances, for a receiver that knows fewer. */
    members: optional(validEntries(MemberRecordCodec)),
    /** Requests that backend servers had as they crashed. */
    crashes: optional(validEntries(CrashReportCodec))
});

type EncodedCrashReport = GetType<typeof CrashReportCodec>;

/** State report that instances send to each other as JSON datagrams. */
export type PeerMessage = GetType<typeof PeerMessage>;

/** Own identity, members, report sources and callbacks of the exchange between instances. */
export interface PeerExchangeParts {
    readonly own: MemberRecord;
    readonly incarnation: string;
    readonly members: Members;
    /** Addresses that are contacted while no live instance is known. */
    readonly seeds: readonly { readonly host: string; readonly port: number; }[];
    readonly describeSelf: () => Omit<MemberReport, "record" | "incarnation" | "sequence" | "silentMembers">;
    readonly rateLimits: () => readonly RateLimitReport[];
    readonly crashReports: () => readonly CrashReport[];
    readonly onReport: (report: MemberReport) => void;
    readonly onRateLimits: (reports: readonly RateLimitReport[]) => void;
    readonly onCrashReports: (reports: readonly CrashReport[]) => void;
    readonly log: EventLog;
}

/** A running exchange of state reports between instances. */
export interface PeerExchange {
    /** Sends a message to every known instance at once, for example on shutdown. */
    readonly announce: () => void;
    readonly close: Teardown;
}

/** Message interval within the region with few members; the numbers of requests in flight change as fast. */
const nearIntervalMillis = 100;
/** Message interval to another region; load changes little in the time that a message takes to get there. */
const farIntervalMillis = 500;
/** Member count beyond which intervals grow, so that the message rate does not grow with its square. */
const membersAtFullRate = 8;
/** Limit on the interval: a stopped instance must be detected within seconds at any member count. */
const maxIntervalMillis = 2_200;
/** Interval of messages to members that are not live, and to the seeds while no member is live. */
const probeIntervalMillis = 1_000;
/** Limit on member records per message, so that it fits into one datagram. */
const maxMembersInMessage = 40;
/** Minimum time between two batches of member records to an instance that knows fewer members than this one. */
const introductionIntervalMillis = 1_000;
/** Further silent members count as heard, which leaves them their shares of rate limits. */
const maxSilentMembersInMessage = 100;

/** Liveness timeouts within the region and to other regions; several messages may be lost before they pass. */
const nearLivenessMillis = 1_200;
const farLivenessMillis = 2_500;
/** Minimum liveness timeout in message intervals, which applies where intervals are long. */
const minLivenessIntervals = 3;

/** Message interval to a live member of the own or another region; grows with the number of members. */
export function messageIntervalMillis(isNear: boolean, members: number): number {
    const factor = Math.max(1, members / membersAtFullRate);
    return Math.min(maxIntervalMillis, (isNear ? nearIntervalMillis : farIntervalMillis) * factor);
}

/** Time after its last message in which a member counts as live; longer with many members, as messages are rarer. */
export function memberLivenessMillis(ownRegion: string, member: MemberRecord, members: number): number {
    const isNear = member.region === ownRegion;
    return Math.max(
        isNear ? nearLivenessMillis : farLivenessMillis,
        messageIntervalMillis(isNear, members) * minLivenessIntervals
    );
}

/** Starts to send and receive state reports on the own peer address. */
export function startPeerExchange(parts: PeerExchangeParts): PeerExchange {
    const socket = createSocket("udp4");
    let sequence = 0;
    let isClosed = false;
    const lastSentMillis = new Map<string, number>();
    const introductions = makeMemberIntroductions(parts.members);
    let lastSeedContactMillis = 0;

    socket.on("error", error => parts.log.warn("peer socket", { error: error.message }, "error on the peer socket"));
    socket.on("message", datagram => {
        const message = decode(datagram);
        if (message === undefined) {
            parts.log.warn("peer message", { bytes: datagram.length }, "malformed peer message ignored");
            return;
        }
        const nowMillis = monotonicMillis();
        const report: MemberReport = {
            ...message,
            hasStoreMillis: message.hasStoreMillis,
            silentMembers: message.silentMembers,
            storeEra: message.storeEra,
            tableConfirmations: message.tableConfirmations,
            configurationVersion: message.configurationVersion,
            cutOffServices: message.cutOffServices
        };
        const isNewer = parts.members.recordReport(report, nowMillis);
        message.members?.forEach(record => parts.members.addMember(record, nowMillis));
        if (isNewer) {
            introductions.recordMembersKnown(report.record.name, message.membersKnown);
            parts.onReport(report);
            parts.onRateLimits((message.rateLimits ?? []).map(limit => ({
                ...limit,
                requestsPerSecond: limit.requestsPerSecond
            })));
        }
        if (message.crashes !== undefined && message.crashes.length > 0) {
            parts.onCrashReports(message.crashes.map(decodeCrashReport));
        }
    });

    const encodeMessage = (memberRecords: readonly MemberRecord[]): Buffer => {
        sequence += 1;
        const crashes = parts.crashReports();
        const rateLimits = parts.rateLimits();
        const silentMembers = parts.members.silent(monotonicMillis()).slice(0, maxSilentMembersInMessage);
        const {
            isReady,
            inFlight,
            awayShares,
            hasStoreMillis,
            tableVersions,
            storeEra,
            tableConfirmations,
            configurationVersion,
            cutOffServices
        } = parts.describeSelf();
        const content: PeerMessage = {
            record: parts.own,
            incarnation: parts.incarnation,
            sequence,
            isReady,
            inFlight: { ...inFlight },
            awayShares: { ...awayShares },
            hasStoreMillis,
            tableVersions: { ...tableVersions },
            storeEra,
            tableConfirmations: tableConfirmations === undefined ? undefined : { ...tableConfirmations },
            configurationVersion,
            cutOffServices: cutOffServices === undefined || cutOffServices.length === 0
                ? undefined
                : [...cutOffServices],
            silentMembers: silentMembers.map(member => member.name),
            rateLimits: rateLimits.length > 0 ? [...rateLimits] : undefined,
            membersKnown: parts.members.allRecords().length,
            members: memberRecords.length > 0 ? [...memberRecords] : undefined,
            crashes: crashes.length > 0 ? crashes.map(encodeCrashReport) : undefined
        };
        return Buffer.from(JSON.stringify(content));
    };

    const transmit = (bytes: Buffer, host: string, port: number) => {
        if (!isClosed) {
            // A failed send has the effect of a lost datagram; the next message replaces it.
            socket.send(bytes, port, host, () => undefined);
        }
    };

    const sendDueMessages = (sendToAll: boolean) => {
        const nowMillis = monotonicMillis();
        const live = new Set(parts.members.live(nowMillis).map(member => member.name));
        let bytes: Buffer | undefined;
        for (const member of parts.members.allRecords()) {
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

/** Selects batches of member records for instances that know fewer members, which then contact these themselves. */
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
            const known = members.allRecords();
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

function encodeCrashReport({ fingerprint, crashes, clearedAgeMillis }: CrashReport): EncodedCrashReport {
    return {
        fingerprint,
        servers: crashes.map(crash => crash.server),
        crashes: crashes.map(({ sentAgeMillis, crashAgeMillis, isIsolated }) => ({
            sentAgeMillis,
            crashAgeMillis,
            isIsolated
        })),
        clearedAgeMillis
    };
}

/** Decodes a report; instances of earlier versions report quarantined requests only, without times. */
function decodeCrashReport({ fingerprint, servers, crashes, clearedAgeMillis }: EncodedCrashReport): CrashReport {
    return {
        fingerprint,
        crashes: servers.map((server, index) => ({
            server,
            ...crashes?.[index] ?? { sentAgeMillis: 0, crashAgeMillis: 0, isIsolated: true }
        })),
        clearedAgeMillis
    };
}

function decode(datagram: Buffer): PeerMessage | undefined {
    return decodeUntrustedJson(PeerMessage, datagram).toMaybe().extract();
}
