import { Cause, Effect } from "effect";
import type { Context } from "./Context";

/**
 * Runs one turn of a task that goes on for the life of the process: failures are usual, and even a fault in the turn
 * itself must not end the task.
 */
export function runTaskIteration<Value, Failure>(
    context: Context,
    task: string,
    iteration: Effect.Effect<Value, Failure>
): Effect.Effect<void> {
    return Effect.catchCause(Effect.asVoid(iteration), cause =>
        Effect.sync(() => {
            if (Cause.hasDies(cause)) {
                context.log.error({ task, cause: Cause.pretty(cause) }, "a turn of a task went wrong");
            }
            else {
                context.log.debug({ task }, "a turn of a task failed");
            }
        }));
}
