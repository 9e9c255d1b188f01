import { makeClientBlocks } from "@endivebridge/core";
import { describeFaults, parseConfiguration } from "@endivebridge/settings";
import { monotonicMillis } from "@endivebridge/shared";
import { Effect } from "effect";
import type { Context } from "./Context";
import { runTaskIteration } from "./RunTaskIteration";

/** Key of the row that keeps one accepted version; rows are only ever inserted. */
export function configurationKey(version: number): string {
    return `configuration/${String(version).padStart(10, "0")}`;
}

/** Puts a configuration in force unless this instance already has it or a later one. */
export function applyConfiguration(context: Context, version: number, text: string, from: string): boolean {
    const current = context.configuration.read();
    if (version <= (current?.version ?? 0)) {
        return false;
    }
    const parsed = parseConfiguration(text);
    if (parsed.isLeft()) {
        const faults = describeFaults(configurationKey(version), parsed.extract() as never);
        context.log.error({ version, faults }, "accepted configuration cannot be read");
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

/** Text of the document in a configuration row. */
export function configurationRowText(value: unknown): string {
    return (value as { readonly text: string; }).text;
}

/** Looks for newer accepted configurations until interrupted. */
export const configurationTask = (context: Context): Effect.Effect<never> =>
    Effect.gen(function*() {
        for (;;) {
            yield* runTaskIteration(context, "configuration", applyNewerVersions(context));
            yield* Effect.sleep(context.settings.timing.configurationMillis * (0.9 + Math.random() * 0.2));
        }
    });
