import { httpExchange, type HttpResponse, monotonicMillis, type Teardown } from "@endivebridge/shared";
import { Effect, Result, Schema } from "effect";
import { randomBytes } from "node:crypto";
import { Agent } from "node:http";
import { ListedInstance } from "./InstanceList";

/** Reason why a call to the platform failed. */
export type PlatformFailure =
    /** No usable response arrived; a write may or may not have taken effect. */
    | { readonly kind: "unavailable"; readonly detail: string; }
    /** A concurrent write won; `row` is the current row, or undefined if it does not exist. */
    | { readonly kind: "conflict"; readonly row: TableRow | undefined; }
    /** The response does not have the platform's format. */
    | { readonly kind: "malformed"; readonly detail: string; };

/** A row of the table service with the version that a conditional write needs. */
export interface TableRow {
    readonly key: string;
    /**
     * Version for the next conditional write; 0 if the row does not exist. A version that was read after the table has
     * returned from a copy is larger than any that was read before.
     */
    readonly version: number;
    readonly value: unknown;
}

/** Client of the platform's table service, object store and instance list; every call has a timeout. */
export interface PlatformClient {
    readonly readRow: (key: string) => Effect.Effect<TableRow | undefined, PlatformFailure>;
    readonly scanRows: (prefix: string) => Effect.Effect<readonly TableRow[], PlatformFailure>;
    /**
     * Writes the row if it still has `version` (0: does not exist). If a response is lost, the call finds out whether
     * the write took effect before it returns. With `era`, the row is created only if the table has not returned from a
     * copy since that era; a version above 0 implies its era.
     */
    readonly writeRow: (
        key: string,
        version: number,
        value: unknown,
        era?: number
    ) => Effect.Effect<TableRow, PlatformFailure>;
    /** Inserts rows that do not exist yet, atomically: all of them or none. */
    readonly insertRows: (rows: readonly NewRow[]) => Effect.Effect<void, PlatformFailure>;
    readonly readObject: (key: string) => Effect.Effect<Buffer | undefined, PlatformFailure>;
    readonly writeObject: (key: string, body: Buffer) => Effect.Effect<void, PlatformFailure>;
    readonly listObjects: (prefix: string) => Effect.Effect<readonly string[], PlatformFailure>;
    readonly listInstances: (viewer: string) => Effect.Effect<readonly ListedInstance[], PlatformFailure>;
    /** Newest count of the table's returns from a copy in an answer. */
    readonly era: () => number;
    /** Registers a listener for the table's return from a copy, at which rows of before may be lost. */
    readonly registerEraListener: (listener: (era: number) => void) => Teardown;
    /** Start of the first failed attempt since the platform last responded; undefined while it responds. */
    readonly failedSinceMillis: () => number | undefined;
    /** Start of the latest failed attempt; undefined while the platform responds. */
    readonly lastFailedAttemptMillis: () => number | undefined;
}

/** A row for `insertRows`, which gets its first version from the platform. */
export interface NewRow {
    readonly key: string;
    readonly value: unknown;
}

/** Base URL of the platform and timeout of each call. */
export interface PlatformOptions {
    readonly url: string;
    readonly timeoutMillis: number;
}

interface CachedResponse {
    readonly era: number;
    readonly etag: string;
    readonly answer: HttpResponse;
}

interface Envelope {
    readonly writeIds: readonly string[];
    readonly value: unknown;
}

const maxStoredWriteIds = 16;
const maxWriteAttempts = 3;
const maxCachedResponses = 8;

const EnvelopeSchema = Schema.Struct({ writeIds: Schema.Array(Schema.String), value: Schema.Unknown });
const TableRowSchema = Schema.Struct({ key: Schema.String, version: Schema.Int, value: Schema.Unknown });
const ObjectKeysSchema = Schema.Array(Schema.String);

function unavailable(detail: string): PlatformFailure {
    return { kind: "unavailable", detail };
}

/** Decodes a value of another writer; one that is nested too deeply for the decoder is a failure too. */
function tryDecode<Value>(schema: Schema.Codec<Value, unknown>, value: unknown): Result.Result<Value, unknown> {
    try {
        return Schema.decodeUnknownResult(schema)(value);
    }
    catch (error) {
        return Result.fail(error);
    }
}

/** Decodes a list without the entries that cannot be decoded, so that an odd one costs only itself. */
function decodeEntries<Value>(schema: Schema.Codec<Value, unknown>, entries: readonly unknown[]): readonly Value[] {
    return entries.flatMap(entry => {
        const result = tryDecode(schema, entry);
        return Result.isSuccess(result) ? [result.success] : [];
    });
}

