import { isConnectionHeader } from "@endivebridge/shared";
import { hashText, type Route } from "@endivebridge/traffic";
import { createHash } from "node:crypto";
import type { IncomingMessage } from "node:http";
import type { Dialect } from "./Dialect";
import { isPeerHeader } from "./PeerHeaders";

/** A caller's request with its complete body. */
export interface CallerRequest {
    readonly id: string | undefined;
    readonly method: string;
    readonly host: string;
    /** Path with query, unchanged. */
    readonly target: string;
    readonly path: string;
    readonly headers: Readonly<Record<string, string | string[]>>;
    readonly body: Buffer;
    /** Time that the caller will wait, counted from the moment the request was read. */
    readonly patienceMillis: number | undefined;
    /** Key of the object that the request concerns, if the caller sends one. */
    readonly affinityKey: string | undefined;
}

/** End-to-end headers of a message, as name and value pairs with spelling and order unchanged. */
export function endToEndHeaders(
    rawHeaders: readonly string[],
    connection: string | undefined
): readonly (readonly [name: string, value: string])[] {
    const connectionHeaders = (connection ?? "").toLowerCase().split(",").map(name => name.trim());
    const kept: [string, string][] = [];
    for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
        const name = rawHeaders[index]!;
        if (!isConnectionHeader(name) && !isPeerHeader(name) && !connectionHeaders.includes(name.toLowerCase())) {
            kept.push([name, rawHeaders[index + 1]!]);
        }
    }
    return kept;
}

/** Groups values by name; a caller may send the names of object properties, such as `constructor`. */
function groupHeaders(pairs: readonly (readonly [string, string])[]): Record<string, string | string[]> {
    const grouped = new Map<string, string | string[]>();
    for (const [name, value] of pairs) {
        const known = grouped.get(name);
        grouped.set(name, known === undefined ? value : [...typeof known === "string" ? [known] : known, value]);
    }
    return Object.fromEntries(grouped);
}

function cookieValue(header: string | undefined, cookie: string): string | undefined {
    for (const part of (header ?? "").split(";")) {
        const separator = part.indexOf("=");
        if (separator > 0 && part.slice(0, separator).trim().toLowerCase() === cookie) {
            return part.slice(separator + 1).trim();
        }
    }
    return undefined;
}

/** The caller's id of a request; undefined if it sent none. */
export function requestIdOf(dialect: Dialect, message: IncomingMessage): string | undefined {
    const id = message.headers[dialect.requestIdHeader];
    return typeof id === "string" ? id : undefined;
}

/** Builds a request from an HTTP message and its body. */
export function makeCallerRequest(dialect: Dialect, message: IncomingMessage, body: Buffer): CallerRequest {
    const target = message.url ?? "/";
    const pairs = endToEndHeaders(message.rawHeaders, message.headers.connection);
    const patience = Number(message.headers[dialect.deadlineHeader]);
    return {
        id: requestIdOf(dialect, message),
        method: message.method ?? "GET",
        host: message.headers.host ?? "",
        target,
        path: target.split("?", 1)[0]!,
        headers: groupHeaders(pairs.filter(([name]) => name.toLowerCase() !== dialect.deadlineHeader)),
        body,
        patienceMillis: message.headers[dialect.deadlineHeader] !== undefined && Number.isFinite(patience)
            ? Math.max(0, patience)
            : undefined,
        affinityKey: cookieValue(message.headers.cookie, dialect.affinityCookie)
    };
}

/** Hash that is equal for requests that run the same work, independent of the caller. */
export function requestFingerprint(request: CallerRequest): string {
    return createHash("sha1")
        .update(`${request.method} ${request.host}${request.target} ${request.affinityKey ?? ""}\n`)
        .update(request.body)
        .digest("base64url");
}

/** Hash of the affinity key within its route; undefined if the request has no key or the route no affinity. */
export function affinityHash(request: CallerRequest, route: Route): number | undefined {
    return route.hasAffinity && request.affinityKey !== undefined
        ? hashText(`${route.name}/${request.affinityKey}`)
        : undefined;
}
