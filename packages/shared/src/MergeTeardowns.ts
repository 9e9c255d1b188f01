/** Undoes one registration, such as a listener or a timer. */
export type Teardown = () => void;

/** Combines several teardowns into one that runs them in reverse order of registration. */
export function mergeTeardowns(...teardowns: readonly Teardown[]): Teardown {
    return () => {
        for (const teardown of [...teardowns].reverse()) {
            teardown();
        }
    };
}
