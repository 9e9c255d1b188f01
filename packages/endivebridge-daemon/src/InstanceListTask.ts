import type { ListedBackendServer, ListedEntryInstance } from "@endivebridge/platform";
import { monotonicMillis } from "@endivebridge/shared";
import { Effect } from "effect";
import type { Context } from "./Context";
import { runTaskIteration } from "./RunTaskIteration";

const refreshInstanceList = (context: Context) =>
    Effect.gen(function*() {
        const listed = yield* context.platform.listInstances(context.settings.failureDomain);
        const entries = listed.filter((instance): instance is ListedEntryInstance => instance.kind === "entry");
        const servers = listed.filter((instance): instance is ListedBackendServer => instance.kind === "backend");
        context.instances.update(() => ({ entries, servers, readAtMillis: monotonicMillis() }));
    });

/** Polls the platform's instance list until interrupted; the last list stays in use while reads fail. */
export const instanceListTask = (context: Context): Effect.Effect<never> =>
    Effect.gen(function*() {
        for (;;) {
            yield* runTaskIteration(context, "instance list", refreshInstanceList(context));
            yield* Effect.sleep(context.settings.timing.instanceListMillis * (0.9 + Math.random() * 0.2));
        }
    });
