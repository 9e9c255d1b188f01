import { httpExchange, type HttpResponse, monotonicMillis, range } from "@endivebridge/shared";
import { Deferred, Effect, Result, Schema } from "effect";
import type { Agent } from "node:http";

/** Lookups younger than this are not expired early, which limits how often failures trigger a refresh. */
const minExpirableAgeMillis = 250;

const LookupResponseSchema = Schema.Struct({
    instances: Schema.Array(
        Schema.Struct({ instance: Schema.String, address: Schema.String, operationPrefix: Schema.String })
    ),
    timeToLiveMillis: Schema.Number
});

/** An entry instance returned by a lookup, with the prefix of operation ids to use with it. */
export interface LookupInstance {
    readonly address: string;
    readonly operationPrefix: string;
}

/** A lookup result with the monotonic times at which it was received and expires. */
export interface CachedLookup {
    readonly instances: readonly LookupInstance[];
    readonly receivedAtMillis: number;
    readonly expiresAtMillis: number;
}

/** Caches lookup results by service; a refresh queries the known entry instances in turn until one responds. */
export interface LookupCache {
    readonly get: (service: string) => Effect.Effect<CachedLookup, string>;
    /** Marks the cached result as expired, so that the next `get` refreshes it. */
    readonly expire: (service: string) => void;
}

/** Options of {@link makeLookupCache}. */
export interface LookupCacheOptions {
    readonly entryAddresses: readonly string[];
    readonly client: string | undefined;
    readonly agent: Agent;
    readonly localAddress: string | undefined;
    readonly timeoutMillis: number;
    /** Maps the advertised address of an entry instance to the address to connect to. */
    readonly resolveConnectAddress: (address: string) => string;
}

function parseLookupResponse(answer: HttpResponse): CachedLookup | undefined {
    if (answer.status !== 200) {
        return undefined;
    }
    const decoded = Schema.decodeUnknownResult(Schema.fromJsonString(LookupResponseSchema))(answer.body.toString());
    if (Result.isFailure(decoded)) {
        return undefined;
    }
    const { instances, timeToLiveMillis } = decoded.success;
    return {
        instances,
        receivedAtMillis: monotonicMillis(),
        expiresAtMillis: monotonicMillis() + timeToLiveMillis
    };
}

/** Creates an empty lookup cache; refreshes start at a random entry address. */
export function makeLookupCache(options: LookupCacheOptions): LookupCache {
    const lookupsByService = new Map<string, CachedLookup>();
    const pendingRefreshes = new Map<string, Deferred.Deferred<CachedLookup, string>>();
    let rotationOffset = Math.floor(Math.random() * options.entryAddresses.length);

    const requestLookup = (address: string, service: string) => {
        const url = new URL(`http://${options.resolveConnectAddress(address)}/.endivebridge/lookup`);
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
            const previousLookup = lookupsByService.get(service);
            const candidateAddresses = [
                ...new Set([...(previousLookup?.instances.map(each => each.address) ?? []), ...rotatedEntryAddresses()])
            ];
            for (const address of candidateAddresses) {
                const result = yield* Effect.result(requestLookup(address, service));
                const lookupResult = Result.isSuccess(result) ? parseLookupResponse(result.success) : undefined;
                if (lookupResult !== undefined) {
                    lookupsByService.set(service, lookupResult);
                    return lookupResult;
                }
                rotationOffset += 1;
            }
            return yield* Effect.fail("no entry instance answered the lookup request");
        });

    // Concurrent requests for the same service share one refresh.
    const refreshShared = (service: string): Effect.Effect<CachedLookup, string> =>
        Effect.suspend(() => {
            const running = pendingRefreshes.get(service);
            if (running !== undefined) {
                return Deferred.await(running);
            }
            const deferred = Deferred.makeUnsafe<CachedLookup, string>();
            pendingRefreshes.set(service, deferred);
            const task = Effect.ensuring(refresh(service), Effect.sync(() => pendingRefreshes.delete(service)));
            Effect.runFork(Deferred.into(task, deferred));
            return Deferred.await(deferred);
        });

    const rotatedEntryAddresses = () => {
        const { entryAddresses } = options;
        return range(entryAddresses.length).map(index =>
            entryAddresses[(index + rotationOffset) % entryAddresses.length]!
        );
    };

    return {
        get: service => {
            const cachedLookup = lookupsByService.get(service);
            return cachedLookup !== undefined && monotonicMillis() < cachedLookup.expiresAtMillis
                ? Effect.succeed(cachedLookup)
                : refreshShared(service);
        },
        expire: service => {
            const cachedLookup = lookupsByService.get(service);
            if (
                cachedLookup !== undefined && monotonicMillis() - cachedLookup.receivedAtMillis > minExpirableAgeMillis
            ) {
                lookupsByService.set(service, { ...cachedLookup, expiresAtMillis: 0 });
            }
        }
    };
}
