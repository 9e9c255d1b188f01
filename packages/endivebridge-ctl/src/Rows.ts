import type { ShowQuery } from "./Statement";

/** One table row: values keyed by column name. */
export type Row = Readonly<Record<string, unknown>>;

interface InstanceState extends Row {
    readonly instance: string;
    readonly region: string;
    readonly failureDomain: string;
    readonly services: readonly (Row & { readonly service: string; readonly servers: readonly Row[]; })[];
    readonly peers: readonly Row[];
    readonly drains: readonly Row[];
    readonly operationsInDoubt: readonly string[];
    readonly struckRequests: readonly Row[];
}

/** State of the whole system as collected by one entry instance, with the instances it could not reach. */
export interface SystemState {
    readonly instances: readonly InstanceState[];
    readonly unreachable: readonly Row[];
}

const instanceColumns = [
    "instance",
    "failureDomain",
    "region",
    "configurationVersion",
    "leaseHeld",
    "platformReachable",
    "shuttingDown",
    "instanceListAgeMillis",
    "operationsRemembered"
];

function selectColumns(row: Row, columns: readonly string[]): Row {
    return Object.fromEntries(columns.map(column => [column, row[column]]));
}

function serviceRows(instance: InstanceState): readonly Row[] {
    return instance.services.map(service => {
        const sum = (column: string) =>
            service.servers.reduce((total, server) => total + Number(server[column] ?? 0), 0);
        return {
            service: service.service,
            instance: instance.instance,
            region: instance.region,
            slots: sum("usableSlots"),
            inFlight: sum("inFlight"),
            waiting: service.waiting
        };
    });
}

function shiftRows(instance: InstanceState): readonly Row[] {
    return instance.services.map(service => ({
        service: service.service,
        instance: instance.instance,
        region: instance.region,
        capRequestsPerSecond: service.inflowCapRequestsPerSecond ?? "none",
        freeNow: service.inflowFree ?? "-"
    }));
}

function rowsForSubject(system: SystemState, query: ShowQuery): readonly Row[] {
    const { instances } = system;
    const location = (instance: InstanceState) => ({ instance: instance.instance, region: instance.region });
    switch (query.subject) {
        case "instances":
            return instances.map(instance => selectColumns(instance, instanceColumns));
        case "services":
            return instances.flatMap(serviceRows);
        case "servers":
            return instances.flatMap(instance =>
                instance.services.flatMap(service =>
                    service.servers.map(server => ({ ...server, ...location(instance) }))
                )
            );
        case "peers":
            return instances.flatMap(instance =>
                instance.peers.map(peer => ({ from: instance.instance, region: instance.region, ...peer }))
            );
        case "drains":
            return instances.flatMap(instance =>
                instance.drains.map(drain => ({ seenBy: instance.instance, ...drain }))
            );
        case "shifts":
            return instances.flatMap(shiftRows);
        case "operations":
            return instances.flatMap(instance =>
                instance.operationsInDoubt.map(operation => ({ operation, ...location(instance) }))
            );
        case "struck":
            return instances.flatMap(instance =>
                instance.struckRequests.map(struck => ({ ...struck, ...location(instance) }))
            );
        case "configuration":
            return instances.map(instance => selectColumns(instance, ["instance", "region", "configurationVersion"]));
    }
}

function compareValues(left: unknown, right: unknown): number {
    return typeof left === "number" && typeof right === "number"
        ? left - right
        : String(left).localeCompare(String(right));
}

/**
 * Returns the rows that a query selects, filtered and sorted. When the sort column doesn't exist, the first column whose name
 * starts with it is used.
 */
export function selectRows(system: SystemState, query: ShowQuery): readonly Row[] {
    const rows = rowsForSubject(system, query)
        .filter(row => query.of === undefined || row.service === query.of)
        .filter(row => query.where.every(condition => String(row[condition.field]) === condition.value));
    const { orderBy } = query;
    if (orderBy === undefined) {
        return rows;
    }
    const column = rows[0] !== undefined && !(orderBy in rows[0])
        ? Object.keys(rows[0]).find(name => name.startsWith(orderBy)) ?? orderBy
        : orderBy;
    return [...rows].sort((left, right) => compareValues(left[column], right[column]));
}

/** Formats rows as a plain-text table with aligned columns. */
export function formatTable(rows: readonly Row[]): string {
    if (rows.length === 0) {
        return "(no rows)";
    }
    const columns = [...new Set(rows.flatMap(row => Object.keys(row)))];
    const textRows = [columns, ...rows.map(row => columns.map(column => String(row[column] ?? "-")))];
    const widths = columns.map((column, index) =>
        Math.max(column.length, ...textRows.map(line => line[index]!.length))
    );
    return textRows.map(line => line.map((cell, index) => cell.padEnd(widths[index]!)).join("  ").trimEnd()).join("\n");
}