function decode<Value>(schema: Schema.Codec<Value, unknown>, value: unknown): Effect.Effect<Value, PlatformFailure> {
    const result = tryDecode(schema, value);
    return Result.isSuccess(result)
        ? Effect.succeed(result.success)
        : Effect.fail({ kind: "malformed", detail: String(result.failure).slice(0, 200) });
}

function parseJson(body: Buffer): Effect.Effect<unknown, PlatformFailure> {
    return Effect.try({
        try: () => JSON.parse(body.toString("utf8")) as unknown,
        catch: () => ({ kind: "malformed", detail: "response body is not valid JSON" }) as PlatformFailure
    });
}

/** Header with the count of the table's returns from a copy, at which versions go back; absent without any. */
const eraHeader = "table-era";
/** Versions within an era are smaller. */
const versionsPerEra = 2 ** 32;

function parseEra(answer: HttpResponse): number {
    return Number(answer.headers[eraHeader] ?? 0);
}

function parseVersion(answer: HttpResponse): number {
    const version = Number(String(answer.headers.etag ?? "\"0\"").replaceAll("\"", ""));
    return parseEra(answer) * versionsPerEra + version;
}

/** Condition that a row still has a version, which fails if the table has returned from a copy since. */
function versionPrecondition(version: number): Record<string, string> {
    return {
        "if-match": `"${version % versionsPerEra}"`,
        [eraHeader]: String(Math.floor(version / versionsPerEra))
    };
}

