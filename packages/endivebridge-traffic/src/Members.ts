/** How an instance can be reached and where it runs. */
export interface MemberRecord {
    readonly name: string;
    readonly host: string;
    readonly peerPort: number;
    /** host:port at which callers reach it. */
    readonly callerAddress: string;
    readonly failureDomain: string;
    readonly region: string;
}

/** What an instance says of itself in each message to its peers. */
export interface MemberReport {
    readonly record: MemberRecord;
    /** Drawn at each start; tells one life of a process from the next. */
    readonly incarnation: string;
    readonly sequence: number;
    /** Whether it takes new requests. */
    readonly isReady: boolean;
    /** Requests in flight by backend server id; servers without any are left out. */
    readonly inFlight: Readonly<Record<string, number>>;
    /** Share of each service's requests that it takes to belong to other regions. */
    readonly awayShares: Readonly<Record<string, number>>;
    /** How long it has had the platform's store without a break; undefined while it has lost it. */
    readonly hasStoreMillis: number | undefined;
    /** Newest change that it took from each table of the store. */
    readonly tableVersions: Readonly<Record<string, number>>;
}

interface Member {
    record: MemberRecord;
    incarnation: string;
    sequence: number;
    isReady: boolean;
    lastReportAtMillis: number | undefined;
    inFlight: Readonly<Record<string, number>>;
    awayShares: Readonly<Record<string, number>>;
    hasStoreMillis: number | undefined;
    tableVersions: Readonly<Record<string, number>>;
}

/** The other instances, as far as this one knows. */
export interface Members {
    /** Takes in an address; the member counts as live only once it is heard. */
    readonly introduce: (record: MemberRecord) => void;
    /** Takes in a report; false where a newer one of the same life came before. */
    readonly hear: (report: MemberReport, nowMillis: number) => boolean;
    /** The same list until a member comes or its record changes. */
    readonly known: () => readonly MemberRecord[];
    /** Members that were heard lately and take requests. */
    readonly ready: (nowMillis: number) => readonly MemberRecord[];
    /** Members heard lately, ready or not. */
    readonly live: (nowMillis: number) => readonly MemberRecord[];
    /** Sum of requests in flight by backend server, over members heard lately. */
    readonly inFlight: (nowMillis: number) => ReadonlyMap<string, number>;
    /** Whether a live member has had the platform's store for at least so long. */
    readonly someHadStore: (millis: number, nowMillis: number) => boolean;
    /** Mean share of a service's requests that the region's live members carry away; undefined without any. */
    readonly meanAwayShare: (region: string, service: string, nowMillis: number) => number | undefined;
}

/** How long a member counts as live after it was last heard, among so many known ones. */
export type LivenessTimeoutMillis = (record: MemberRecord, memberCount: number) => number;

function isSameRecord(left: MemberRecord, right: MemberRecord): boolean {
    return left.host === right.host && left.peerPort === right.peerPort && left.callerAddress === right.callerAddress
        && left.failureDomain === right.failureDomain && left.region === right.region;
}

/** Makes an empty list. */
export function makeMembers(ownName: string, livenessTimeoutMillis: LivenessTimeoutMillis): Members {
    const members = new Map<string, Member>();
    let cachedRecords: readonly MemberRecord[] | undefined;

    const isLive = (member: Member, nowMillis: number): boolean =>
        member.lastReportAtMillis !== undefined
        && nowMillis - member.lastReportAtMillis <= livenessTimeoutMillis(member.record, members.size);

    const recordsWhere = (predicate: (member: Member) => boolean): readonly MemberRecord[] =>
        [...members.values()].filter(predicate).map(member => member.record);

    return {
        introduce: record => {
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
                    lastReportAtMillis: undefined,
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
        hear: (report, nowMillis) => {
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
            members.set(record.name, { ...report, lastReportAtMillis: nowMillis });
            return true;
        },
        known: () => cachedRecords ??= recordsWhere(() => true),
        ready: nowMillis => recordsWhere(member => member.isReady && isLive(member, nowMillis)),
        live: nowMillis => recordsWhere(member => isLive(member, nowMillis)),
        inFlight: nowMillis => {
            const sums = new Map<string, number>();
            for (const member of members.values()) {
                if (isLive(member, nowMillis)) {
                    for (const [server, count] of Object.entries(member.inFlight)) {
                        sums.set(server, (sums.get(server) ?? 0) + count);
                    }
                }
            }
            return sums;
        },
        someHadStore: (millis, nowMillis) =>
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
