import { makeClientBlocks } from "@endivebridge/core";
import { describeFaults, parseConfiguration } from "@endivebridge/settings";
import { monotonicMillis } from "@endivebridge/shared";
import { Effect } from "effect";
import type { Context } from "./Context";
import { runTaskIteration } from "./RunTaskIteration";

/** Returns the key of the row that stores one accepted version; such rows are inserted once and never updated. */
export function configurationKey(version: number): string {
    return `configuration/${String(version).padStart(10, "0")}`;
}

/**
 * Applies a configuration unless this instance already has this version or a later one. Returns whether it was applied;
 * a document that cannot be parsed is logged and ignored.
 */
export function applyConfiguration(context: Context, version: number, text: string, from: string): boolean {
    const current = context.configuration.read();
    if (version <= (current?.version ?? 0)) {
        return false;
    }
    const parsed = parseConfiguration(text);
    if (parsed.isLeft()) {
        const faults = describeFaults(configurationKey(version), parsed.extract() as never);
        context.log.error({ version, faults }, "accepted configuration is invalid; not applied");
        return false;
    }
    const document = parsed.unsafeCoerce();
    context.clientBlocks.current = makeClientBlocks(document.clientBlocks);
    context.configuration.update(() => ({ version, document, text, inForceSinceMillis: monotonicMillis() }));
    context.metrics.gauge("configuration_version", version);
    context.timeLine.emit({ kind: "configurationInForce", version, from });
    context.log.info({ version, from }, "configuration in force");
    return true;
}

const applyNewerVersions = (context: Context) =>
    Effect.gen(function*() {
        const currentVersion = context.configuration.read()?.version ?? 0;
        if (currentVersion === 0) {
            const rows = yield* context.platform.scanRows("configuration/");
            const latestRow = rows[rows.length - 1];
            if (latestRow !== undefined) {
                applyConfiguration(
                    context,
                    Number(latestRow.key.split("/")[1]),
                    configurationRowText(latestRow.value),
                    "platform"
                );
            }
            return;
        }
        for (let version = currentVersion + 1;; version += 1) {
            const row = yield* context.platform.readRow(configurationKey(version));
            if (row === undefined) {
                return;
            }
            applyConfiguration(context, version, configurationRowText(row.value), "platform");
        }
    });

/** Returns the configuration document stored in the value of a configuration row. */
export function configurationRowText(value: unknown): string {
    return (value as { readonly text: string; }).text;
}

/** Polls the platform's table for newer accepted configurations until interrupted. */
export const configurationTask = (context: Context): Effect.Effect<never> =>
    Effect.gen(function*() {
        for (;;) {
            yield* runTaskIteration(context, "configuration", applyNewerVersions(context));
            yield* Effect.sleep(context.settings.timing.configurationMillis * (0.9 + Math.random() * 0.2));
        }
    });
