import type { Teardown } from "./MergeTeardowns";

/** An observable value that is replaced, never mutated: a value that was read stays the same. */
export interface State<Value> {
    readonly read: () => Value;
    readonly update: (change: (value: Value) => Value) => Value;
    readonly registerListener: (listener: (value: Value, previous: Value) => void) => Teardown;
}

/** Creates a state; its listeners run after each update that changes the value. */
export function makeState<Value>(initial: Value): State<Value> {
    let current = initial;
    const listeners = new Set<(value: Value, previous: Value) => void>();
    return {
        read: () => current,
        update: change => {
            const previous = current;
            current = change(previous);
            if (current !== previous) {
                listeners.forEach(listener => listener(current, previous));
            }
            return current;
        },
        registerListener: listener => {
            listeners.add(listener);
            return () => listeners.delete(listener);
        }
    };
}
