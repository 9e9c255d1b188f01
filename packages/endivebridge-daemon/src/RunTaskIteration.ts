import { Cause, Effect } from "effect";
import type { Context } from "./Context";

/**
 * Runs one iteration of a background task that repeats until the process stops. Failures are expected and logged at
 * debug level; an unexpected exception is logged as an error and does not end the task either.
 */
export function runTaskIteration<Value, Failure>(
    context: Context,
    task: string,
    iteration: Effect.Effect<Value, Failure>
): Effect.Effect<void> {
    return Effect.catchCause(Effect.asVoid(iteration), cause =>
        Effect.sync(() => {
            if (Cause.hasDies(cause)) {
                context.log.error(
                    { task, cause: Cause.pretty(cause) },
                    "task iteration threw an unexpected error; the task continues"
                );
            }
            else {
                context.log.debug({ task }, "task iteration failed; retrying at the next interval");
            }
        }));
}
