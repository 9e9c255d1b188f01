/** Addresses and location of an entry instance. */
export interface MemberRecord {
    readonly name: string;
    readonly host: string;
    readonly peerPort: number;
    /** host:port that callers connect to. */
    readonly callerAddress: string;
    readonly failureDomain: string;
    readonly region: string;
}

/** State that an instance reports in each message to its peers. */
export interface MemberReport {
    readonly record: MemberRecord;
    /** Random at each start; distinguishes restarts of the process. */
    readonly incarnation: string;
    readonly sequence: number;
    /** Whether the instance accepts new requests. */
    readonly isReady: boolean;
    /** Requests in flight by backend server id; servers without any are left out. */
    readonly inFlight: Readonly<Record<string, number>>;
    /** Share of each service's requests that the instance assigns to other regions. */
    readonly awayShares: Readonly<Record<string, number>>;
    /** How long the platform's store has been reachable without interruption; undefined while it is not. */
    readonly hasStoreMillis: number | undefined;
    /** Version of the newest change applied from each table of the store. */
    readonly tableVersions: Readonly<Record<string, number>>;
    /** Era of the store that the table versions belong to; versions of different eras cannot be compared. */
    readonly storeEra?: number | undefined;
    /** By table, the version after which it held no changes when the instance last read it, and how long ago. */
    readonly tableConfirmations?:
        | Readonly<Record<string, { readonly version: number; readonly ageMillis: number; }>>
        | undefined;
    /** Version of the configuration in force. */
    readonly configurationVersion?: number | undefined;
    /** Names of known members from which the instance has no recent report. */
    readonly silentMembers?: readonly string[] | undefined;
    /** Number of other instances that the instance knows. */
    readonly membersKnown?: number | undefined;
    /** Services whose backend servers the instance cannot reach. */
    readonly cutOffServices?: readonly string[] | undefined;
}

/** A live member with its incarnation, which only instances know. */
export interface LiveMember {
    readonly record: MemberRecord;
    readonly incarnation: string;
}

interface Member {
    record: MemberRecord;
    incarnation: string;
    sequence: number;
    isReady: boolean;
    addedAtMillis: number;
    lastReportAtMillis: number | undefined;
    /** Whether the member counts as ended until it reports again. */
    hasEnded: boolean;
    inFlight: Readonly<Record<string, number>>;
    awayShares: Readonly<Record<string, number>>;
    hasStoreMillis: number | undefined;
    tableVersions: Readonly<Record<string, number>>;
    silentMembers?: readonly string[] | undefined;
    membersKnown?: number | undefined;
    cutOffServices?: readonly string[] | undefined;
}

/** Membership list of the other instances known to this one. */
export interface Members {
    /** Adds a member's address; the member counts as live only after its first report. */
    readonly addMember: (record: MemberRecord, nowMillis: number) => void;
    /** Records that the platform has listed the instances, also if there is no other one. */
    readonly recordListed: () => void;
    /** Whether the platform has listed the instances since the start. */
    readonly isListed: () => boolean;
    /** Largest number of other instances that a live member knows; 0 if none is live. */
    readonly knownByPeers: (nowMillis: number) => number;
    /** Stores a report; false for this instance's own or if one of the same incarnation is as new or newer. */
    readonly recordReport: (report: MemberReport, nowMillis: number) => boolean;
    /** Records of all members; the same array until a member is added or its record changes. */
    readonly allRecords: () => readonly MemberRecord[];
    /** Live members that accept requests. */
    readonly ready: (nowMillis: number) => readonly MemberRecord[];
    /** Live members that accept requests and reach the backend servers of the service. */
    readonly reaching: (service: string, nowMillis: number) => readonly LiveMember[];
    /** Members with a report within the liveness timeout, ready or not. */
    readonly live: (nowMillis: number) => readonly MemberRecord[];
    /** Members that are not live. */
    readonly silent: (nowMillis: number) => readonly MemberRecord[];
    /**
     * Members that may still send requests: all but those that neither this instance nor, by their reports, any live
     * member has heard for a long time. An instance that hears no majority may itself be cut off from the others; it
     * goes on counting all that it has ever heard.
     */
    readonly possiblyRunning: (nowMillis: number) => readonly MemberRecord[];
    /** Sum of requests in flight by backend server, over live members; the same map, updated by later reports. */
    readonly inFlight: (nowMillis: number) => ReadonlyMap<string, number>;
    /** Whether a live member has reached the platform's store for at least this long. */
    readonly hasMemberWithStoreFor: (millis: number, nowMillis: number) => boolean;
    /** Mean share of a service's requests that the region's live members send away; undefined without reports. */
    readonly meanAwayShare: (region: string, service: string, nowMillis: number) => number | undefined;
}

/** Silence after which a member that no live member hears counts as ended. */
const endedAfterMillis = 20_000;

/** Time for which a member counts as live after its last report, given the number of known members. */
export type LivenessTimeoutMillis = (record: MemberRecord, memberCount: number) => number;

function isSameRecord(left: MemberRecord, right: MemberRecord): boolean {
    return left.host === right.host && left.peerPort === right.peerPort && left.callerAddress === right.callerAddress
        && left.failureDomain === right.failureDomain && left.region === right.region;
}