/** Creates a client of the platform's HTTP API that keeps its connections open. */
export function makePlatformClient(options: PlatformOptions): PlatformClient {
    const agent = new Agent({ keepAlive: true, maxSockets: 16, timeout: 1_000 });
    const cachedResponses = new Map<string, CachedResponse>();
    const eraListeners = new Set<(era: number) => void>();
    let newestEra: number | undefined;
    let firstFailureMillis: number | undefined;
    let lastFailureMillis: number | undefined;

    const recordEra = (era: number) => {
        const hasReturned = newestEra !== undefined && era > newestEra;
        newestEra = Math.max(newestEra ?? 0, era);
        if (hasReturned) {
            eraListeners.forEach(listener => listener(era));
        }
    };

    const call = (method: string, path: string, headers: Record<string, string> = {}, body?: string | Buffer) =>
        Effect.suspend(() => {
            const startedAtMillis = monotonicMillis();
            const url = new URL(path, options.url);
            const recordFailure = (detail: string) => {
                firstFailureMillis ??= startedAtMillis;
                lastFailureMillis = startedAtMillis;
                return unavailable(detail);
            };
            return httpExchange({ url, method, headers, body, agent, timeoutMillis: options.timeoutMillis }).pipe(
                Effect.mapError(failure => recordFailure(failure.reason)),
                Effect.flatMap(answer => {
                    if (answer.status >= 500) {
                        return Effect.fail(recordFailure(`status ${answer.status}`));
                    }
                    firstFailureMillis = undefined;
                    lastFailureMillis = undefined;
                    recordEra(parseEra(answer));
                    return Effect.succeed(answer);
                })
            );
        });

    // Polled resources are read with a conditional GET, so that an unchanged body is not transferred again.
    const getIfChanged = (path: string) =>
        Effect.gen(function*() {
            const cached = cachedResponses.get(path);
            const unconditional = call("GET", path);
            let answer = cached === undefined
                ? yield* unconditional
                : yield* call("GET", path, { "if-none-match": cached.etag });
            if (answer.status === 304 && cached !== undefined) {
                if (parseEra(answer) === cached.era) {
                    return cached.answer;
                }
                // The tag is that of another body, since versions are given out again.
                answer = yield* unconditional;
            }
            const { etag } = answer.headers;
            cachedResponses.delete(path);
            if (etag !== undefined) {
                cachedResponses.set(path, { era: parseEra(answer), etag, answer });
            }
            if (cachedResponses.size > maxCachedResponses) {
                cachedResponses.delete(cachedResponses.keys().next().value!);
            }
            return answer;
        });

    const readEnvelope = (key: string) =>
        Effect.gen(function*() {
            const answer = yield* getIfChanged(`/table/${encodeURIComponent(key)}`);
            if (answer.status === 404) {
                return undefined;
            }
            const envelope: Envelope = yield* decode(EnvelopeSchema, yield* parseJson(answer.body));
            return { version: parseVersion(answer), envelope };
        });

    const readRow = (key: string) =>
        Effect.map(
            readEnvelope(key),
            read => read === undefined ? undefined : { key, version: read.version, value: read.envelope.value }
        );

    const resolveConflict = (key: string, writeId: string) =>
        Effect.gen(function*() {
            const read = yield* readEnvelope(key);
            if (read === undefined) {
                return yield* Effect.fail<PlatformFailure>({ kind: "conflict", row: undefined });
            }
            const row: TableRow = { key, version: read.version, value: read.envelope.value };
            if (read.envelope.writeIds.includes(writeId)) {
                return row;
            }
            return yield* Effect.fail<PlatformFailure>({ kind: "conflict", row });
        });

    const writeRow = (
        key: string,
        version: number,
        value: unknown,
        era?: number
    ): Effect.Effect<TableRow, PlatformFailure> =>
        Effect.gen(function*() {
            const writeId = randomBytes(9).toString("base64url");
            const before = version === 0 ? undefined : yield* readEnvelope(key);
            const writeIds = [writeId, ...(before?.envelope.writeIds ?? [])].slice(0, maxStoredWriteIds);
            const body = JSON.stringify({ writeIds, value });
            const precondition: Record<string, string> = version === 0
                ? { "if-none-match": "*", ...era === undefined ? {} : { [eraHeader]: String(era) } }
                : versionPrecondition(version);
            const attempt = Effect.gen(function*() {
                const answer = yield* call("PUT", `/table/${encodeURIComponent(key)}`, precondition, body);
                if (answer.status === 412) {
                    return yield* resolveConflict(key, writeId);
                }
                return { key, version: parseVersion(answer), value };
            });
            return yield* retryUnavailable(attempt);
        });

    const insertRows = (rows: readonly NewRow[]): Effect.Effect<void, PlatformFailure> =>
        Effect.gen(function*() {
            const writeId = randomBytes(9).toString("base64url");
            const body = JSON.stringify(
                rows.map(row => ({ key: row.key, value: { writeIds: [writeId], value: row.value } }))
            );
            const attempt = Effect.gen(function*() {
                const answer = yield* call("POST", "/table", {}, body);
                if (answer.status === 412) {
                    yield* resolveConflict(rows[0]!.key, writeId);
                }
            });
            yield* retryUnavailable(attempt);
        });

    // Repeating a conditional write is safe: at most one of its copies can take effect.
    const retryUnavailable = <Value>(attempt: Effect.Effect<Value, PlatformFailure>) =>
        Effect.gen(function*() {
            for (let count = 1; count < maxWriteAttempts; count += 1) {
                const result = yield* Effect.result(attempt);
                if (Result.isSuccess(result)) {
                    return result.success;
                }
                if (result.failure.kind !== "unavailable") {
                    return yield* Effect.fail(result.failure);
                }
                yield* Effect.sleep(50 * 2 ** count + Math.random() * 100);
            }
            return yield* attempt;
        });

    const getJson = <Value>(path: string, schema: Schema.Codec<Value, unknown>) =>
        Effect.gen(function*() {
            const answer = yield* call("GET", path);
            return yield* decode(schema, yield* parseJson(answer.body));
        });

    return {
        readRow,
        writeRow,
        insertRows,
        scanRows: prefix =>
            Effect.gen(function*() {
                const answer = yield* call("GET", `/table?prefix=${encodeURIComponent(prefix)}`);
                const entries = yield* decode(Schema.Array(Schema.Unknown), yield* parseJson(answer.body));
                const rows = decodeEntries(TableRowSchema, entries);
                const firstVersion = parseEra(answer) * versionsPerEra;
                return rows.map(row => ({
                    ...row,
                    version: firstVersion + row.version,
                    value: (row.value as Envelope).value
                }));
            }),
        readObject: key =>
            Effect.map(
                call("GET", `/objects/${encodeURIComponent(key)}`),
                answer => answer.status === 404 ? undefined : answer.body
            ),
        writeObject: (key, body) => Effect.asVoid(call("PUT", `/objects/${encodeURIComponent(key)}`, {}, body)),
        listObjects: prefix => getJson(`/objects?prefix=${encodeURIComponent(prefix)}`, ObjectKeysSchema),
        listInstances: viewer =>
            Effect.gen(function*() {
                const answer = yield* getIfChanged(`/instances?viewer=${encodeURIComponent(viewer)}`);
                const entries = yield* decode(Schema.Array(Schema.Unknown), yield* parseJson(answer.body));
                return decodeEntries(ListedInstance, entries);
            }),
        era: () => newestEra ?? 0,
        registerEraListener: listener => {
            eraListeners.add(listener);
            return () => eraListeners.delete(listener);
        },
        failedSinceMillis: () => firstFailureMillis,
        lastFailedAttemptMillis: () => lastFailureMillis
    };
}
