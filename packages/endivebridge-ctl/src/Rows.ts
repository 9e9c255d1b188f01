import type { ShowQuery } from "./Statement";

/** One row of a table; columns by name. */
export type Row = Readonly<Record<string, unknown>>;

interface SystemInstance extends Row {
    readonly instance: string;
    readonly region: string;
    readonly failureDomain: string;
    readonly services: readonly (Row & { readonly service: string; readonly servers: readonly Row[]; })[];
    readonly peers: readonly Row[];
    readonly drains: readonly Row[];
    readonly operationsInDoubt: readonly string[];
    readonly struckRequests: readonly Row[];
}

/** What an entry instance says of the whole system. */
export interface SystemAnswer {
    readonly instances: readonly SystemInstance[];
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

function pick(row: Row, columns: readonly string[]): Row {
    return Object.fromEntries(columns.map(column => [column, row[column]]));
}

function serviceRows(instance: SystemInstance): readonly Row[] {
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

function shiftRows(instance: SystemInstance): readonly Row[] {
    return instance.services.map(service => ({
        service: service.service,
        instance: instance.instance,
        region: instance.region,
        capRequestsPerSecond: service.inflowCapRequestsPerSecond ?? "none",
        freeNow: service.inflowFree ?? "-"
    }));
}

function rowsOf(system: SystemAnswer, query: ShowQuery): readonly Row[] {
    const { instances } = system;
    const place = (instance: SystemInstance) => ({ instance: instance.instance, region: instance.region });
    switch (query.subject) {
        case "instances":
            return instances.map(instance => pick(instance, instanceColumns));
        case "services":
            return instances.flatMap(serviceRows);
        case "servers":
            return instances.flatMap(instance =>
                instance.services.flatMap(service => service.servers.map(server => ({ ...server, ...place(instance) })))
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
                instance.operationsInDoubt.map(operation => ({ operation, ...place(instance) }))
            );
        case "struck":
            return instances.flatMap(instance =>
                instance.struckRequests.map(struck => ({ ...struck, ...place(instance) }))
            );
        case "configuration":
            return instances.map(instance => pick(instance, ["instance", "region", "configurationVersion"]));
    }
}

function compare(left: unknown, right: unknown): number {
    return typeof left === "number" && typeof right === "number"
        ? left - right
        : String(left).localeCompare(String(right));
}

/** Rows that a query asks for, filtered and in order. */
export function selectRows(system: SystemAnswer, query: ShowQuery): readonly Row[] {
    const rows = rowsOf(system, query)
        .filter(row => query.of === undefined || row.service === query.of)
        .filter(row => query.where.every(condition => String(row[condition.field]) === condition.value));
    const { orderBy } = query;
    if (orderBy === undefined) {
        return rows;
    }
    const column = rows[0] !== undefined && !(orderBy in rows[0])
        ? Object.keys(rows[0]).find(name => name.startsWith(orderBy)) ?? orderBy
        : orderBy;
    return [...rows].sort((left, right) => compare(left[column], right[column]));
}

/** Writes rows as a table for people. */
export function formatTable(rows: readonly Row[]): string {
    if (rows.length === 0) {
        return "(nothing)";
    }
    const columns = [...new Set(rows.flatMap(row => Object.keys(row)))];
    const cells = [columns, ...rows.map(row => columns.map(column => String(row[column] ?? "-")))];
    const widths = columns.map((column, index) => Math.max(column.length, ...cells.map(line => line[index]!.length)));
    return cells.map(line => line.map((cell, index) => cell.padEnd(widths[index]!)).join("  ").trimEnd()).join("\n");
}