/** Creates an empty membership list; reports of this instance itself are ignored. */
export function makeMembers(ownName: string, livenessTimeoutMillis: LivenessTimeoutMillis): Members {
    const members = new Map<string, Member>();
    let cachedRecords: readonly MemberRecord[] | undefined;
    let isListed = false;
    /** Sums over the members in `countedInFlight`, updated with each report. */
    const inFlightSums = new Map<string, number>();
    const countedInFlight = new Map<string, Readonly<Record<string, number>>>();

    const addToSums = (inFlight: Readonly<Record<string, number>>, sign: 1 | -1) => {
        for (const server in inFlight) {
            const sum = (inFlightSums.get(server) ?? 0) + sign * inFlight[server]!;
            if (sum === 0) {
                inFlightSums.delete(server);
            }
            else {
                inFlightSums.set(server, sum);
            }
        }
    };
    /** Replaces what a member contributes to the sums. */
    const countInFlight = (name: string, inFlight: Readonly<Record<string, number>> | undefined) => {
        const counted = countedInFlight.get(name);
        if (counted !== undefined) {
            addToSums(counted, -1);
            countedInFlight.delete(name);
        }
        if (inFlight !== undefined) {
            addToSums(inFlight, 1);
            countedInFlight.set(name, inFlight);
        }
    };

    const isLive = (member: Member, nowMillis: number): boolean =>
        member.lastReportAtMillis !== undefined
        && nowMillis - member.lastReportAtMillis <= livenessTimeoutMillis(member.record, members.size);

    const isHeardByPeers = ({ record }: Member, nowMillis: number): boolean =>
        [...members.values()].some(peer =>
            isLive(peer, nowMillis) && peer.silentMembers !== undefined
            && !peer.silentMembers.includes(record.name)
        );

    const recordsWhere = (predicate: (member: Member) => boolean): readonly MemberRecord[] =>
        [...members.values()].filter(predicate).map(member => member.record);

    return {
        addMember: (record, nowMillis) => {
            if (record.name === ownName) {
                return;
            }
            const member = members.get(record.name);
            if (member === undefined) {
                cachedRecords = undefined;
                members.set(record.name, {
                    record,
                    incarnation: "",
                    sequence: -1,
                    isReady: false,
                    addedAtMillis: nowMillis,
                    lastReportAtMillis: undefined,
                    hasEnded: false,
                    inFlight: {},
                    awayShares: {},
                    hasStoreMillis: undefined,
                    tableVersions: {}
                });
            }
            else if (member.lastReportAtMillis === undefined) {
                cachedRecords = undefined;
                member.record = record;
            }
        },
        recordListed: () => {
            isListed = true;
        },
        isListed: () => isListed,
        knownByPeers: nowMillis =>
            [...members.values()]
                .filter(member => isLive(member, nowMillis))
                .reduce((most, { membersKnown = 0 }) => Math.max(most, membersKnown), 0),
        recordReport: (report, nowMillis) => {
            const { record, incarnation, sequence } = report;
            if (record.name === ownName) {
                return false;
            }
            const member = members.get(record.name);
            if (member !== undefined && member.incarnation === incarnation && member.sequence >= sequence) {
                return false;
            }
            if (member === undefined || !isSameRecord(member.record, record)) {
                cachedRecords = undefined;
            }
            members.set(record.name, {
                ...report,
                addedAtMillis: nowMillis,
                lastReportAtMillis: nowMillis,
                hasEnded: false
            });
            countInFlight(record.name, report.inFlight);
            return true;
        },
        allRecords: () => cachedRecords ??= recordsWhere(() => true),
        ready: nowMillis => recordsWhere(member => member.isReady && isLive(member, nowMillis)),
        reaching: (service, nowMillis) =>
            [...members.values()].filter(member =>
                member.isReady && isLive(member, nowMillis) && member.cutOffServices?.includes(service) !== true
            ),
        live: nowMillis => recordsWhere(member => isLive(member, nowMillis)),
        silent: nowMillis => recordsWhere(member => !isLive(member, nowMillis)),
        possiblyRunning: nowMillis => {
            const heard = [...members.values()].filter(member =>
                member.lastReportAtMillis !== undefined && !member.hasEnded
            );
            const liveCount = heard.filter(member => isLive(member, nowMillis)).length;
            const hearsMajority = (liveCount + 1) * 2 > heard.length + 1;
            for (const member of members.values()) {
                const silentSinceMillis = member.lastReportAtMillis ?? member.addedAtMillis;
                member.hasEnded ||= nowMillis - silentSinceMillis > endedAfterMillis
                    && (hearsMajority || member.lastReportAtMillis === undefined)
                    && !isHeardByPeers(member, nowMillis);
            }
            return recordsWhere(member => !member.hasEnded);
        },
        inFlight: nowMillis => {
            for (const name of countedInFlight.keys()) {
                if (!isLive(members.get(name)!, nowMillis)) {
                    countInFlight(name, undefined);
                }
            }
            return inFlightSums;
        },
        hasMemberWithStoreFor: (millis, nowMillis) =>
            [...members.values()].some(member => isLive(member, nowMillis) && (member.hasStoreMillis ?? -1) >= millis),
        meanAwayShare: (region, service, nowMillis) => {
            let sum = 0;
            let count = 0;
            for (const member of members.values()) {
                const share = member.awayShares[service];
                if (share !== undefined && member.record.region === region && isLive(member, nowMillis)) {
                    sum += share;
                    count += 1;
                }
            }
            return count === 0 ? undefined : sum / count;
        }
    };
}
