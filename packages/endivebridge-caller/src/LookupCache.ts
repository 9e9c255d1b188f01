import { type HttpAnswer, httpExchange, monotonicMillis, range } from "@endivebridge/shared";
import { Deferred, Effect, Result, Schema } from "effect";
import type { Agent } from "node:http";

const shortestLifeMillis = 250;

const LookupSchema = Schema.Struct({
    instances: Schema.Array(
        Schema.Struct({ instance: Schema.String, address: Schema.String, operationPrefix: Schema.String })
    ),
    timeToLiveMillis: Schema.Number
});

/** One entry instance that a look-up named. */
export interface NamedInstance {
    readonly address: string;
    readonly operationPrefix: string;
}

/** A look-up answer with the time until which it may be used. */
export interface CachedLookup {
    readonly instances: readonly NamedInstance[];
    readonly readAtMillis: number;
    readonly expiresAtMillis: number;
}

/** Look-up answers by service; asks each known entry instance in turn when one is needed. */
export interface LookupCache {
    readonly get: (service: string) => Effect.Effect<CachedLookup, string>;
    /** Makes the next use ask again. */
    readonly expire: (service: string) => void;
}

/** What the cache needs. */
export interface LookupCacheOptions {
    readonly entryAddresses: readonly string[];
    readonly client: string | undefined;
    readonly agent: Agent;
    readonly localAddress: string | undefined;
    readonly timeoutMillis: number;
    /** The address to connect to for an entry instance's address. */
    readonly connectAddress: (address: string) => string;
}

function readAnswer(answer: HttpAnswer): CachedLookup | undefined {
    if (answer.status !== 200) {
        return undefined;
    }
    const decoded = Schema.decodeUnknownResult(Schema.fromJsonString(LookupSchema))(answer.body.toString());
    if (Result.isFailure(decoded)) {
        return undefined;
    }
    const { instances, timeToLiveMillis } = decoded.success;
    return {
        instances,
        readAtMillis: monotonicMillis(),
        expiresAtMillis: monotonicMillis() + timeToLiveMillis
    };
}

/** Makes an empty cache. */
export function makeLookupCache(options: LookupCacheOptions): LookupCache {
    const cached = new Map<string, CachedLookup>();
    const refreshing = new Map<string, Deferred.Deferred<CachedLookup, string>>();
    let offset = Math.floor(Math.random() * options.entryAddresses.length);

    const ask = (address: string, service: string) => {
        const url = new URL(`http://${options.connectAddress(address)}/.endivebridge/lookup`);
        url.searchParams.set("service", service);
        if (options.client !== undefined) {
            url.searchParams.set("client", options.client);
        }
        return httpExchange({
            url,
            method: "GET",
            agent: options.agent,
            localAddress: options.localAddress,
            timeoutMillis: options.timeoutMillis
        });
    };

    const refresh = (service: string): Effect.Effect<CachedLookup, string> =>
        Effect.gen(function*() {
            const before = cached.get(service);
            const known = [...new Set([...(before?.instances.map(each => each.address) ?? []), ...rotated()])];
            for (const address of known) {
                const result = yield* Effect.result(ask(address, service));
                const found = Result.isSuccess(result) ? readAnswer(result.success) : undefined;
                if (found !== undefined) {
                    cached.set(service, found);
                    return found;
                }
                offset += 1;
            }
            return yield* Effect.fail("no entry instance answered the look-up");
        });

    // Requests that need a look-up at the same time share one.
    const refreshShared = (service: string): Effect.Effect<CachedLookup, string> =>
        Effect.suspend(() => {
            const running = refreshing.get(service);
            if (running !== undefined) {
                return Deferred.await(running);
            }
            const deferred = Deferred.makeUnsafe<CachedLookup, string>();
            refreshing.set(service, deferred);
            const task = Effect.ensuring(refresh(service), Effect.sync(() => refreshing.delete(service)));
            Effect.runFork(Deferred.into(task, deferred));
            return Deferred.await(deferred);
        });

    const rotated = () => {
        const { entryAddresses } = options;
        return range(entryAddresses.length).map(index => entryAddresses[(index + offset) % entryAddresses.length]!);
    };

    return {
        get: service => {
            const known = cached.get(service);
            return known !== undefined && monotonicMillis() < known.expiresAtMillis
                ? Effect.succeed(known)
                : refreshShared(service);
        },
        expire: service => {
            const known = cached.get(service);
            if (known !== undefined && monotonicMillis() - known.readAtMillis > shortestLifeMillis) {
                cached.set(service, { ...known, expiresAtMillis: 0 });
            }
        }
    };
}
